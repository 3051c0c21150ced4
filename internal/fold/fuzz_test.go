package fold

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/standin/fleetdoc"
)

// Guards against bytes that crash the fold, or change it although they were refused.
func FuzzApply(f *testing.F) {
	h := newLogBuilder(f, fleetdoc.New(fleetdoc.Size{Hosts: 2, Teams: 1, Pools: 1, Zones: 1}))
	snapshot, err := h.state.EncodeSnapshot()
	assert.NilError(f, err)
	for _, raw := range h.records {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		state, damaged := DecodeSnapshot(snapshot)
		assert.Assert(t, damaged == nil)
		verdict, err := state.Apply(state.Offset()+1, raw)
		if err != nil {
			assert.Assert(t, bytes.Equal(state.Hash(), h.state.Hash()) && state.Offset() == h.state.Offset())
			return
		}
		again, _ := DecodeSnapshot(snapshot)
		second, err := again.Apply(again.Offset()+1, raw)
		assert.NilError(t, err)
		assert.Equal(t, second, verdict)
		assert.Equal(t, encodeCanonical(t, again), encodeCanonical(t, state))
		_, err = state.EncodeSnapshot()
		assert.NilError(t, err)
	})
}

// Guards against a canonical encoding that crashes the reader, or that changes when it is read.
func FuzzDecodeSnapshot(f *testing.F) {
	h := newLogBuilder(f, fleetdoc.New(fleetdoc.Size{Hosts: 2, Teams: 1, Pools: 1, Zones: 1}))
	f.Add([]byte(encodeCanonical(f, h.state)))
	f.Add([]byte(encodeCanonical(f, New())))
	f.Add([]byte(`{"schema":1,"escrow":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = DecodeSnapshot(data)
		packed, err := PackSnapshot(data)
		assert.NilError(t, err)
		state, damaged := DecodeSnapshot(packed)
		if damaged != nil {
			return
		}
		once := encodeCanonical(t, state)
		packed, err = PackSnapshot([]byte(once))
		assert.NilError(t, err)
		state, damaged = DecodeSnapshot(packed)
		assert.Assert(t, damaged == nil, "%v", damaged)
		assert.Equal(t, encodeCanonical(t, state), once)
	})
}
