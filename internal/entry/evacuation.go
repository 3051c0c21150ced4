package entry

import (
	"slices"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/entry/peer"
	"turmericyoke/internal/infra"
)

// evacuations is the set of evacuated availability zones as of an offset in the operators' topic.
type evacuations struct {
	zones map[string]bool
	// offset is that up to which the topic was read; 0 before the first read. A peer may have read further than this
	// process.
	offset int64
}

// names returns the names of the zones, sorted.
func (s *evacuations) names() []string {
	names := make([]string, 0, len(s.zones))
	for zone := range s.zones {
		names = append(names, zone)
	}
	slices.Sort(names)
	return names
}

// apply applies what was read from the topic, and reports whether the set changed. Changes before the offset of the set
// are included in it already: it came from a peer that had read further.
func (s *evacuations) apply(update infra.ConfigUpdate) bool {
	before := s.names()
	if update.Complete {
		s.zones = nil
	}
	if s.zones == nil {
		s.zones = map[string]bool{}
	}
	for _, change := range update.Evacuations {
		switch {
		case !update.Complete && change.Offset < s.offset:
		case change.Ended:
			delete(s.zones, change.Zone)
		default:
			s.zones[change.Zone] = true
		}
	}
	if update.Complete {
		s.offset = update.Offset
	}
	s.offset = max(s.offset, update.Offset)
	return !slices.Equal(before, s.names())
}

// applyEvacuations applies the evacuations that operators began or ended. The caller holds e.mu.
func (e *Entry) applyEvacuations(update infra.ConfigUpdate) {
	changed := e.evacuations.apply(update)
	e.peerEvacuations.Store(&peer.ConfigResponse{Evacuated: e.evacuations.names(), EvacuationOffset: e.evacuations.offset})
	if changed {
		e.Logger.WithFields(logrus.Fields{"event": "evacuations_in_force", "zones": e.evacuations.names(), "offset": e.evacuations.offset}).Info(
			"the set of evacuated zones has changed in this process")
	}
}

// evacuationsForPeer returns a response with the evacuated zones for a process that can't read the log. It doesn't take
// e.mu, which is held while the scheduler core is configured: peers also use the call to probe the process.
func (e *Entry) evacuationsForPeer() *peer.ConfigResponse {
	response := peer.ConfigResponse{}
	if published := e.peerEvacuations.Load(); published != nil {
		response = *published
	}
	return &response
}

// applyPeerEvacuations applies the evacuated zones that a peer knows, if the peer has read further in the operators' topic
// than this process.
func (e *Entry) applyPeerEvacuations(member string, response *peer.ConfigResponse) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if response.EvacuationOffset <= e.evacuations.offset {
		return
	}
	update := infra.ConfigUpdate{Complete: true, Offset: response.EvacuationOffset}
	for _, zone := range response.Evacuated {
		update.Evacuations = append(update.Evacuations, infra.EvacuationChange{Zone: zone})
	}
	e.Logger.WithFields(logrus.Fields{"event": "peer_evacuations", "peer": member, "zones": response.Evacuated, "offset": response.EvacuationOffset}).Debug(
		"a peer has read further in the operators' topic")
	e.applyEvacuations(update)
	if core := e.core.Load(); core != nil {
		core.SetEvacuations(e.evacuations.names())
	}
}
