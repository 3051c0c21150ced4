package serve

import (
	"context"
	"encoding/json"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/controller/schedule"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/fold"
	"turmericyoke/internal/structs"
)

// Query implements the ControllerService. It returns one section of the state as JSON.
func (s *Service) Query(_ context.Context, request *v1.QueryRequest) (*v1.QueryResponse, error) {
	if !s.cfg.Follower.Ready() {
		return nil, connectError(fault.New(fault.NotReady, "the controller hasn't caught up with the log yet"))
	}
	response := &v1.QueryResponse{}
	var sectionErr error
	hasState := s.cfg.Follower.Read(func(state *fold.State) {
		response.Offset, response.ConfigVersion = state.Offset(), state.Version()
		// Sections are encoded under the lock, since later records change them in place.
		response.Json, sectionErr = encodeSection(state, request.GetSection(), request.GetName())
	})
	if !hasState {
		return nil, connectError(fault.New(fault.NotReady, "no state yet"))
	}
	if sectionErr != nil {
		return nil, connectError(sectionErr)
	}
	return response, nil
}

// encodeSection returns the named section of the state as JSON. The name selects one entry of the section, or
// all entries if it is empty.
func encodeSection(state *fold.State, section, name string) ([]byte, error) {
	switch section {
	case "document":
		return encodeJSON(structs.DocumentStatus{Version: state.Version(), Document: *state.Document()})
	case "teams":
		return encodeJSON(teamStatuses(state, name))
	case "hosts":
		return encodeJSON(hostStatuses(state, name))
	case "holders":
		return encodeJSON(gatewayEntries(state, name))
	case "verdicts":
		return encodeJSON(verdictStatuses(state))
	case "waves":
		return encodeJSON(waveStatuses(state, name))
	case "job":
		return encodeJSON(schedule.FindJob(state.Jobs, name))
	case "jobs":
		return encodeJSON(jobStatuses(state, name))
	default:
		return nil, fault.New(fault.RequestInvalid, "section %q: want document, hosts, teams, waves, jobs, holders or verdicts", section)
	}
}

// encodeJSON encodes a section; an encoding failure is an internal fault.
func encodeJSON(value any) ([]byte, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "answer can't be encoded")
	}
	return data, nil
}

// teamStatuses returns the named team, or all teams, in the order of the document.
func teamStatuses(state *fold.State, name string) []structs.TeamStatus {
	statuses := []structs.TeamStatus{}
	for _, team := range state.Document().Teams {
		account := state.Escrow.Teams[team.Name]
		if account == nil || (name != "" && name != team.Name) {
			continue
		}
		status := structs.TeamStatus{
			Name: team.Name, Share: team.Share, UpperLimit: team.UpperLimit,
			JobUnits: account.JobUnits, Held: account.Held, Unallocated: state.Escrow.Unallocated(team.Name),
		}
		if account.Surrendering {
			target := account.SurrenderTarget
			status.SurrenderTarget = &target
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// hostStatuses returns the named host, or all hosts.
func hostStatuses(state *fold.State, name string) []structs.HostStatus {
	statuses := []structs.HostStatus{}
	for _, host := range state.Inventory.Hosts() {
		if name != "" && name != host.Name {
			continue
		}
		statuses = append(statuses, structs.HostStatus{
			Name: host.Name, Pool: host.Pool, Zone: host.Zone, Rack: host.Rack, Phase: string(host.Phase),
			Epoch: host.Epoch, MoveTo: host.MoveTo, Wave: host.Wave, SinceOffset: host.SinceOffset,
		})
	}
	return statuses
}

// gatewayEntries returns the named gateway, or all gateways that have joined.
func gatewayEntries(state *fold.State, name string) []structs.GatewayEntry {
	entries := []structs.GatewayEntry{}
	for _, member := range state.Escrow.Members(v1.Role_ROLE_GATEWAY) {
		if name == "" || name == member.Name {
			entries = append(entries, member.GatewayEntry())
		}
	}
	return entries
}

// verdictStatuses returns the recent verdicts on all proposals, preceded by the older verdicts on operators'
// proposals that are kept longer. The oldest comes first.
func verdictStatuses(state *fold.State) []structs.VerdictStatus {
	recent := state.RecentVerdicts()
	statuses := []structs.VerdictStatus{}
	for _, verdict := range state.OperatorVerdicts() {
		if len(recent) == 0 || verdict.Offset < recent[0].Offset {
			statuses = append(statuses, verdictStatus(verdict))
		}
	}
	for _, verdict := range recent {
		statuses = append(statuses, verdictStatus(verdict))
	}
	return statuses
}

// verdictStatus converts a verdict of the fold to its form in query responses.
func verdictStatus(v fold.Verdict) structs.VerdictStatus {
	return structs.VerdictStatus{
		Offset: v.Offset, Proposer: v.Proposer, TimeUnixMS: v.TimeUnixMS, Payload: v.Payload,
		Author: v.Author, Subject: v.Subject, Accepted: v.Accepted,
		Kind: string(v.Kind), Detail: v.Detail, ConfigVersion: v.Version,
	}
}
