package main

import (
	"context"
	"encoding/json"
	"errors"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/controller/schedule"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/transport"
)

// jobClient submits and looks up jobs through the configured controllers.
type jobClient struct{ clients *processClients }

// Propose implements schedule.Proposer. A call that may have reached a controller isn't repeated at
// another one: that controller would append the submission under another envelope, and its verdict would
// say nothing about the first copy, which may still be accepted later.
func (j jobClient) Propose(ctx context.Context, record *v1.Record) error {
	var errs []error
	for _, controller := range j.clients.controllers {
		var trace transport.CallTrace
		response, err := controller.Propose(trace.Context(ctx), &v1.ProposeRequest{Record: record})
		switch {
		case err == nil && response.GetAccepted():
			return nil
		case err == nil:
			return fault.New(fault.Kind(response.GetKind()), "%s", response.GetDetail())
		case !trace.Unsent(err) && !transport.IsUnavailableAnswer(err):
			return fault.Wrap(fault.AppendUnsettled, err, "the job may have been accepted")
		}
		errs = append(errs, err)
	}
	return fault.Wrap(fault.AppendUnsettled, errors.Join(errs...), "no controller told the verdict")
}

// LookupJob implements schedule.Lookup. It asks all controllers until one of them knows the job, since the state of
// a controller may be older than the job.
func (j jobClient) LookupJob(ctx context.Context, job string) (schedule.LookupResult, error) {
	var errs []error
	for _, controller := range j.clients.controllers {
		response, err := controller.Query(ctx, &v1.QueryRequest{Section: "job", Name: job})
		if err != nil {
			errs = append(errs, err)
			continue
		}
		result := schedule.LookupResult{}
		if err := json.Unmarshal(response.GetJson(), &result); err != nil || result.Found {
			return result, err
		}
	}
	if len(errs) > 0 {
		return schedule.LookupResult{}, fault.Wrap(fault.NotReady, errors.Join(errs...), "not all controllers answered")
	}
	return schedule.LookupResult{}, nil
}
