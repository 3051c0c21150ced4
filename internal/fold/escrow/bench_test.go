package escrow

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/structs"
)

const benchTeams = 160

// newBenchState returns a state in which each holder has rights of all teams, and the claim by which each of
// them got these.
func newBenchState(b *testing.B, holders int) (*State, *v1.Claim) {
	state, doc, claim := New(), &structs.Document{}, &v1.Claim{}
	for i := range benchTeams {
		team := fmt.Sprintf("team-%03d", i)
		doc.Teams = append(doc.Teams, structs.Team{Name: team, Share: 1, UpperLimit: 1 << 40})
		claim.Units = append(claim.Units, &v1.Units{Team: team, Units: 3})
	}
	state.AdoptDocument(doc)
	const holdersPerZone = 8
	for i := range holders {
		join := &v1.Join{Zone: fmt.Sprintf("north-%d", i/holdersPerZone), Address: "10.0.0.1:7100", Role: v1.Role_ROLE_GATEWAY}
		env := benchEnvelope(i, 1)
		assert.Assert(b, reduce(state, env, join) == nil)
		env.Seq = 2
		assert.Assert(b, reduce(state, env, claim) == nil)
	}
	return state, claim
}

// benchEnvelope returns the envelope of a proposal by the i-th gateway.
func benchEnvelope(i int, seq uint64) structs.Envelope {
	return structs.Envelope{
		Offset: int64(i) + 1, Proposer: fmt.Sprintf("gateway-%03d", i), Incarnation: "01a23f58b9d9-146991133b", Seq: seq,
	}
}

// BenchmarkClaimAndReturn measures one claim and one return of units of all teams, and reports the
// size of the section in a snapshot.
func BenchmarkClaimAndReturn(b *testing.B) {
	for _, holders := range []int{9, 45, 120} {
		b.Run(fmt.Sprintf("holders=%d", holders), func(b *testing.B) {
			state, claim := newBenchState(b, holders)
			data, err := json.Marshal(state)
			assert.NilError(b, err)
			returnClaimed := &v1.Return{Units: claim.Units}
			seq := uint64(2)
			for b.Loop() {
				env := benchEnvelope(int(seq)%holders, seq+1)
				claimErr, returnErr := reduce(state, env, claim), error(nil)
				env.Seq++
				if err := reduce(state, env, returnClaimed); err != nil {
					returnErr = err
				}
				if claimErr != nil || returnErr != nil {
					b.Fatal(claimErr, returnErr)
				}
				seq += 2
			}
			b.ReportMetric(float64(len(data)), "snapshot-B")
		})
	}
}
