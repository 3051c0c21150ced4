package fold

import (
	"strings"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// maxDetailBytes bounds the text of one verdict: an invalid document can break thousands of rules.
const maxDetailBytes = 1024

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
		Offset: env.Offset, Proposer: bound(env.Proposer), Incarnation: bound(env.Incarnation), Seq: env.Seq,
		TimeUnixMS: env.TimeUnixMS, Accepted: rejected == nil,
	}
	if rejected != nil {
		verdict.Kind = rejected.Kind
		verdict.Detail = bound(detailOf(rejected))
	}
	return verdict
}

func detailOf(err *fault.Error) string {
	text := strings.TrimPrefix(err.Error(), string(err.Kind))
	return strings.TrimLeft(text, ": ")
}

// bound cuts text to maxDetailBytes. A cut inside a rune would change on its way through JSON.
func bound(text string) string {
	if len(text) > maxDetailBytes {
		text = text[:maxDetailBytes] + "..."
	}
	return strings.ToValidUTF8(text, "?")
}

// verdictRing keeps the newest verdicts.
type verdictRing struct {
	size int
	// next is the place of the oldest verdict once the ring is full.
	next  int
	items []Verdict
}

func (r *verdictRing) add(v Verdict) {
	if len(r.items) < r.size {
		r.items = append(r.items, v)
		return
	}
	r.items[r.next] = v
	r.next = (r.next + 1) % r.size
}

func (r *verdictRing) list() []Verdict {
	list := make([]Verdict, 0, len(r.items))
	list = append(list, r.items[r.next:]...)
	return append(list, r.items[:r.next]...)
}

// after returns the verdicts with a higher offset, oldest first.
func (r *verdictRing) after(offset int64) []Verdict {
	first := len(r.items)
	for first > 0 && r.items[(r.next+first-1)%len(r.items)].Offset > offset {
		first--
	}
	list := make([]Verdict, 0, len(r.items)-first)
	for i := first; i < len(r.items); i++ {
		list = append(list, r.items[(r.next+i)%len(r.items)])
	}
	return list
}

// find returns the oldest verdict that matches.
func (r *verdictRing) find(match func(*Verdict) bool) (Verdict, bool) {
	for i := range r.items {
		item := &r.items[(r.next+i)%len(r.items)]
		if match(item) {
			return *item, true
		}
	}
	return Verdict{}, false
}
