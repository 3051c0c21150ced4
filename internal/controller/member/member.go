// Package member makes the controller a member of the fleet: it joins when the controller starts and leaves
// when it shuts down.
package member

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/fold"
)

const (
	// joinRetryInterval is the time between attempts to join while the log is unavailable.
	joinRetryInterval = 2 * time.Second
	// membershipCheckInterval is how often the controller checks that it still is a member in the state.
	membershipCheckInterval = 5 * time.Second
	// leaveTimeout bounds the wait for the log during shutdown. A controller that couldn't leave keeps its
	// rank until its own next Join replaces it or it is suspected because its host is confirmed to be off.
	leaveTimeout = 3 * time.Second
)

// Proposer appends proposals under the controller's incarnation.
type Proposer interface {
	Propose(ctx context.Context, record *v1.Record) (fold.Verdict, error)
}

// State gives access to the folded state, which holds the members.
type State interface {
	Read(use func(*fold.State)) bool
}

// Membership joins the fleet under the controller's name and incarnation, and tracks whether it is a member.
type Membership struct {
	Name        string
	Incarnation string
	Zone        string
	Address     string
	Proposer    Proposer
	State       State
	Logger      *logrus.Entry

	joined atomic.Bool
}

// Joined reports whether the controller is a member, so that its own proposals can be accepted.
func (m *Membership) Joined() bool { return m.joined.Load() }

// Run joins the fleet and checks the membership until ctx ends. It returns an error once the controller has
// been replaced or is suspected: another process has joined under its name, or an operator has declared its
// host off.
func (m *Membership) Run(ctx context.Context) error {
	if err := m.join(ctx); err != nil {
		return err
	}
	ticker := time.NewTicker(membershipCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if !m.isMember() {
			m.joined.Store(false)
			return fault.New(fault.ProposerUnknown, "controller %s with incarnation %s stops: it was replaced by another process or is suspected", m.Name, m.Incarnation)
		}
	}
}

// join proposes to join until the proposal is accepted or rejected. It also succeeds if the state shows the
// controller as a member although the answer to the proposal was lost.
func (m *Membership) join(ctx context.Context) error {
	record := &v1.Record{Payload: &v1.Record_Join{Join: &v1.Join{
		Zone: m.Zone, Address: m.Address, Role: v1.Role_ROLE_CONTROLLER,
	}}}
	for {
		verdict, err := m.Proposer.Propose(ctx, record)
		switch {
		case err == nil && verdict.Accepted, m.isMember():
			m.joined.Store(true)
			m.Logger.WithField("event", "controller_joined").WithField("offset", verdict.Offset).Info("controller joined")
			return nil
		case err == nil:
			return fault.New(verdict.Kind, "the controller's join was rejected: %s", verdict.Detail)
		}
		m.Logger.WithField("event", "join_failed").WithField("kind", fault.KindOf(err)).WithError(err).Warn("controller can't join yet")
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(joinRetryInterval):
		}
	}
}

// isMember reports whether the state has this incarnation of the controller as a member that isn't suspected.
func (m *Membership) isMember() bool {
	found := false
	m.State.Read(func(state *fold.State) {
		for _, member := range state.Escrow.Members(v1.Role_ROLE_CONTROLLER) {
			if member.Name == m.Name && member.Incarnation == m.Incarnation && !member.Suspected {
				found = true
			}
		}
	})
	return found
}

// Leave removes the controller from the fleet, and so from the ranks: the other controllers then needn't wait
// for it before they act. It does nothing if the controller isn't a member.
func (m *Membership) Leave() {
	if !m.joined.Swap(false) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	_, err := m.Proposer.Propose(ctx, &v1.Record{Payload: &v1.Record_Leave{Leave: &v1.Leave{}}})
	if err != nil {
		m.Logger.WithField("event", "leave_failed").WithField("kind", fault.KindOf(err)).WithError(err).Warn("controller didn't leave")
		return
	}
	m.Logger.WithField("event", "controller_left").Info("controller left")
}
