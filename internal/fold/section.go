// Package fold is the deterministic state machine that turns the records of the fleet stream into the
// fleet state.
package fold

import (
	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// Section is one part of the fleet state. Its exported fields are JSON-encodable and alone determine later
// verdicts, since a snapshot is the JSON encoding of all sections. A section uses no clock, network or
// randomness and doesn't depend on the iteration order of maps, so that all processes that fold the log
// reach the same verdicts.
type Section interface {
	// CheckDocument returns an error if the state of the section forbids the next document. It doesn't
	// change the section.
	CheckDocument(next *structs.Document) *fault.Error
	// AdoptDocument updates the section to an accepted document.
	AdoptDocument(next *structs.Document)
}
