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
)

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
