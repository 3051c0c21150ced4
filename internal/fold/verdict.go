package fold

import (
	"strings"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// maxVerdictTextBytes bounds the text of one verdict: an invalid document can break thousands of rules.
const maxVerdictTextBytes = 1024

// Verdict is the outcome of one proposal.
type Verdict struct {
	Offset      int64  `json:"offset"`
	Proposer    string `json:"proposer"`
	Incarnation string `json:"incarnation"`
	Seq         uint64 `json:"seq"`
	TimeUnixMS  int64  `json:"timeUnixMs,omitempty"`
	// Payload is the field name of the record's payload, such as change_set.
	Payload string `json:"payload"`
	// Author is the operator who made the proposal, when there is one.
	Author string `json:"author,omitempty"`
	// Subject names what the proposal is about, for people.
	Subject  string `json:"subject,omitempty"`
	Accepted bool   `json:"accepted"`
	// Kind and Detail say why the proposal was rejected.
	Kind   fault.Kind `json:"kind,omitempty"`
	Detail string     `json:"detail,omitempty"`
	// Version is the version of the document after the proposal.
	Version uint64 `json:"version"`
}

// Err returns nil for an accepted proposal, and the rejection otherwise.
func (v Verdict) Err() *fault.Error {
	if v.Accepted {
		return nil
	}
	return &fault.Error{Kind: v.Kind, Detail: v.Detail}
}

func newVerdict(env structs.Envelope, rejected *fault.Error) Verdict {
	verdict := Verdict{
		Offset: env.Offset, Proposer: truncateText(env.Proposer), Incarnation: truncateText(env.Incarnation), Seq: env.Seq,
		TimeUnixMS: env.TimeUnixMS, Accepted: rejected == nil,
	}
	if rejected != nil {
		verdict.Kind = rejected.Kind
		verdict.Detail = truncateText(detailWithoutKind(rejected))
	}
	return verdict
}

func detailWithoutKind(err *fault.Error) string {
	text := strings.TrimPrefix(err.Error(), string(err.Kind))
	return strings.TrimLeft(text, ": ")
}

// truncateText cuts text to maxDetailBytes. A cut inside a rune would change on its way through JSON.
func truncateText(text string) string {
	if len(text) > maxVerdictTextBytes {
		text = text[:maxVerdictTextBytes] + "..."
	}
	return strings.ToValidUTF8(text, "?")
}

// verdictRing keeps the newest verdicts.
type verdictRing struct {
	capacity int
	// oldest is the place of the oldest verdict once the ring is full.
	oldest int
	items  []Verdict
}

func (r *verdictRing) add(v Verdict) {
	if len(r.items) < r.capacity {
		r.items = append(r.items, v)
		return
	}
	r.items[r.oldest] = v
	r.oldest = (r.oldest + 1) % r.capacity
}

func (r *verdictRing) list() []Verdict {
	list := make([]Verdict, 0, len(r.items))
	list = append(list, r.items[r.oldest:]...)
	return append(list, r.items[:r.oldest]...)
}

// after returns the verdicts with a higher offset, oldest first.
func (r *verdictRing) after(offset int64) []Verdict {
	first := len(r.items)
	for first > 0 && r.items[(r.oldest+first-1)%len(r.items)].Offset > offset {
		first--
	}
	list := make([]Verdict, 0, len(r.items)-first)
	for i := first; i < len(r.items); i++ {
		list = append(list, r.items[(r.oldest+i)%len(r.items)])
	}
	return list
}

// find returns the oldest verdict that matches.
func (r *verdictRing) find(match func(*Verdict) bool) (Verdict, bool) {
	for i := range r.items {
		item := &r.items[(r.oldest+i)%len(r.items)]
		if match(item) {
			return *item, true
		}
	}
	return Verdict{}, false
}
