package fold

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/standin/fleetdoc"
)

// Guards against record bytes that crash the fold, that change the state although Apply returns an error,
// or that have different results in two equal states.
func FuzzApply(f *testing.F) {
	builder := newLogBuilder(f, fleetdoc.New(fleetdoc.Size{Hosts: 2, Teams: 1, Pools: 1, Zones: 1}))
	snapshot, err := builder.state.EncodeSnapshot()
	assert.NilError(f, err)
	for _, raw := range builder.records {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		state, decodeErr := DecodeSnapshot(snapshot)
		assert.Assert(t, decodeErr == nil)
		verdict, err := state.Apply(state.Offset()+1, raw)
		if err != nil {
			assert.Assert(t, bytes.Equal(state.Hash(), builder.state.Hash()) && state.Offset() == builder.state.Offset())
			return
		}
		secondState, _ := DecodeSnapshot(snapshot)
		secondVerdict, err := secondState.Apply(secondState.Offset()+1, raw)
		assert.NilError(t, err)
		assert.Equal(t, secondVerdict, verdict)
		assert.Equal(t, encodeCanonical(t, secondState), encodeCanonical(t, state))
		_, err = state.EncodeSnapshot()
		assert.NilError(t, err)
	})
}

// Guards against a canonical encoding that crashes DecodeSnapshot, and against one that differs after it was
// decoded and encoded again.
func FuzzDecodeSnapshot(f *testing.F) {
	builder := newLogBuilder(f, fleetdoc.New(fleetdoc.Size{Hosts: 2, Teams: 1, Pools: 1, Zones: 1}))
	f.Add([]byte(encodeCanonical(f, builder.state)))
	f.Add([]byte(encodeCanonical(f, New())))
	f.Add([]byte(`{"schema":1,"escrow":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = DecodeSnapshot(data)
		packed, err := PackSnapshot(data)
		assert.NilError(t, err)
		state, decodeErr := DecodeSnapshot(packed)
		if decodeErr != nil {
			return
		}
		encoded := encodeCanonical(t, state)
		packed, err = PackSnapshot([]byte(encoded))
		assert.NilError(t, err)
		state, decodeErr = DecodeSnapshot(packed)
		assert.Assert(t, decodeErr == nil, "%v", decodeErr)
		assert.Equal(t, encodeCanonical(t, state), encoded)
	})
}
