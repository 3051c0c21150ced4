package follower

import (
	"bytes"
	"time"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/fold"
)

// raw is one record as the log or a peer returned it.
type raw interface {
	GetOffset() int64
	GetData() []byte
}

// ingest folds the records that follow the state, and skips those that it has. It returns false
// when the follower has stopped, or when records are missing before the first new one.
func ingest[R raw](f *Follower, records []R) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped != nil || f.state == nil {
		return false
	}
	before := f.state.Offset()
	defer func() {
		if f.state.Offset() != before {
			f.notify()
		}
	}()
	for _, record := range records {
		if record.GetOffset() <= f.state.Offset() {
			continue
		}
		if _, err := f.state.Apply(record.GetOffset(), record.GetData()); err != nil {
			f.reject(err)
			return false
		}
		f.ring.add(ringEntry{offset: record.GetOffset(), data: record.GetData(), hash: f.state.Hash()})
	}
	return true
}

// reject needs the lock. A gap can be filled from a peer or a snapshot; other errors can't.
func (f *Follower) reject(err error) {
	if fault.KindOf(err) == fault.LogGap {
		f.setProblem(fault.Wrap(fault.LogGap, err, "records are missing"))
		return
	}
	f.stop(fault.Wrap(fault.KindOf(err), err, "record %d can't be folded", f.state.Offset()+1))
}

// stop needs the lock. It ends folding; the state stays.
func (f *Follower) stop(err *fault.Error) {
	if f.stopped != nil {
		return
	}
	f.stopped = err
	f.cfg.Logger.WithField("event", "follower_stopped").WithField("kind", err.Kind).WithField("offset", f.offset()).WithError(err).Error("follower stopped")
	f.notify()
}

// setProblem needs the lock. It logs an error when its kind is new.
func (f *Follower) setProblem(err *fault.Error) {
	if f.problem == nil || f.problem.Kind != err.Kind {
		f.cfg.Logger.WithField("event", "follower_impaired").WithField("kind", err.Kind).WithField("offset", f.offset()).WithError(err).Warn("follower impaired")
		f.problem = err
		f.notify()
		return
	}
	f.problem = err
}

func (f *Follower) report(err *fault.Error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setProblem(err)
}

func (f *Follower) recovered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.problem != nil {
		f.cfg.Logger.WithField("event", "follower_recovered").WithField("kind", f.problem.Kind).WithField("offset", f.offset()).Info("follower recovered")
		f.problem = nil
		f.notify()
	}
}

// notify needs the lock.
func (f *Follower) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// replace takes over a state that is newer than the present one, and returns false otherwise.
func (f *Follower) replace(state *fold.State) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped != nil || (f.state != nil && state.Offset() <= f.state.Offset()) {
		return false
	}
	f.state = state
	f.ring.clear()
	f.cfg.Logger.WithField("event", "state_loaded").WithField("offset", state.Offset()).WithField("version", state.Version()).Info("state loaded")
	f.notify()
	return true
}

// markFresh notes that the state, at offset, included the log's head at the moment.
func (f *Follower) markFresh(offset int64, moment time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.offset() >= offset && moment.After(f.freshAt) {
		f.freshAt = moment
	}
}

// compareHash stops the follower when its running hash at offset differs from a peer's.
func (f *Follower) compareHash(peer string, offset int64, hash []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	own := f.hashAt(offset)
	if own == nil || len(hash) == 0 || bytes.Equal(own, hash) {
		return
	}
	f.stop(fault.New(fault.StateDiverged, "hash %x at offset %d: controller %s has %x", own, offset, peer, hash))
}

// hashAt needs the lock. It returns nil when the hash at offset isn't kept.
func (f *Follower) hashAt(offset int64) []byte {
	if f.state == nil {
		return nil
	}
	if f.state.Offset() == offset {
		return f.state.Hash()
	}
	if entry := f.ring.at(offset); entry != nil {
		return entry.hash
	}
	return nil
}
