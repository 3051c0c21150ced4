package pipe

import "turmericyoke/internal/fault"

// Filter is one step in the processing of a request.
type Filter interface {
	// Apply processes r. The chain ends if Apply returns an error, with which r fails, or if Apply completes r.
	Apply(r *Request) *fault.Error
}

// Recorder records the requests that have ended.
type Recorder interface {
	// Record is called once for each request, after its outcome is set.
	Record(r *Request)
}

// Chain applies filters to requests in order, and passes each request to a recorder at the end.
type Chain struct {
	filters  []Filter
	recorder Recorder
}

// NewChain returns a chain of the filters in the given order.
func NewChain(recorder Recorder, filters ...Filter) *Chain {
	return &Chain{filters: filters, recorder: recorder}
}

// Run applies the filters to r until its outcome is set, and records r.
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
