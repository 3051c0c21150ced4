package placement

// UsageRatio is the observed usage of a team's jobs divided by their declared size, for each resource.
type UsageRatio [3]float64

const (
	// SafetyMargin is the fraction by which reported and estimated usage is raised. Reports arrive with the
	// platform's reporting lag, and usage may have risen since.
	SafetyMargin = 0.15
	// minUsageRatio and maxUsageRatio bound the ratio, so that a single outlier can't make estimates useless.
	minUsageRatio = 0.125
	maxUsageRatio = 8.0
	// riseWeight and fallWeight are the weights of an observation above and below the ratio. The ratio rises
	// faster than it falls, since an underestimate overloads workers while an overestimate only leaves
	// capacity unused.
	riseWeight = 0.5
	fallWeight = 0.1
)

// initialUsageRatio returns the ratio before the first observation: usage is assumed to be as declared.
func initialUsageRatio() UsageRatio { return UsageRatio{1, 1, 1} }

// Estimate returns the size to allocate to a job without usage reports: the declared size times the ratio,
// with the safety margin. Accelerators can't be shared, so they are allocated as declared.
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

// observe updates the ratio from the declared size and the peak usage of one job.
func (r *UsageRatio) observe(declared, peak Vector) {
	for i := CPU; i <= Memory; i++ {
		if declared[i] == 0 {
			continue
		}
		observed := float64(peak[i]) / float64(declared[i])
		weight := fallWeight
		if observed > r[i] {
			weight = riseWeight
		}
		r[i] = min(maxUsageRatio, max(minUsageRatio, r[i]+weight*(observed-r[i])))
	}
}
