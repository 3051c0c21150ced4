package follower

import (
	"context"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/fold"
)

// Numbers of chunks that are read to find a snapshot. A snapshot of 2,800 hosts has a few chunks,
// so the first window mostly has a whole one; the last bounds memory to 16 MiB.
const (
	firstWindow = 16
	lastWindow  = 256
)

// load finds a first state, from the log or from a peer, until it has one or ctx ends.
func (f *Follower) load(ctx context.Context) error {
	wait := minBackoff
	for !f.loadFromLog(ctx) && !f.fetchState(ctx, 0) {
		if err := pause(ctx, wait); err != nil {
			return err
		}
		wait = min(2*wait, maxBackoff)
	}
	return nil
}

// loadFromLog takes the newest snapshot whose tail is still kept, or starts with the first record.
func (f *Follower) loadFromLog(ctx context.Context) bool {
	bounds, err := f.readLog(ctx, fold.FleetStream, beyondHead, 1, 0)
	if err != nil {
		f.report(fault.Wrap(fault.LogUnavailable, err, "log can't be read"))
		return false
	}
	f.logAnswered(bounds.GetHeadOffset())
	state := f.newestSnapshot(ctx)
	if state == nil {
		state = fold.New()
	}
	if state.Offset()+1 < bounds.GetOldestOffset() {
		f.report(fault.New(fault.LogGap, "log keeps records from offset %d: want offset %d", bounds.GetOldestOffset(), state.Offset()+1))
		return false
	}
	return f.replace(state)
}

// newestSnapshot returns the newest whole snapshot on the log, or nil.
func (f *Follower) newestSnapshot(ctx context.Context) *fold.State {
	bounds, err := f.readLog(ctx, fold.SnapshotStream, beyondHead, 1, 0)
	if err != nil {
		return nil
	}
	for window := int64(firstWindow); window <= lastWindow; window *= 4 {
		after := max(bounds.GetHeadOffset()-window, bounds.GetOldestOffset()-1)
		state := f.snapshotAfter(ctx, after, bounds.GetHeadOffset())
		if state != nil || after < bounds.GetOldestOffset() {
			return state
		}
	}
	return nil
}

// snapshotAfter returns the newest snapshot that is whole and undamaged between two offsets.
func (f *Follower) snapshotAfter(ctx context.Context, after, head int64) *fold.State {
	var assembler fold.ChunkAssembler
	var newest *fold.State
	for after < head {
		response, err := f.readLog(ctx, fold.SnapshotStream, after, firstWindow, 0)
		if err != nil || len(response.GetRecords()) == 0 {
			return newest
		}
		for _, record := range response.GetRecords() {
			after = record.GetOffset()
			newest = f.addChunk(&assembler, record, newest)
		}
	}
	return newest
}

func (f *Follower) addChunk(assembler *fold.ChunkAssembler, record *v1.LogRecord, newest *fold.State) *fold.State {
	chunk, damaged := fold.DecodeChunk(record.GetData())
	if damaged != nil {
		f.cfg.Logger.WithField("event", "snapshot_chunk_skipped").WithField("kind", damaged.Kind).WithField("chunk", record.GetOffset()).Warn("snapshot chunk skipped")
		return newest
	}
	chunks, whole := assembler.Add(chunk)
	if !whole || (newest != nil && chunk.GetOffset() <= newest.Offset()) {
		return newest
	}
	state, damaged := fold.AssembleSnapshot(chunks)
	if damaged != nil {
		f.cfg.Logger.WithField("event", "snapshot_skipped").WithField("kind", damaged.Kind).WithField("offset", chunk.GetOffset()).Warn("snapshot skipped")
		return newest
	}
	return state
}
