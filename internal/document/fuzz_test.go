package document

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against input that crashes the decoder or the validation, and against an index whose hash
// differs from the hash of the document.
func FuzzDecode(f *testing.F) {
	f.Add([]byte("zones: [{name: a, region: r}]\nteams:\n- {name: t, share: 1, upperLimit: 4}\n"))
	f.Add([]byte("hosts: [{name: h, labels: {a: b}}, {name: h}]\npolicy: {moveDwell: 4s}\n"))
	f.Add([]byte("pools: []\n---\npools: []\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := Decode(data)
		if err != nil {
			return
		}
		_ = Validate(doc)
		hash, err := Hash(doc)
		if err != nil {
			// YAML can express infinite numbers, which can't be encoded as JSON.
			return
		}
		index, err := NewIndex(doc)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(index.Hash(), hash))
	})
}

// Guards against accepting YAML with unknown or duplicate fields, several documents or too much data.
func TestDecodeRejects(t *testing.T) {
	for name, data := range map[string][]byte{
		"unknown field":    []byte("team: []\n"),
		"second document":  []byte("teams: []\n---\nteams: []\n"),
		"oversized":        bytes.Repeat([]byte("#"), MaxBytes+1),
		"duplicate fields": []byte("teams: []\nteams: []\n"),
	} {
		_, err := Decode(data)
		assert.Assert(t, err != nil, name)
	}
}
