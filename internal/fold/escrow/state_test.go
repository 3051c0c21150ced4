package escrow

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	_ "turmericyoke/internal/fixedseed"
	"turmericyoke/internal/structs"
)

var testTeams = []string{"a", "b", "c"}

// reduce passes a proposal to the section as the fold does.
func reduce(s *State, env structs.Envelope, payload any) *fault.Error {
	_, joining := payload.(*v1.Join)
	if err := s.Admit(env, joining); err != nil {
		return err
	}
	switch p := payload.(type) {
	case *v1.Join:
		return s.Join(env, p)
	case *v1.Leave:
		return s.Leave(env, p)
	case *v1.Heartbeat:
		return s.Heartbeat(env, p)
	case *v1.Surrender:
		return s.Surrender(env, p)
	case *v1.Claim:
		return s.Claim(env, p)
	case *v1.Return:
		return s.Return(env, p)
	case *v1.Transfer:
		return s.Transfer(env, p)
	case *v1.Suspect:
		return s.Suspect(env, p)
	default:
		return s.Reclaim(env, payload.(*v1.Reclaim))
	}
}

type proposal struct {
	env     structs.Envelope
	payload any
}

func drawUnits(t *rapid.T) []*v1.Units {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) *v1.Units {
		return &v1.Units{Team: rapid.SampledFrom(testTeams).Draw(t, "team"), Units: rapid.Uint64Range(0, 4).Draw(t, "units")}
	}), 1, 3).Draw(t, "list")
}

func drawPayload(t *rapid.T, memberIDs []memberID, offset int64) any {
	pick := func(label string) memberID { return rapid.SampledFrom(memberIDs).Draw(t, label) }
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		return &v1.Leave{}
	case 1:
		return &v1.Heartbeat{SeenOffset: offset - rapid.Int64Range(0, 20).Draw(t, "lag")}
	case 2:
		return &v1.Surrender{Team: rapid.SampledFrom(testTeams).Draw(t, "team"), Target: rapid.Uint64Range(0, 9).Draw(t, "target")}
	case 3, 4:
		return &v1.Claim{Units: drawUnits(t)}
	case 5:
		return &v1.Return{Units: drawUnits(t)}
	case 6:
		to := pick("to")
		return &v1.Transfer{To: to.name, ToIncarnation: to.incarnation, Units: drawUnits(t)}
	case 7, 8:
		holder := pick("holder")
		suspect := &v1.Suspect{Holder: holder.name, HolderIncarnation: holder.incarnation}
		for _, id := range memberIDs {
			if rapid.IntRange(0, 2).Draw(t, "vows") > 0 {
				suspect.Vows = append(suspect.Vows, &v1.Vow{Member: id.name, Incarnation: id.incarnation})
			}
		}
		if rapid.IntRange(0, 9).Draw(t, "confirmed") == 0 {
			suspect.ConfirmedBy = "operator"
		}
		return suspect
	default:
		holder := pick("holder")
		return &v1.Reclaim{Holder: holder.name, HolderIncarnation: holder.incarnation}
	}
}

// Guards against a verdict that lets the allotted units of a team exceed its limit, and against verdicts
// that change because the section keeps only some of the past incarnations and memberships.
func TestStateMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, model := New(), newReferenceModel()
		doc := drawDocument(t)
		state.AdoptDocument(doc)
		model.limits = limitsOf(doc)
		var proposals []proposal
		memberIDs := []memberID{{"none", "0"}}
		seqs := map[memberID]uint64{}
		for offset := int64(1); offset <= 80; offset++ {
			next := drawProposal(t, proposals, &memberIDs, seqs, offset)
			next.env.Offset = offset
			proposals = append(proposals, next)
			err := reduce(state, next.env, next.payload)
			assert.Equal(t, err == nil, model.apply(next.env, next.payload), "offset %d: %+v %T %v: section returned %v", offset, next.env, next.payload, next.payload, err)
			if rapid.IntRange(0, 9).Draw(t, "extra") == 0 {
				changeJobsOrDocument(t, state, model)
			}
			if offset%16 == 0 {
				state = reloadFromJSON(t, state)
			}
			checkAgainstModel(t, state, model)
		}
	})
}

func drawProposal(t *rapid.T, proposals []proposal, memberIDs *[]memberID, seqs map[memberID]uint64, offset int64) proposal {
	choice := rapid.IntRange(0, 9).Draw(t, "choice")
	if choice == 0 && len(proposals) > 0 {
		return rapid.SampledFrom(proposals).Draw(t, "late duplicate")
	}
	if choice <= 2 {
		index := rapid.IntRange(0, 5).Draw(t, "name")
		id := memberID{fmt.Sprintf("gw-%d", index), fmt.Sprintf("%06d", offset)}
		*memberIDs = append(*memberIDs, id)
		seqs[id] = 1
		join := &v1.Join{Zone: fmt.Sprintf("zone-%d", index/4), Address: "127.0.0.1:1", Role: v1.Role_ROLE_GATEWAY}
		return proposal{structs.Envelope{Proposer: id.name, Incarnation: id.incarnation, Seq: 1}, join}
	}
	id := rapid.SampledFrom(*memberIDs).Draw(t, "proposer")
	seqs[id]++
	return proposal{structs.Envelope{Proposer: id.name, Incarnation: id.incarnation, Seq: seqs[id]}, drawPayload(t, *memberIDs, offset)}
}

func drawDocument(t *rapid.T) *structs.Document {
	doc := &structs.Document{}
	for _, team := range testTeams {
		doc.Teams = append(doc.Teams, structs.Team{Name: team, Share: 1, UpperLimit: rapid.Uint64Range(0, 12).Draw(t, "limit")})
	}
	return doc
}

func limitsOf(doc *structs.Document) map[string]uint64 {
	limits := map[string]uint64{}
	for _, team := range doc.Teams {
		limits[team.Name] = team.UpperLimit
	}
	return limits
}

// changeJobsOrDocument starts or ends a job, or publishes a document.
func changeJobsOrDocument(t *rapid.T, state *State, model *referenceModel) {
	team := rapid.SampledFrom(testTeams).Draw(t, "team")
	units := rapid.Uint64Range(1, 3).Draw(t, "job units")
	switch rapid.IntRange(0, 2).Draw(t, "event") {
	case 0:
		err := state.ReserveJobUnits(team, units)
		assert.Equal(t, err == nil, units <= model.unallocated(team))
		if err == nil {
			model.jobUnits[team] += units
		}
	case 1:
		units = min(units, model.jobUnits[team])
		state.ReleaseJobUnits(team, units)
		model.jobUnits[team] -= units
	default:
		publishDocument(t, state, model)
	}
}

// publishDocument publishes a random document and checks that the section forbids it if and only if it sets a
// limit below the units allotted.
func publishDocument(t *rapid.T, state *State, model *referenceModel) {
	doc := drawDocument(t)
	fits := true
	for name, limit := range limitsOf(doc) {
		fits = fits && model.allotted(name) <= limit
	}
	err := state.CheckDocument(doc)
	assert.Equal(t, err == nil, fits)
	if err != nil {
		assert.Equal(t, err.Kind, fault.LimitBelowAllotted)
		return
	}
	state.AdoptDocument(doc)
	for name, limit := range limitsOf(doc) {
		if model.limits[name] != limit {
			delete(model.surrenderTargets, name)
		}
	}
	model.limits = limitsOf(doc)
}

// reloadFromJSON encodes and decodes the section, as a snapshot does, and checks that its encoding stays the
// same.
func reloadFromJSON(t *rapid.T, state *State) *State {
	data, err := json.Marshal(state)
	assert.NilError(t, err)
	loaded := &State{}
	assert.NilError(t, json.Unmarshal(data, loaded))
	reencoded, err := json.Marshal(loaded)
	assert.NilError(t, err)
	assert.Equal(t, string(reencoded), string(data))
	return loaded
}

// checkAgainstModel checks that the state has the same units and members as the model.
func checkAgainstModel(t *rapid.T, state *State, model *referenceModel) {
	for _, team := range testTeams {
		assert.Assert(t, model.allotted(team) <= model.limits[team], "team %s", team)
		assert.Equal(t, state.Teams[team].Held+state.Teams[team].JobUnits, model.allotted(team))
		assert.Equal(t, state.Unallocated(team), model.unallocated(team))
	}
	unmatched := 0
	for _, member := range state.Members(v1.Role_ROLE_GATEWAY) {
		id := memberID{member.Name, member.Incarnation}
		assert.Equal(t, member.Suspected, model.suspected[id])
		unmatched++
		for _, team := range testTeams {
			assert.Equal(t, member.Rights[team], model.rights[id][team])
			assert.Equal(t, member.Wants[team], model.wants[id][team])
		}
	}
	for id, joined := range model.joined {
		if joined {
			unmatched--
		}
		assert.Assert(t, joined || !model.hasRights(id))
	}
	assert.Equal(t, unmatched, 0)
}

// Guards against a late duplicate of a Join that is accepted as the Join of a new process after the process
// has left, also if its proposer was dropped from EndedIncarnations in the meantime.
func TestDroppedIncarnationCantJoin(t *testing.T) {
	state := New()
	join := &v1.Join{Zone: "z", Role: v1.Role_ROLE_GATEWAY}
	envelope := func(i int) structs.Envelope {
		return structs.Envelope{Offset: int64(i), Proposer: fmt.Sprintf("gw-%d", i), Incarnation: fmt.Sprintf("%08d", i), Seq: 1}
	}
	const processes = 2*maxEndedProposers + 10
	for i := 1; i <= processes; i++ {
		assert.Assert(t, reduce(state, envelope(i), join) == nil)
		leave := envelope(i)
		leave.Seq = 2
		assert.Assert(t, reduce(state, leave, &v1.Leave{}) == nil)
	}
	assert.Equal(t, len(state.EndedIncarnations), maxEndedProposers)
	for i := 1; i <= processes; i++ {
		assert.Equal(t, reduce(state, envelope(i), join).Kind, fault.ProposalDuplicate)
	}
	assert.Equal(t, len(state.Processes), 0)
}
