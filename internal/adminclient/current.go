package adminclient

import (
	"context"
	"errors"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/api/turmericyoke/v1/turmericyokev1connect"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/periodic"
	"turmericyoke/internal/structs"
)

const (
	// currencyTimeout bounds the wait until the state of one controller is known to be current. While the log is
	// quiet, a controller learns in each poll of 2 s that it had the head when the poll began.
	currencyTimeout      = 6 * time.Second
	currencyPollInterval = 100 * time.Millisecond
	// RecentAge is the age up to which a state counts as recent. On a quiet log, the state of a controller that reaches
	// it is up to two polls of 2 s old.
	RecentAge = 10 * time.Second
)

// QueryRecent is like Query, but passes over controllers without a recent state as long as another one has one. It
// returns an upper bound on the age of the state from which the answer was made.
func (c *Client) QueryRecent(ctx context.Context, section, name string, out any) (time.Duration, error) {
	var older []agedController
	var errs []error
	for _, controller := range c.controllers {
		state, err := askAge(ctx, controller)
		if err == nil && state.age(time.Now()) > RecentAge {
			older = append(older, state)
			continue
		}
		if err == nil {
			err = state.query(ctx, section, name, out)
		}
		if err == nil {
			return state.age(time.Now()), nil
		}
		errs = append(errs, err)
	}
	for _, state := range older {
		err := state.query(ctx, section, name, out)
		if err == nil {
			return state.age(time.Now()), nil
		}
		errs = append(errs, err)
	}
	return 0, noControllerAnswered(errs)
}

// agedController is a controller whose state had an age when it was asked for it.
type agedController struct {
	controller turmericyokev1connect.ControllerServiceClient
	askedAt    time.Time
	ageThen    time.Duration
}

// age returns an upper bound on the age of the controller's state. Later records can only make it more recent.
func (a agedController) age(now time.Time) time.Duration { return a.ageThen + now.Sub(a.askedAt) }

func (a agedController) query(ctx context.Context, section, name string, out any) error {
	source := Client{controllers: []turmericyokev1connect.ControllerServiceClient{a.controller}}
	_, err := source.Query(ctx, section, name, out)
	return err
}

// maxAge limits the age of a state that was never current, which would overflow.
const maxAge = 365 * 24 * time.Hour

// askAge asks the controller for the age of its state.
func askAge(ctx context.Context, controller turmericyokev1connect.ControllerServiceClient) (agedController, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	askedAt := time.Now()
	status, err := controller.Status(ctx, &v1.StatusRequest{})
	millis := min(status.GetFreshnessMs(), uint64(maxAge.Milliseconds()))
	return agedController{controller: controller, askedAt: askedAt, ageThen: time.Duration(millis) * time.Millisecond}, err
}

// CurrentDocument returns the document that was the accepted one at some moment after the call began. Use it, and not
// Document, to conclude that the accepted document doesn't have something: a controller that is cut off from the log
// answers from an older one.
func (c *Client) CurrentDocument(ctx context.Context) (*structs.DocumentStatus, error) {
	askedAt := time.Now()
	var errs []error
	for _, controller := range c.controllers {
		status := &structs.DocumentStatus{}
		err := queryCurrent(ctx, controller, askedAt, "document", status)
		if err == nil {
			return status, nil
		}
		errs = append(errs, err)
	}
	return nil, fault.Wrap(fault.NotReady, errors.Join(errs...), "no controller is known to have the current document")
}

// queryCurrent decodes a section of the state into out once the state includes the head that the log had at askedAt.
func queryCurrent(ctx context.Context, controller turmericyokev1connect.ControllerServiceClient, askedAt time.Time, section string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, currencyTimeout)
	defer cancel()
	offset, err := waitUntilCurrent(ctx, controller, askedAt)
	if err != nil {
		return err
	}
	response, err := controller.Query(ctx, &v1.QueryRequest{Section: section})
	if err != nil {
		return err
	}
	if err := atOffset(offset)(response); err != nil {
		return err
	}
	return decodeSection(response, section, out)
}

// waitUntilCurrent returns an offset that is at least the head that the log had at askedAt, once the controller has
// folded it.
func waitUntilCurrent(ctx context.Context, controller turmericyokev1connect.ControllerServiceClient, askedAt time.Time) (int64, error) {
	for {
		sentAt := time.Now()
		status, err := controller.Status(ctx, &v1.StatusRequest{})
		switch {
		case err != nil:
			return 0, err
		case status.GetFreshnessMs() >= uint64(currencyTimeout.Milliseconds()):
			return 0, fault.New(fault.NotReady, "the controller is cut off from the log")
		}
		// The age is counted from when the controller answered, which is after sentAt. It is rounded down.
		age := time.Duration(status.GetFreshnessMs()+1) * time.Millisecond
		if !sentAt.Add(-age).Before(askedAt) {
			return status.GetOffset(), nil
		}
		if err := periodic.Pause(ctx, currencyPollInterval); err != nil {
			return 0, fault.Wrap(fault.NotReady, err, "the state isn't known to be current")
		}
	}
}
