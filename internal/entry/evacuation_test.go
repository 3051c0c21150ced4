package entry

import (
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"turmericyoke/internal/entry/peer"
	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

// newEvacuationEntry returns an entry process with the peers.
func newEvacuationEntry(peers peersOnly) *Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return &Entry{Logger: logrus.NewEntry(logger), Election: peers, PeerClients: peer.NewClients(),
		DecodeConfig: func([]byte) (*work.Config, error) { return nil, errors.New("no configuration is expected") }}
}

// Guards against evacuations that stay in force although the log has dropped their withdrawal, and against a request that is
// missed when it is withdrawn and repeated.
func TestEvacuationsFollowTheLog(t *testing.T) {
	e := newEvacuationEntry(nil)
	for _, tt := range []struct {
		update infra.ConfigUpdate
		want   []string
	}{
		{infra.ConfigUpdate{Complete: true, Offset: 5, Evacuations: []infra.EvacuationChange{{Zone: "a", Offset: 2}, {Zone: "b", Offset: 3}}}, []string{"a", "b"}},
		{infra.ConfigUpdate{Offset: 5}, []string{"a", "b"}},
		{infra.ConfigUpdate{Offset: 8, Evacuations: []infra.EvacuationChange{{Zone: "a", Ended: true, Offset: 5}, {Zone: "a", Offset: 6}, {Zone: "b", Ended: true, Offset: 7}}}, []string{"a"}},
		{infra.ConfigUpdate{Offset: 9, Evacuations: []infra.EvacuationChange{{Zone: "b", Offset: 8}}}, []string{"a", "b"}},
		{infra.ConfigUpdate{Complete: true, Offset: 20, Evacuations: []infra.EvacuationChange{{Zone: "b", Offset: 8}}}, []string{"b"}},
		// A failed read has no records.
		{infra.ConfigUpdate{Offset: 20}, []string{"b"}},
	} {
		e.applyUpdate(tt.update)
		assert.DeepEqual(t, e.evacuations.names(), tt.want)
	}
}

// evacuationPeer is an entry process that knows evacuated zones.
type evacuationPeer struct {
	peer.Service
	response peer.ConfigResponse
}

func (p *evacuationPeer) Config(context.Context, *peer.ConfigRequest) (*peer.ConfigResponse, error) {
	return &p.response, nil
}

// Guards against starts in an evacuated zone by a process that can't read the log, and against an evacuation that such a
// process undoes: a peer that is cut off itself has an older set, and the process later reads records that its set includes.
func TestEvacuationsOfThePeerThatHasReadFurthestApply(t *testing.T) {
	var members peersOnly
	for _, response := range []peer.ConfigResponse{{}, {EvacuationOffset: 4, Evacuated: []string{"old"}}, {EvacuationOffset: 9, Evacuated: []string{"a"}}} {
		server := httptest.NewServer(peer.NewHandler(&evacuationPeer{response: response}))
		defer server.Close()
		members = append(members, infra.Member{Name: "peer", Address: server.Listener.Addr().String()})
	}
	e := newEvacuationEntry(members)
	e.applyUpdate(infra.ConfigUpdate{Complete: true, Offset: 3})
	e.fetchConfigFromPeers(t.Context())
	assert.DeepEqual(t, e.evacuations.names(), []string{"a"})
	e.applyUpdate(infra.ConfigUpdate{Offset: 6, Evacuations: []infra.EvacuationChange{{Zone: "a", Offset: 3}, {Zone: "a", Ended: true, Offset: 4}, {Zone: "old", Offset: 5}}})
	assert.DeepEqual(t, e.evacuations.names(), []string{"a"})
	e.applyUpdate(infra.ConfigUpdate{Offset: 10, Evacuations: []infra.EvacuationChange{{Zone: "a", Ended: true, Offset: 9}}})
	assert.DeepEqual(t, e.evacuations.names(), []string{})
}

// Checks that a process passes on the evacuated zones also to peers that have its configuration.
func TestPeersGetEvacuationsWithoutANewerConfiguration(t *testing.T) {
	e := newEvacuationEntry(nil)
	e.applyUpdate(infra.ConfigUpdate{Config: &work.Config{Version: 3}, Complete: true, Offset: 7, Evacuations: []infra.EvacuationChange{{Zone: "a", Offset: 6}}})
	response, err := e.PeerService().Config(t.Context(), &peer.ConfigRequest{Version: 3})
	assert.NilError(t, err)
	assert.DeepEqual(t, response, &peer.ConfigResponse{Evacuated: []string{"a"}, EvacuationOffset: 7})
}
