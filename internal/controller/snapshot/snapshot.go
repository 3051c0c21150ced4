// Package snapshot writes snapshots of the fleet state, from which controllers start.
package snapshot

import (
	"context"
	"math"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/controller/rank"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/fold"
)

// Rules of when a snapshot is due.
const (
	// maxRecordsBetween bounds the tail that a starting controller folds.
	maxRecordsBetween = 2000
	// maxTimeBetween keeps the newest snapshot well inside the log's retention on quiet days.
	maxTimeBetween = time.Hour
	checkInterval  = time.Second
	callTimeout    = 10 * time.Second
)

// Log is the platform's log; connect's LogServiceClient implements it.
type Log interface {
	Append(context.Context, *v1.AppendRequest) (*v1.AppendResponse, error)
	Read(context.Context, *v1.ReadRequest) (*v1.ReadResponse, error)
}

// State is the source of snapshots; follower.Follower implements it.
type State interface {
	Read(func(*fold.State)) bool
	Ready() bool
	Stopped() bool
	Snapshot() (*v1.FetchStateResponse, error)
}

// Loop writes a snapshot when one is due and no better-ranked controller has written it.
type Loop struct {
	Name        string
	Incarnation string
	State       State
	Log         Log
	// HostGone reports hosts that the host list shows as gone; it may be nil.
	HostGone func(name string) bool
	// OnNewest is told of each newest snapshot; it may be nil.
	OnNewest func(offset int64)
	Logger   *logrus.Entry

	// newestOffset is the offset of the newest snapshot that the loop knows, and writtenAt is when it
	// learned of it.
	newestOffset    int64
	newestLearnedAt time.Time
	// dueSince is when the next snapshot became due, or zero.
	dueSince time.Time
}

// Run writes snapshots until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	l.newestLearnedAt = time.Now()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := l.writeIfDue(ctx); err != nil {
			l.Logger.WithField("event", "snapshot_failed").WithField("kind", fault.KindOf(err)).WithError(err).Warn("snapshot not written")
		}
	}
}

// writeIfDue writes a snapshot if it is this controller's turn. A stopped follower writes none: its state
// may be the one that is wrong.
func (l *Loop) writeIfDue(ctx context.Context) error {
	if !l.State.Ready() || l.State.Stopped() || !l.updateDue() {
		return nil
	}
	if time.Since(l.dueSince) < time.Duration(l.ownRank())*rank.Step {
		return nil
	}
	if err := l.readNewest(ctx); err != nil {
		return err
	}
	if !l.updateDue() {
		return nil
	}
	return l.writeSnapshot(ctx)
}

func (l *Loop) updateDue() bool {
	var offset int64
	l.State.Read(func(state *fold.State) { offset = state.Offset() })
	grown := offset - l.newestOffset
	if grown >= maxRecordsBetween || (grown > 0 && time.Since(l.newestLearnedAt) >= maxTimeBetween) {
		if l.dueSince.IsZero() {
			l.dueSince = time.Now()
		}
		return true
	}
	l.dueSince = time.Time{}
	return false
}

func (l *Loop) ownRank() int {
	var names []string
	l.State.Read(func(state *fold.State) { names = rank.Controllers(state, l.HostGone) })
	return rank.Of(rank.SnapshotSubject, names, l.Name)
}

// readNewest reads the last chunk on the stream, which is short when a snapshot was written whole.
func (l *Loop) readNewest(ctx context.Context) error {
	bounds, err := l.readStream(ctx, math.MaxInt64-1)
	if err != nil {
		return err
	}
	if bounds.GetHeadOffset() < bounds.GetOldestOffset() {
		return nil
	}
	last, err := l.readStream(ctx, bounds.GetHeadOffset()-1)
	if err != nil {
		return err
	}
	for _, record := range last.GetRecords() {
		chunk, damaged := fold.DecodeChunk(record.GetData())
		if damaged == nil && chunk.GetIndex()+1 == chunk.GetCount() && chunk.GetOffset() > l.newestOffset {
			l.setNewest(chunk.GetOffset())
		}
	}
	return nil
}

func (l *Loop) readStream(ctx context.Context, after int64) (*v1.ReadResponse, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := l.Log.Read(call, &v1.ReadRequest{Stream: fold.SnapshotStream, AfterOffset: after, MaxRecords: 1})
	if err != nil {
		return nil, fault.Wrap(fault.LogUnavailable, err, "snapshots can't be read")
	}
	return response, nil
}

// writeSnapshot appends all chunks. A lost answer makes the loop write the whole snapshot again, which is
// harmless.
func (l *Loop) writeSnapshot(ctx context.Context) error {
	encoded, err := l.State.Snapshot()
	if err != nil {
		return err
	}
	chunks := fold.SplitSnapshot(encoded.GetState(), l.Name, l.Incarnation, encoded.GetOffset(), encoded.GetStateHash())
	for _, chunk := range chunks {
		if err := l.appendChunk(ctx, chunk); err != nil {
			return err
		}
	}
	l.setNewest(encoded.GetOffset())
	l.Logger.WithField("event", "snapshot_written").WithField("offset", encoded.GetOffset()).WithField("bytes", len(encoded.GetState())).Info("snapshot written")
	return nil
}

func (l *Loop) appendChunk(ctx context.Context, chunk *v1.SnapshotChunk) error {
	raw, err := proto.Marshal(chunk)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "chunk can't be encoded")
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := l.Log.Append(call, &v1.AppendRequest{Stream: fold.SnapshotStream, Records: [][]byte{raw}}); err != nil {
		return fault.Wrap(fault.LogUnavailable, err, "chunk %d of %d wasn't appended", chunk.GetIndex(), chunk.GetCount())
	}
	return nil
}

func (l *Loop) setNewest(offset int64) {
	l.newestOffset, l.newestLearnedAt = offset, time.Now()
	l.dueSince = time.Time{}
	if l.OnNewest != nil {
		l.OnNewest(offset)
	}
}
