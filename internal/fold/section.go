// Package fold turns the records of the fleet stream into fleet state.
package fold

import (
	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// Section is one part of the fleet state. Its fields are exported and JSON-encodable, since a
// snapshot is the JSON encoding of all sections. A section has no clock, network or randomness,
// and doesn't depend on map order, so that all readers reach the same verdict.
type Section interface {
	// CheckDocument returns an error when the section's state forbids the next document. It changes nothing.
	CheckDocument(next *structs.Document) *fault.Error
	// AdoptDocument brings the section in line with an accepted document.
	AdoptDocument(next *structs.Document)
}
