// Package member joins the controller to the fleet and takes it out again.
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
	// joinRetryInterval is the time between attempts to join while the log is down.
	joinRetryInterval = 2 * time.Second
	// membershipCheckInterval is how often the state is asked whether the controller still is a member.
	membershipCheckInterval = 5 * time.Second
	// leaveTimeout bounds the wait for the log during shutdown; a controller that didn't leave is
	// replaced by its next Join, or left out of ranks by the host list.
	leaveTimeout = 3 * time.Second
)

// Proposer appends proposals under the controller's incarnation.
type Proposer interface {
	Propose(ctx context.Context, record *v1.Record) (fold.Verdict, error)
}

// State is the source of membership.
type State interface {
	Read(use func(*fold.State)) bool
}

// Membership is the controller's place in the fleet.
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

// Joined reports whether the controller's own proposals can be accepted.
func (m *Membership) Joined() bool { return m.joined.Load() }

// Run joins, and returns an error once the controller was replaced or suspected: its name then
// belongs to another process, or an operator has declared its host off.
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
			return fault.New(fault.ProposerUnknown, "%s %s was replaced or is suspected", m.Name, m.Incarnation)
		}
	}
}

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
			return fault.New(verdict.Kind, "join was rejected: %s", verdict.Detail)
		}
		m.Logger.WithField("event", "join_failed").WithField("kind", fault.KindOf(err)).WithError(err).Warn("controller can't join yet")
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(joinRetryInterval):
		}
	}
}

// isMember reports whether the state has the controller's incarnation, not suspected.
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

// Leave takes the controller out of the ranks, so that others act without their delay.
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
