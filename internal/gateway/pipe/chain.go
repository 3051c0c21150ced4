package pipe

import "turmericyoke/internal/fault"

// Filter does one job on a request. An error refuses the request and ends the chain, and so does a
// complete answer.
type Filter interface {
	Apply(r *Request) *fault.Error
}

// Recorder takes the account of each ended request.
type Recorder interface {
	Record(r *Request)
}

// Chain passes requests through filters in order, and through the recorder at the end.
type Chain struct {
	filters  []Filter
	recorder Recorder
}

// NewChain returns a chain of the filters.
func NewChain(recorder Recorder, filters ...Filter) *Chain {
	return &Chain{filters: filters, recorder: recorder}
}

// Run passes r through the chain. Afterwards the outcome of r is set.
func (c *Chain) Run(r *Request) {
	defer c.recorder.Record(r)
	for _, filter := range c.filters {
		if err := filter.Apply(r); err != nil {
			r.Fail(err)
			return
		}
		if r.Outcome != OutcomeUnset {
			return
		}
	}
	if r.Outcome == OutcomeUnset {
		r.Fail(fault.New(fault.Internal, "no filter ended the request"))
	}
}
