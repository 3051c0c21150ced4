// Package structs holds the domain types that the other packages share.
package structs

import "time"

// Document is the whole declared configuration. It takes effect whole or not at all.
type Document struct {
	// Zones are the availability zones of the fleet.
	Zones []Zone `json:"zones" yaml:"zones"`
	Pools []Pool `json:"pools" yaml:"pools"`
	Hosts []Host `json:"hosts" yaml:"hosts"`
	Teams []Team `json:"teams" yaml:"teams"`
	Keys  []Key  `json:"keys" yaml:"keys"`
	Waves []Wave `json:"waves,omitempty" yaml:"waves,omitempty"`
	// Policy weighs the planner's aims for this fleet.
	Policy Policy `json:"policy" yaml:"policy"`
}

// Zone is one availability zone.
type Zone struct {
	Name   string `json:"name" yaml:"name"`
	Region string `json:"region" yaml:"region"`
}

// Pool is a group of hosts that serves one service.
type Pool struct {
	Name string `json:"name" yaml:"name"`
	// Spare marks the pool that lends hosts first and takes surplus hosts back.
	Spare bool `json:"spare,omitempty" yaml:"spare,omitempty"`
	// MinAvailable is the number of hosts that a planned stop must leave available.
	MinAvailable int `json:"minAvailable" yaml:"minAvailable"`
	// MaxUnavailablePerZone bounds unavailable hosts in one availability zone; 0 means no bound.
	MaxUnavailablePerZone int `json:"maxUnavailablePerZone,omitempty" yaml:"maxUnavailablePerZone,omitempty"`
	// IdempotencyKeys lets a request with an Idempotency-Key header count as idempotent.
	IdempotencyKeys bool `json:"idempotencyKeys,omitempty" yaml:"idempotencyKeys,omitempty"`
	// OpenTeam is the team that requests without a key count for; empty refuses such requests.
	OpenTeam string `json:"openTeam,omitempty" yaml:"openTeam,omitempty"`
	// MaxRunTime is the longest permitted run of one request in the pool.
	MaxRunTime Duration `json:"maxRunTime,omitempty" yaml:"maxRunTime,omitempty"`
}

// Host is one machine with at most one endpoint and one worker.
type Host struct {
	Name string `json:"name" yaml:"name"`
	Zone string `json:"zone" yaml:"zone"`
	Rack string `json:"rack" yaml:"rack"`
	// Pool is where the host starts; later moves are records of the log.
	Pool string `json:"pool" yaml:"pool"`
	// Pinned keeps the host in Pool; the planner never moves it elsewhere.
	Pinned bool `json:"pinned,omitempty" yaml:"pinned,omitempty"`
	// Address is the host:port of its endpoint.
	Address string `json:"address" yaml:"address"`
	// Slots is the number of requests that the endpoint runs at a time.
	Slots int `json:"slots" yaml:"slots"`
	// Connections is the number of connections that the endpoint accepts.
	Connections int `json:"connections" yaml:"connections"`
	// Capacity is what the worker of the host offers to jobs.
	Capacity Resources `json:"capacity" yaml:"capacity"`
	// Labels select hosts for waves.
	Labels map[string]string `json:"labels,omitempty" yaml:"labels,omitempty"`
}

// Resources of a job or a worker.
type Resources struct {
	CPUMilli     uint64 `json:"cpuMilli" yaml:"cpuMilli"`
	MemoryMiB    uint64 `json:"memoryMiB" yaml:"memoryMiB"`
	Accelerators uint64 `json:"accelerators,omitempty" yaml:"accelerators,omitempty"`
}

// Team is a customer of the fleet.
type Team struct {
	Name string `json:"name" yaml:"name"`
	// Share is the team's weight when a pool is full; above 0.
	Share int `json:"share" yaml:"share"`
	// UpperLimit is the number of units that the team may have running across the fleet.
	UpperLimit uint64 `json:"upperLimit" yaml:"upperLimit"`
}

// Key is a secret that names its team.
type Key struct {
	ID   string `json:"id" yaml:"id"`
	Team string `json:"team" yaml:"team"`
	// Hash is the lower-case hexadecimal SHA-256 of the secret.
	Hash string `json:"hash" yaml:"hash"`
	// FailClosedAfter refuses the key when configuration is older than this; 0 never does.
	FailClosedAfter Duration `json:"failClosedAfter,omitempty" yaml:"failClosedAfter,omitempty"`
}

// Wave is planned maintenance of the hosts of one pool.
type Wave struct {
	Name string `json:"name" yaml:"name"`
	Pool string `json:"pool" yaml:"pool"`
	// Selector picks hosts by label; empty picks all hosts of the pool.
	Selector map[string]string `json:"selector,omitempty" yaml:"selector,omitempty"`
	// MaxParallel bounds hosts that are stopped at a time.
	MaxParallel int `json:"maxParallel" yaml:"maxParallel"`
	// MaxPerRack bounds hosts of one rack that are stopped at a time.
	MaxPerRack int `json:"maxPerRack" yaml:"maxPerRack"`
	// CanaryCount hosts go first, and must be back before others follow.
	CanaryCount int `json:"canaryCount" yaml:"canaryCount"`
	// PauseAfterFailures pauses the wave after this many failures in the pool.
	PauseAfterFailures int `json:"pauseAfterFailures" yaml:"pauseAfterFailures"`
	// HostTimeout is the time within which a stopped host must be back.
	HostTimeout Duration `json:"hostTimeout" yaml:"hostTimeout"`
}

// Policy weighs the planner's aims and sets its buffers.
type Policy struct {
	// BufferCost is the cost of one idle host for one hour.
	BufferCost float64 `json:"bufferCost" yaml:"bufferCost"`
	// MoveCost is the cost of one move.
	MoveCost float64 `json:"moveCost" yaml:"moveCost"`
	// ShareNearness is the cost of one unit of a team's distance from its share for one hour.
	ShareNearness float64 `json:"shareNearness" yaml:"shareNearness"`
	// TargetUtilisation is the part of slots that the planner plans to have busy, above 0 and at most 1.
	TargetUtilisation float64 `json:"targetUtilisation" yaml:"targetUtilisation"`
	// FailureBuffer is the number of hosts held for random failures in each pool.
	FailureBuffer int `json:"failureBuffer" yaml:"failureBuffer"`
	// RackBuffer holds hosts for the loss of the largest rack of the fleet.
	RackBuffer bool `json:"rackBuffer" yaml:"rackBuffer"`
	// MoveDwell is the time for which a need must last before a host moves.
	MoveDwell Duration `json:"moveDwell" yaml:"moveDwell"`
	// MinStay is the time for which a moved host stays in its pool.
	MinStay Duration `json:"minStay" yaml:"minStay"`
}

// DefaultMaxRunTime is the longest permitted run where the pool sets none.
const DefaultMaxRunTime = 60 * time.Second

// EffectiveMaxRunTime returns the longest permitted run of a request in the pool.
func (p Pool) EffectiveMaxRunTime() time.Duration {
	if p.MaxRunTime == 0 {
		return DefaultMaxRunTime
	}
	return p.MaxRunTime.Duration()
}
