package work

import (
	"strings"
	"time"
)

// Config is one version of the operators' configuration. It is immutable once decoded.
type Config struct {
	// Version increases with each change, but not always by 1.
	Version int64
	Queues  []Queue
	Pools   map[string]Pool
	// Customers holds each customer by name.
	Customers map[string]Customer
	// Keys maps each API key to the name of its customer.
	Keys map[string]string
	// MaxBodyBytes limits the body of a caller's request; 0 means the default of the entry process.
	MaxBodyBytes int
}

// Queue accepts jobs for one pool. It is part of each Job that is stored in the log or sent between entry
// processes, so its fields must not be renamed.
type Queue struct {
	Name string `cbor:"1,keyasint"`
	// Host and Prefix select the queue of a request: among the queues whose host matches, the one with the
	// longest matching path prefix is chosen. An empty Host matches every host.
	Host   string `cbor:"2,keyasint"`
	Prefix string `cbor:"3,keyasint"`
	// Pool is the name of the pool whose hosts run the work items.
	Pool string `cbor:"4,keyasint"`
	// Priority orders jobs of different queues; 0 is the highest priority.
	Priority int `cbor:"5,keyasint,omitempty"`
	// MaxAttempts is the number of failures of one work item after which its job fails; 0 means no limit.
	MaxAttempts int `cbor:"6,keyasint,omitempty"`
	// A job should be completed within Slack times the run time of its longest chain of dependent steps, plus
	// Target. Slack is a factor, and Target is a latency that is allowed on top.
	Slack  float64       `cbor:"7,keyasint,omitempty"`
	Target time.Duration `cbor:"8,keyasint,omitempty"`
	// Timeout is the time limit of one call.
	Timeout time.Duration `cbor:"9,keyasint,omitempty"`
	// Open queues accept requests without an API key.
	Open bool `cbor:"10,keyasint,omitempty"`
	// NeedsAdvice is set when a step may run only on workers for which the advice service granted a ticket.
	NeedsAdvice bool `cbor:"11,keyasint,omitempty"`
}

// Pool holds the scheduling properties of one pool of hosts.
type Pool struct {
	Name string
	// AdmissionControl is set when workers refuse runs that exceed their capacity. Otherwise only the
	// scheduler enforces the capacity.
	AdmissionControl bool
	// Standby is set for a pool whose hosts are powered off and cost nothing.
	Standby bool
}

// Customer holds the share and the upper limit of one customer.
type Customer struct {
	Name string
	// Share is the customer's weight when a pool is full; at least 1.
	Share float64
	// Limit is the amount of each resource that the customer may use in the whole fleet; 0 means no limit.
	Limit Resources
}

// Unlimited stands for a missing limit in EffectiveLimit.
const Unlimited = int64(1) << 60

// EffectiveLimit returns Limit with Unlimited for each resource that has no limit, or a higher one.
func (c Customer) EffectiveLimit() Resources {
	limit := c.Limit
	for _, amount := range []*int64{&limit.CPUMilli, &limit.MemoryMiB, &limit.Accelerators} {
		if *amount <= 0 || *amount > Unlimited {
			*amount = Unlimited
		}
	}
	return limit
}

// Match returns the queue of a request, as described at Queue.Prefix, and the path without that prefix.
func (c *Config) Match(host, path string) (*Queue, string, bool) {
	var best *Queue
	for i := range c.Queues {
		queue := &c.Queues[i]
		if queue.Host != "" && !strings.EqualFold(queue.Host, host) || !strings.HasPrefix(path, queue.Prefix) {
			continue
		}
		if best == nil || len(queue.Prefix) > len(best.Prefix) {
			best = queue
		}
	}
	if best == nil {
		return nil, "", false
	}
	return best, path[len(best.Prefix):], true
}
