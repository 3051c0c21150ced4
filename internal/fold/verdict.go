package fold

import (
	"strings"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// maxVerdictTextBytes bounds each text of a verdict. The detail needs a bound because an invalid document
// can break thousands of rules.
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
	// Author is the operator who made the proposal, or the proposer of a change set without an author. It
	// is empty for all other proposals.
	Author string `json:"author,omitempty"`
	// Subject is a short description of the proposal for operators.
	Subject  string `json:"subject,omitempty"`
	Accepted bool   `json:"accepted"`
	// Kind and Detail are the reason for a rejection.
	Kind   fault.Kind `json:"kind,omitempty"`
	Detail string     `json:"detail,omitempty"`
	// Version is the version of the accepted document after the proposal.
	Version uint64 `json:"version"`
}

// Err returns nil for an accepted proposal, and the rejection otherwise.
func (v Verdict) Err() *fault.Error {
	if v.Accepted {
		return nil
	}
	return &fault.Error{Kind: v.Kind, Detail: v.Detail}
}

func newVerdict(env structs.Envelope, rejection *fault.Error) Verdict {
	verdict := Verdict{
		Offset: env.Offset, Proposer: truncateText(env.Proposer), Incarnation: truncateText(env.Incarnation), Seq: env.Seq,
		TimeUnixMS: env.TimeUnixMS, Accepted: rejection == nil,
	}
	if rejection != nil {
		verdict.Kind = rejection.Kind
		verdict.Detail = truncateText(detailWithoutKind(rejection))
	}
	return verdict
}

// detailWithoutKind returns the text of err without the error kind at its start.
func detailWithoutKind(err *fault.Error) string {
	text := strings.TrimPrefix(err.Error(), string(err.Kind))
	return strings.TrimLeft(text, ": ")
}

// truncateText shortens text to maxVerdictTextBytes and replaces invalid UTF-8, such as a rune that was
// cut: JSON encoding would replace it as well, and the state restored from a snapshot would differ.
func truncateText(text string) string {
	if len(text) > maxVerdictTextBytes {
		text = text[:maxVerdictTextBytes] + "..."
	}
	return strings.ToValidUTF8(text, "?")
}

// verdictRing is a ring buffer of the newest verdicts.
type verdictRing struct {
	capacity int
	// oldest is the index of the oldest verdict, and 0 until the ring is full.
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

// list returns all verdicts, oldest first.
func (r *verdictRing) list() []Verdict {
	list := make([]Verdict, 0, len(r.items))
	list = append(list, r.items[r.oldest:]...)
	return append(list, r.items[:r.oldest]...)
}

// after returns the verdicts whose offset is above the given one, oldest first.
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

// find returns the oldest verdict that matches, and whether there is one.
func (r *verdictRing) find(match func(*Verdict) bool) (Verdict, bool) {
	for i := range r.items {
		item := &r.items[(r.oldest+i)%len(r.items)]
		if match(item) {
			return *item, true
		}
	}
	return Verdict{}, false
}
