// Package structs defines the types that several packages share: the configuration document, the view that
// gateways receive from controllers, the responses to queries of controllers, and the identity of proposals
// and of process lifetimes.
package structs

import "time"

// Document is the complete declared configuration. A version of it takes effect as a whole or not at all.
type Document struct {
	// Zones are the availability zones of the fleet.
	Zones []Zone `json:"zones" yaml:"zones"`
	Pools []Pool `json:"pools" yaml:"pools"`
	Hosts []Host `json:"hosts" yaml:"hosts"`
	Teams []Team `json:"teams" yaml:"teams"`
	Keys  []Key  `json:"keys" yaml:"keys"`
	Waves []Wave `json:"waves,omitempty" yaml:"waves,omitempty"`
	// Policy holds the cost weights and buffers of the planner for this fleet.
	Policy Policy `json:"policy" yaml:"policy"`
}

// Zone is an availability zone and the region that it belongs to.
type Zone struct {
	Name   string `json:"name" yaml:"name"`
	Region string `json:"region" yaml:"region"`
}

// Pool is a group of hosts that serves one service.
type Pool struct {
	Name string `json:"name" yaml:"name"`
	// Spare marks the pool from which hosts are taken first and to which surplus hosts return.
	Spare bool `json:"spare,omitempty" yaml:"spare,omitempty"`
	// MinAvailable is the number of hosts that must remain available after a planned stop.
	MinAvailable int `json:"minAvailable" yaml:"minAvailable"`
	// MaxUnavailablePerZone limits the unavailable hosts in one availability zone; 0 means no limit.
	MaxUnavailablePerZone int `json:"maxUnavailablePerZone,omitempty" yaml:"maxUnavailablePerZone,omitempty"`
	// IdempotencyKeys is set when requests with an Idempotency-Key header count as idempotent.
	IdempotencyKeys bool `json:"idempotencyKeys,omitempty" yaml:"idempotencyKeys,omitempty"`
	// OpenTeam is the team to which requests without an API key are attributed; if empty, they are refused.
	OpenTeam string `json:"openTeam,omitempty" yaml:"openTeam,omitempty"`
	// MaxRunTime is the longest permitted run time of one request in the pool; 0 means DefaultMaxRunTime.
	MaxRunTime Duration `json:"maxRunTime,omitempty" yaml:"maxRunTime,omitempty"`
}

// Host is one machine. It has at most one endpoint and one worker.
type Host struct {
	Name string `json:"name" yaml:"name"`
	Zone string `json:"zone" yaml:"zone"`
	Rack string `json:"rack" yaml:"rack"`
	// Pool is the initial pool of the host; later moves are recorded in the log.
	Pool string `json:"pool" yaml:"pool"`
	// Pinned is set when the planner must never move the host out of Pool.
	Pinned bool `json:"pinned,omitempty" yaml:"pinned,omitempty"`
	// Address is the host:port of the endpoint.
	Address string `json:"address" yaml:"address"`
	// Slots is the number of requests that the endpoint runs at the same time.
	Slots int `json:"slots" yaml:"slots"`
	// Connections is the number of connections that the endpoint accepts.
	Connections int `json:"connections" yaml:"connections"`
	// Capacity is the amount of resources that the host's worker offers to jobs.
	Capacity Resources `json:"capacity" yaml:"capacity"`
	// Labels are matched by the selectors of maintenance waves.
	Labels map[string]string `json:"labels,omitempty" yaml:"labels,omitempty"`
}

// Resources holds the resources that a job requires or a worker offers.
type Resources struct {
	CPUMilli     uint64 `json:"cpuMilli" yaml:"cpuMilli"`
	MemoryMiB    uint64 `json:"memoryMiB" yaml:"memoryMiB"`
	Accelerators uint64 `json:"accelerators,omitempty" yaml:"accelerators,omitempty"`
}

// Team is a customer that shares the fleet's capacity with others.
type Team struct {
	Name string `json:"name" yaml:"name"`
	// Share is the team's weight when a pool is full; it must be above 0.
	Share int `json:"share" yaml:"share"`
	// UpperLimit is the number of units that the team may have running in the whole fleet.
	UpperLimit uint64 `json:"upperLimit" yaml:"upperLimit"`
}

// Key is an API key: a secret that identifies the team of a request.
type Key struct {
	ID   string `json:"id" yaml:"id"`
	Team string `json:"team" yaml:"team"`
	// Hash is the SHA-256 of the secret in lower-case hexadecimal.
	Hash string `json:"hash" yaml:"hash"`
	// FailClosedAfter is the age of the configuration above which the key is refused; 0 means never.
	FailClosedAfter Duration `json:"failClosedAfter,omitempty" yaml:"failClosedAfter,omitempty"`
}

// Wave is planned maintenance of the hosts of one pool.
type Wave struct {
	Name string `json:"name" yaml:"name"`
	Pool string `json:"pool" yaml:"pool"`
	// Selector selects hosts by their labels; if empty, all hosts of the pool are selected.
	Selector map[string]string `json:"selector,omitempty" yaml:"selector,omitempty"`
	// MaxParallel limits the hosts that are stopped at the same time.
	MaxParallel int `json:"maxParallel" yaml:"maxParallel"`
	// MaxPerRack limits the hosts of one rack that are stopped at the same time.
	MaxPerRack int `json:"maxPerRack" yaml:"maxPerRack"`
	// CanaryCount is the number of hosts that are stopped first. They must be back before others are stopped.
	CanaryCount int `json:"canaryCount" yaml:"canaryCount"`
	// PauseAfterFailures is the number of failures in the pool after which the wave is paused.
	PauseAfterFailures int `json:"pauseAfterFailures" yaml:"pauseAfterFailures"`
	// HostTimeout is the time within which a stopped host must be back.
	HostTimeout Duration `json:"hostTimeout" yaml:"hostTimeout"`
}

// Policy holds the planner's cost weights, buffers and delays.
type Policy struct {
	// BufferCost is the cost of one idle host for one hour.
	BufferCost float64 `json:"bufferCost" yaml:"bufferCost"`
	// MoveCost is the cost of moving one host to another pool.
	MoveCost float64 `json:"moveCost" yaml:"moveCost"`
	// ShareNearness is the cost of one slot of unmet demand for one hour. Unmet demand keeps teams from their
	// shares.
	ShareNearness float64 `json:"shareNearness" yaml:"shareNearness"`
	// TargetUtilisation is the fraction of slots that should be busy, above 0 and at most 1.
	TargetUtilisation float64 `json:"targetUtilisation" yaml:"targetUtilisation"`
	// FailureBuffer is the number of hosts that each pool keeps in reserve for random failures.
	FailureBuffer int `json:"failureBuffer" yaml:"failureBuffer"`
	// RackBuffer is set when enough hosts are kept in reserve for the loss of the largest rack of the fleet.
	RackBuffer bool `json:"rackBuffer" yaml:"rackBuffer"`
	// MoveDwell is the time for which a pool must need a host before one is moved to it.
	MoveDwell Duration `json:"moveDwell" yaml:"moveDwell"`
	// MinStay is the minimum time for which a moved host stays in its new pool.
	MinStay Duration `json:"minStay" yaml:"minStay"`
}

// DefaultMaxRunTime is the longest permitted run time of a request in a pool that doesn't set one.
const DefaultMaxRunTime = 60 * time.Second

// EffectiveMaxRunTime returns MaxRunTime, or DefaultMaxRunTime if the pool doesn't set it.
func (p Pool) EffectiveMaxRunTime() time.Duration {
	if p.MaxRunTime == 0 {
		return DefaultMaxRunTime
	}
	return p.MaxRunTime.Duration()
}
