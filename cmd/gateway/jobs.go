package main

import (
	"context"
	"encoding/json"
	"errors"

	"connectrpc.com/connect"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/controller/schedule"
	"turmericyoke/internal/fault"
)

// jobClient submits and looks up jobs through the configured controllers.
type jobClient struct{ clients *processClients }

// Propose implements schedule.Proposer. A call that may have reached a controller isn't repeated at
// another one: that controller would append the submission under another envelope, and the fold would
// take it for a repeated submission of the job.
func (j jobClient) Propose(ctx context.Context, record *v1.Record) error {
	var errs []error
	for _, controller := range j.clients.controllers {
		response, err := controller.Propose(ctx, &v1.ProposeRequest{Record: record})
		switch {
		case err == nil && response.GetAccepted():
			return nil
		case err == nil:
			return fault.New(fault.Kind(response.GetKind()), "%s", response.GetDetail())
		case connect.CodeOf(err) != connect.CodeUnavailable:
			return fault.Wrap(fault.AppendUnsettled, err, "the job may have been accepted")
		}
		errs = append(errs, err)
	}
	return fault.Wrap(fault.AppendUnsettled, errors.Join(errs...), "no controller told the verdict")
}

// LookupJob implements schedule.Lookup.
func (j jobClient) LookupJob(ctx context.Context, job string) (schedule.LookupResult, error) {
	var errs []error
	for _, controller := range j.clients.controllers {
		response, err := controller.Query(ctx, &v1.QueryRequest{Section: "job", Name: job})
		if err != nil {
			errs = append(errs, err)
			continue
		}
		result := schedule.LookupResult{}
		err = json.Unmarshal(response.GetJson(), &result)
		return result, err
	}
	return schedule.LookupResult{}, fault.Wrap(fault.NotReady, errors.Join(errs...), "no controller answered")
}
