package placement

// UsageRatio is the usage of a team's jobs as part of their declared size, for each resource, with the
// safety margin.
type UsageRatio [3]float64

const (
	// SafetyMargin is added to reported and estimated usage, since a report is as old as the platform's
	// lag and usage rises meanwhile.
	SafetyMargin = 0.15
	// minUsageRatio and maxRatio bound what is learned, so that one odd job can't make estimates useless.
	minUsageRatio = 0.125
	maxUsageRatio = 8.0
	// riseWeight and fall weigh a new observation. Underestimates overload workers, while overestimates
	// only leave room, so that the ratio rises faster than it falls.
	riseWeight = 0.5
	fallWeight = 0.1
)

// initialUsageRatio trusts declared sizes until something was observed.
func initialUsageRatio() UsageRatio { return UsageRatio{1, 1, 1} }

// Estimate returns the size to decide on for a job without reports. Accelerators can't be shared,
// so that the declared number counts.
func (r UsageRatio) Estimate(declared Vector) Vector {
	size := declared
	for i := CPU; i <= Memory; i++ {
		size[i] = int64(float64(declared[i]) * r[i] * (1 + SafetyMargin))
		if declared[i] > 0 {
			size[i] = max(size[i], 1)
		}
	}
	return size
}

// observe learns from the peak usage of one job.
func (r *UsageRatio) observe(declared, peak Vector) {
	for i := CPU; i <= Memory; i++ {
		if declared[i] == 0 {
			continue
		}
		seen := float64(peak[i]) / float64(declared[i])
		weight := fallWeight
		if seen > r[i] {
			weight = riseWeight
		}
		r[i] = min(maxUsageRatio, max(minUsageRatio, r[i]+weight*(seen-r[i])))
	}
}
