package main

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/refusal"
	"turmericyoke/internal/standin/logsvc"
	"turmericyoke/internal/structs"
)

func zoneOf(names ...string) []structs.GatewayEntry {
	var entries []structs.GatewayEntry
	for _, name := range names {
		entries = append(entries, structs.GatewayEntry{Name: name, Incarnation: name + "-1", Zone: "west"})
	}
	return entries
}

// Guards against refusals of a lost gateway that no peer appends, and against copies that go to
// several peers.
func TestPeerAppendsRefusalsOfALostGateway(t *testing.T) {
	log := logsvc.New()
	lost, kept := newRefusalRecord("g1", "g1-1", log), newRefusalRecord("g2", "g2-1", log)
	zone := zoneOf("g1", "g2", "g3")
	lost.observeMembers(zone)
	kept.observeMembers(zone)
	id := lost.recorder.Add(refusal.Refusal{Team: "clips", Pool: "counting", Kind: fault.TeamLimit})
	assert.Assert(t, lost.RefusalsFor("g3") == nil)
	kept.StoreRefusalCopy(lost.RefusalsFor("g2"))

	zone[0].Suspected = true
	kept.observeMembers(zone)
	kept.handOverOnce(t.Context())

	reader := refusal.NewReader()
	_, err := refusal.ReadAll(t.Context(), log, reader)
	assert.NilError(t, err)
	explanation, explainErr := reader.Explain(id)
	assert.Assert(t, explainErr == nil)
	assert.Equal(t, explanation.Entries[0].GetTeam(), "clips")
	assert.Equal(t, len(kept.lost), 0)
}

// Guards against a hand-over that is given up while the log is down.
func TestHandOverWaitsForTheLog(t *testing.T) {
	log := logsvc.New()
	lost, kept := newRefusalRecord("g1", "g1-1", log), newRefusalRecord("g2", "g2-1", log)
	kept.observeMembers(zoneOf("g1", "g2"))
	lost.observeMembers(zoneOf("g1", "g2"))
	lost.recorder.Add(refusal.Refusal{Team: "clips", Pool: "counting", Kind: fault.TeamLimit})
	kept.StoreRefusalCopy(lost.RefusalsFor("g2"))
	kept.observeMembers(zoneOf("g2"))

	log.UpdateFaults(func(f *logsvc.Faults) { f.Outage = true })
	kept.handOverOnce(context.Background())
	assert.Equal(t, len(kept.lost), 1)
	log.UpdateFaults(func(f *logsvc.Faults) { f.Outage = false })
	kept.handOverOnce(context.Background())
	assert.Equal(t, len(kept.lost), 0)
	response, err := log.Read(t.Context(), &v1.ReadRequest{Stream: refusal.Stream, MaxRecords: 10})
	assert.NilError(t, err)
	assert.Equal(t, len(response.GetRecords()), 1)
}
