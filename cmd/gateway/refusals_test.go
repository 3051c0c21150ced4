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

// gatewayEntries returns a view's entries of gateways in one zone.
func gatewayEntries(names ...string) []structs.GatewayEntry {
	var entries []structs.GatewayEntry
	for _, name := range names {
		entries = append(entries, structs.GatewayEntry{Name: name, Incarnation: name + "-1", Zone: "west"})
	}
	return entries
}

// Checks that the refusals of a lost gateway are appended by the peer that stores its copy, and that only
// one peer receives copies.
func TestPeerAppendsRefusalsOfALostGateway(t *testing.T) {
	log := logsvc.New()
	lostGateway, keepingPeer := newRefusalReplicator("g1", "g1-1", log), newRefusalReplicator("g2", "g2-1", log)
	zone := gatewayEntries("g1", "g2", "g3")
	lostGateway.observeMembers(zone)
	keepingPeer.observeMembers(zone)
	id := lostGateway.recorder.Add(refusal.Refusal{Team: "clips", Pool: "counting", Kind: fault.TeamLimit})
	assert.Assert(t, lostGateway.RefusalsFor("g3") == nil)
	keepingPeer.StoreRefusalCopy(lostGateway.RefusalsFor("g2"))

	zone[0].Suspected = true
	keepingPeer.observeMembers(zone)
	keepingPeer.appendForLostGatewaysOnce(t.Context())

	reader := refusal.NewReader()
	_, err := refusal.ReadAll(t.Context(), log, reader)
	assert.NilError(t, err)
	explained, explainErr := reader.Explain(id)
	assert.Assert(t, explainErr == nil)
	assert.Equal(t, explained.Entries[0].GetTeam(), "clips")
	assert.Equal(t, len(keepingPeer.lostGateways), 0)
}

// Guards against refusals that are lost without a trace, because their gateway had joined again under another incarnation
// before it was lost.
func TestPeerAppendsRefusalsOfAGatewayThatJoinedAgain(t *testing.T) {
	log := logsvc.New()
	lostGateway, keepingPeer := newRefusalReplicator("g1", "g1-1", log), newRefusalReplicator("g2", "g2-1", log)
	zone := gatewayEntries("g1", "g2")
	keepingPeer.observeMembers(zone)
	zone[0].Incarnation = "g1-2"
	lostGateway.observeMembers(zone)
	keepingPeer.observeMembers(zone)
	keepingPeer.appendForLostGatewaysOnce(t.Context())
	id := lostGateway.recorder.Add(refusal.Refusal{Team: "clips", Pool: "counting", Kind: fault.TeamLimit})
	keepingPeer.StoreRefusalCopy(lostGateway.RefusalsFor("g2"))

	zone[0].Suspected = true
	keepingPeer.observeMembers(zone)
	keepingPeer.appendForLostGatewaysOnce(t.Context())

	reader := refusal.NewReader()
	_, err := refusal.ReadAll(t.Context(), log, reader)
	assert.NilError(t, err)
	explained, explainErr := reader.Explain(id)
	assert.Assert(t, explainErr == nil)
	assert.Equal(t, len(explained.Entries), 1)
}

// Checks that a peer goes on trying to append the refusals of a lost gateway while the log is down.
func TestAppendForLostGatewayRetriesWhileLogIsDown(t *testing.T) {
	log := logsvc.New()
	lostGateway, keepingPeer := newRefusalReplicator("g1", "g1-1", log), newRefusalReplicator("g2", "g2-1", log)
	keepingPeer.observeMembers(gatewayEntries("g1", "g2"))
	lostGateway.observeMembers(gatewayEntries("g1", "g2"))
	lostGateway.recorder.Add(refusal.Refusal{Team: "clips", Pool: "counting", Kind: fault.TeamLimit})
	keepingPeer.StoreRefusalCopy(lostGateway.RefusalsFor("g2"))
	keepingPeer.observeMembers(gatewayEntries("g2"))

	log.UpdateFaults(func(f *logsvc.Faults) { f.Outage = true })
	keepingPeer.appendForLostGatewaysOnce(context.Background())
	assert.Equal(t, len(keepingPeer.lostGateways), 1)
	log.UpdateFaults(func(f *logsvc.Faults) { f.Outage = false })
	keepingPeer.appendForLostGatewaysOnce(context.Background())
	assert.Equal(t, len(keepingPeer.lostGateways), 0)
	response, err := log.Read(t.Context(), &v1.ReadRequest{Stream: refusal.Stream, MaxRecords: 10})
	assert.NilError(t, err)
	assert.Equal(t, len(response.GetRecords()), 1)
}
