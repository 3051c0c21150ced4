package work

import (
	"strings"
	"time"
)

// Config is one version of the operators' configuration. Nobody changes it after it was made.
type Config struct {
	// Version rises with each change, in uneven steps.
	Version int64
	Queues  []Queue
	Pools   map[string]Pool
	// Customers by name.
	Customers map[string]Customer
	// Keys maps each key to the name of its customer.
	Keys map[string]string
	// MaxBodyBytes bounds the body of a caller's request; 0: the default of the entry.
	MaxBodyBytes int
}

// Queue takes jobs for a pool.
type Queue struct {
	Name string `cbor:"1,keyasint"`
	// Host and Prefix select the queue: the longest prefix of the path wins.
	Host   string `cbor:"2,keyasint"`
	Prefix string `cbor:"3,keyasint"`
	// Pool is whose hosts run the work items.
	Pool string `cbor:"4,keyasint"`
	// Priority 0 goes first.
	Priority int `cbor:"5,keyasint,omitempty"`
	// MaxAttempts is how often a work item may fail before its job fails; 0: no bound.
	MaxAttempts int `cbor:"6,keyasint,omitempty"`
	// SlackFactor times the longest chain of work, plus Target, is the time in which a job should be completed.
	SlackFactor   float64       `cbor:"7,keyasint,omitempty" json:"Slack"`
	TargetLatency time.Duration `cbor:"8,keyasint,omitempty" json:"Target"`
	// Timeout bounds one call.
	Timeout time.Duration `cbor:"9,keyasint,omitempty"`
	// Open queues need no key.
	Open bool `cbor:"10,keyasint,omitempty"`
	// NeedsAdvice is set when only hosts granted by the advice service may run a step.
	NeedsAdvice bool `cbor:"11,keyasint,omitempty"`
}

// Pool is a pool of hosts.
type Pool struct {
	Name string
	// AdmissionControl is set when workers refuse what doesn't fit; otherwise the scheduler alone keeps their capacity.
	AdmissionControl bool
	// Standby hosts are off and cost nothing.
	Standby bool
}

// Customer has a share and an upper limit.
type Customer struct {
	Name string
	// Share is the weight when a pool is full, at least 1.
	Share float64
	// Limit is what may be running in the fleet; 0 in a resource: no limit.
	Limit Resources
}

// Unlimited replaces a limit of 0.
const Unlimited = int64(1) << 60

// EffectiveLimit is the limit with the resources without a limit set to Unlimited.
func (c Customer) EffectiveLimit() Resources {
	room := c.Limit
	for _, amount := range []*int64{&room.CPUMilli, &room.MemoryMiB, &room.Accelerators} {
		if *amount <= 0 {
			*amount = Unlimited
		}
	}
	return room
}

// Match returns the queue with the longest prefix of path at host, and the rest of the path.
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
