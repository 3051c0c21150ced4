// Package snapshot writes snapshots of the fleet state to the log. A starting controller loads the newest one
// and folds only the records after it.
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

// A snapshot is due after maxRecordsSinceSnapshot new records, or after maxTimeSinceSnapshot if there is any new
// record.
const (
	// maxRecordsSinceSnapshot bounds the records that a starting controller has to fold after loading a
	// snapshot.
	maxRecordsSinceSnapshot = 2000
	// maxTimeSinceSnapshot keeps the newest snapshot well within the log's retention while few records are
	// written.
	maxTimeSinceSnapshot = time.Hour
	// checkInterval is the time between two checks whether a snapshot is due.
	checkInterval = time.Second
	// callTimeout bounds one call of the log.
	callTimeout = 10 * time.Second
)

// Log is the platform's log; the generated LogServiceClient implements it.
type Log interface {
	Append(context.Context, *v1.AppendRequest) (*v1.AppendResponse, error)
	Read(context.Context, *v1.ReadRequest) (*v1.ReadResponse, error)
}

// State gives access to the folded state and encodes it as a snapshot; follower.Follower implements it.
type State interface {
	Read(func(*fold.State)) bool
	Ready() bool
	Stopped() bool
	Snapshot() (*v1.FetchStateResponse, error)
}

// Loop writes a snapshot when one is due and no controller ranked before this one has written it.
type Loop struct {
	Name        string
	Incarnation string
	State       State
	Log         Log
	// OnNewest is called with the offset of each snapshot that becomes the newest known one; it may be nil.
	OnNewest func(offset int64)
	Logger   *logrus.Entry

	// newestOffset is the offset of the newest snapshot that the loop knows, and newestLearnedAt is when it
	// learned of it.
	newestOffset    int64
	newestLearnedAt time.Time
	// dueSince is when the next snapshot became due; it is zero while none is due.
	dueSince time.Time
}

// Run writes snapshots when they are due, until ctx ends. A failed attempt is logged and repeated.
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

// writeIfDue writes a snapshot if one is due and has been for the delay of this controller's rank. It first
// checks the log for a newer snapshot by another controller. No snapshot is written after the follower has
// stopped, since its state may be wrong.
func (l *Loop) writeIfDue(ctx context.Context) error {
	if !l.State.Ready() || l.State.Stopped() || !l.updateDue() {
		return nil
	}
	if time.Since(l.dueSince) < time.Duration(l.ownRank())*rank.DelayPerRank {
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

// updateDue reports whether a snapshot is due, and updates dueSince.
func (l *Loop) updateDue() bool {
	var offset int64
	l.State.Read(func(state *fold.State) { offset = state.Offset() })
	newRecords := offset - l.newestOffset
	if newRecords >= maxRecordsSinceSnapshot || (newRecords > 0 && time.Since(l.newestLearnedAt) >= maxTimeSinceSnapshot) {
		if l.dueSince.IsZero() {
			l.dueSince = time.Now()
		}
		return true
	}
	l.dueSince = time.Time{}
	return false
}

// ownRank returns this controller's rank for writing snapshots, from 0.
func (l *Loop) ownRank() int {
	var names []string
	l.State.Read(func(state *fold.State) { names = rank.Controllers(state) })
	return rank.Position(rank.SnapshotSubject, names, l.Name)
}

// readNewest reads the last record of the snapshot stream. If it is the last chunk of a snapshot that is newer
// than the known one, that snapshot becomes the newest known one.
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
		chunk, decodeErr := fold.DecodeChunk(record.GetData())
		if decodeErr == nil && chunk.GetIndex()+1 == chunk.GetCount() && chunk.GetOffset() > l.newestOffset {
			l.setNewest(chunk.GetOffset())
		}
	}
	return nil
}

// readStream reads at most one record of the snapshot stream after the given offset.
func (l *Loop) readStream(ctx context.Context, afterOffset int64) (*v1.ReadResponse, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := l.Log.Read(callCtx, &v1.ReadRequest{Stream: fold.SnapshotStream, AfterOffset: afterOffset, MaxRecords: 1})
	if err != nil {
		return nil, fault.Wrap(fault.LogUnavailable, err, "the snapshot stream can't be read from the log")
	}
	return response, nil
}

// writeSnapshot encodes the state and appends its chunks to the log. After a lost answer the loop later
// writes the whole snapshot again, which is harmless.
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

// appendChunk appends one chunk to the snapshot stream.
func (l *Loop) appendChunk(ctx context.Context, chunk *v1.SnapshotChunk) error {
	encoded, err := proto.Marshal(chunk)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "snapshot chunk can't be encoded")
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := l.Log.Append(callCtx, &v1.AppendRequest{Stream: fold.SnapshotStream, Records: [][]byte{encoded}}); err != nil {
		return fault.Wrap(fault.LogUnavailable, err, "snapshot chunk with index %d of %d wasn't appended to the log", chunk.GetIndex(), chunk.GetCount())
	}
	return nil
}

// setNewest records the newest known snapshot and reports it to OnNewest.
func (l *Loop) setNewest(offset int64) {
	l.newestOffset, l.newestLearnedAt = offset, time.Now()
	l.dueSince = time.Time{}
	if l.OnNewest != nil {
		l.OnNewest(offset)
	}
}
