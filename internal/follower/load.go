package follower

import (
	"context"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/fold"
)

// Bounds on the number of chunks at the end of the stream that are searched for a snapshot. A snapshot of
// 2,800 hosts has a few chunks, so the smallest window mostly contains a complete one. The largest window
// limits memory to 16 MiB.
const (
	minSnapshotWindow = 16
	maxSnapshotWindow = 256
)

// loadInitialState tries to load a state from the log or from a peer until it succeeds or ctx ends.
func (f *Follower) loadInitialState(ctx context.Context) error {
	backoff := minBackoff
	for !f.loadFromLog(ctx) && !f.loadFromAnyPeer(ctx, 0) {
		if err := sleepWithJitter(ctx, backoff); err != nil {
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

// loadFromLog loads the newest snapshot, or an empty state if there is none. It returns false if the log
// can't be read or no longer keeps the records that follow the snapshot.
func (f *Follower) loadFromLog(ctx context.Context) bool {
	bounds, err := f.readLog(ctx, fold.FleetStream, beyondHeadOffset, 1, 0)
	if err != nil {
		f.reportRecoverableErr(fault.Wrap(fault.LogUnavailable, err, "bounds of the fleet stream can't be read"))
		return false
	}
	f.recordLogHead(bounds.GetHeadOffset())
	state := f.newestSnapshot(ctx)
	if state == nil {
		state = fold.New()
	}
	if state.Offset()+1 < bounds.GetOldestOffset() {
		f.reportRecoverableErr(fault.New(fault.LogGap, "oldest record in the log has offset %d: records from offset %d are needed", bounds.GetOldestOffset(), state.Offset()+1))
		return false
	}
	return f.replaceState(state)
}

// newestSnapshot returns the newest complete snapshot in the log, or nil if there is none within
// maxSnapshotWindow or the log can't be read.
func (f *Follower) newestSnapshot(ctx context.Context) *fold.State {
	bounds, err := f.readLog(ctx, fold.SnapshotStream, beyondHeadOffset, 1, 0)
	if err != nil {
		return nil
	}
	for window := int64(minSnapshotWindow); window <= maxSnapshotWindow; window *= 4 {
		after := max(bounds.GetHeadOffset()-window, bounds.GetOldestOffset()-1)
		state := f.newestSnapshotBetween(ctx, after, bounds.GetHeadOffset())
		if state != nil || after < bounds.GetOldestOffset() {
			return state
		}
	}
	return nil
}

// newestSnapshotBetween returns the newest complete and undamaged snapshot among the chunks after the offset
// after, up to head, or nil.
func (f *Follower) newestSnapshotBetween(ctx context.Context, after, head int64) *fold.State {
	var assembler fold.ChunkAssembler
	var newest *fold.State
	for after < head {
		response, err := f.readLog(ctx, fold.SnapshotStream, after, minSnapshotWindow, 0)
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

// addChunk adds the record's chunk to the assembler. It returns the snapshot that the chunk completes if it
// is newer than newest, and newest otherwise. Damaged chunks and snapshots are logged and skipped.
func (f *Follower) addChunk(assembler *fold.ChunkAssembler, record *v1.LogRecord, newest *fold.State) *fold.State {
	chunk, decodeErr := fold.DecodeChunk(record.GetData())
	if decodeErr != nil {
		f.cfg.Logger.WithField("event", "snapshot_chunk_skipped").WithField("kind", decodeErr.Kind).WithField("chunk", record.GetOffset()).Warn("snapshot chunk skipped")
		return newest
	}
	chunks, complete := assembler.Add(chunk)
	if !complete || (newest != nil && chunk.GetOffset() <= newest.Offset()) {
		return newest
	}
	state, decodeErr := fold.AssembleSnapshot(chunks)
	if decodeErr != nil {
		f.cfg.Logger.WithField("event", "snapshot_skipped").WithField("kind", decodeErr.Kind).WithField("offset", chunk.GetOffset()).Warn("snapshot skipped")
		return newest
	}
	return state
}
