package fleet

// The platform refuses calls with an epoch below the highest one that it has seen for the host. Each host
// epoch of the fold maps to two call epochs: an even one for probes and for stopping the host, and the next
// odd one for returning it to service. A delayed Reboot is thus refused once the host has been undrained, and
// a delayed Undrain once the next stop has begun.

// StopEpoch returns the call epoch of Probe, Drain, Reboot and Assign for a host epoch.
func StopEpoch(hostEpoch uint64) uint64 { return 2 * hostEpoch }

// UndrainEpoch returns the call epoch of Undrain for a host epoch.
func UndrainEpoch(hostEpoch uint64) uint64 { return 2*hostEpoch + 1 }
