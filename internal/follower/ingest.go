package follower

import (
	"bytes"
	"time"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/fold"
)

// rawRecord is an encoded record from a response of the log or of a peer.
type rawRecord interface {
	GetOffset() int64
	GetData() []byte
}

// ingest folds the records, except those that the state already includes. It returns false if there is no
// state, the follower has stopped, or a record can't be folded, for example because of a gap before it.
func ingest[R rawRecord](f *Follower, records []R) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopErr != nil || f.state == nil {
		return false
	}
	previousOffset := f.state.Offset()
	defer func() {
		if f.state.Offset() != previousOffset {
			f.notify()
		}
	}()
	for _, record := range records {
		if record.GetOffset() <= f.state.Offset() {
			continue
		}
		if _, err := f.state.Apply(record.GetOffset(), record.GetData()); err != nil {
			f.handleApplyError(err)
			return false
		}
		f.recentRecords.add(bufferedRecord{offset: record.GetOffset(), data: record.GetData(), hash: f.state.Hash()})
	}
	return true
}

// handleApplyError records a gap as recoverable, since a peer's state or a snapshot can cover it, and stops
// folding on any other error. f.mu must be held.
func (f *Follower) handleApplyError(err error) {
	if fault.KindOf(err) == fault.LogGap {
		f.setRecoverableErr(fault.Wrap(fault.LogGap, err, "the log or peer skipped records"))
		return
	}
	f.stopFolding(fault.Wrap(fault.KindOf(err), err, "record %d can't be folded", f.state.Offset()+1))
}

// stopFolding ends folding with err. The last state stays readable. f.mu must be held.
func (f *Follower) stopFolding(err *fault.Error) {
	if f.stopErr != nil {
		return
	}
	f.stopErr = err
	f.cfg.Logger.WithField("event", "follower_stopped").WithField("kind", err.Kind).WithField("offset", f.offsetLocked()).WithError(err).Error("follower stopped")
	f.notify()
}

// setRecoverableErr stores err, and logs it if its kind differs from that of the stored error. f.mu must
// be held.
func (f *Follower) setRecoverableErr(err *fault.Error) {
	if f.recoverableErr == nil || f.recoverableErr.Kind != err.Kind {
		f.cfg.Logger.WithField("event", "follower_impaired").WithField("kind", err.Kind).WithField("offset", f.offsetLocked()).WithError(err).Warn("follower impaired")
		f.recoverableErr = err
		f.notify()
		return
	}
	f.recoverableErr = err
}

func (f *Follower) reportRecoverableErr(err *fault.Error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setRecoverableErr(err)
}

func (f *Follower) clearRecoverableErr() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.recoverableErr != nil {
		f.cfg.Logger.WithField("event", "follower_recovered").WithField("kind", f.recoverableErr.Kind).WithField("offset", f.offsetLocked()).Info("follower recovered")
		f.recoverableErr = nil
		f.notify()
	}
}

// notify wakes all receivers of Changed. f.mu must be held.
func (f *Follower) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// replaceState replaces the state by a newer one. It returns false if the given state isn't newer or the
// follower has stopped.
func (f *Follower) replaceState(state *fold.State) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopErr != nil || (f.state != nil && state.Offset() <= f.state.Offset()) {
		return false
	}
	f.state = state
	f.recentRecords.clear()
	f.cfg.Logger.WithField("event", "state_loaded").WithField("offset", state.Offset()).WithField("version", state.Version()).Info("state loaded")
	f.notify()
	return true
}

// updateFreshness records that offset was the head of the log at the given time of the clock. It has no effect while the
// state is below that offset.
func (f *Follower) updateFreshness(offset int64, asOf time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.offsetLocked() >= offset && (!f.freshKnown || asOf > f.freshAsOf) {
		f.freshAsOf, f.freshKnown = asOf, true
	}
}

// checkPeerHash stops the follower if its running hash at offset differs from that of a peer. Without a
// hash on both sides it does nothing.
func (f *Follower) checkPeerHash(peer string, offset int64, hash []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ownHash := f.hashAt(offset)
	if ownHash == nil || len(hash) == 0 || bytes.Equal(ownHash, hash) {
		return
	}
	f.stopFolding(fault.New(fault.StateDiverged, "hash %x at offset %d: controller %s has %x", ownHash, offset, peer, hash))
}

// hashAt returns the running hash at offset, or nil if it is no longer kept. f.mu must be held.
func (f *Follower) hashAt(offset int64) []byte {
	if f.state == nil {
		return nil
	}
	if f.state.Offset() == offset {
		return f.state.Hash()
	}
	if record := f.recentRecords.find(offset); record != nil {
		return record.hash
	}
	return nil
}
