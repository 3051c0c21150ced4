package fleet

// The platform refuses calls with an epoch below the highest one seen for the host. Each host epoch
// of the fold has two call epochs: an even one for probes and for the stop, and the odd one after
// it for the end of the stop. A late Reboot is refused once the host has been undrained, and a late
// Undrain once the next stop has begun.

// StopEpoch is the call epoch of probes, Drain, Reboot and Assign.
func StopEpoch(hostEpoch uint64) uint64 { return 2 * hostEpoch }

// UndrainEpoch is the call epoch of Undrain.
func UndrainEpoch(hostEpoch uint64) uint64 { return 2*hostEpoch + 1 }
