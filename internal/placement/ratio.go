package placement

// Ratio is the usage of a team's jobs as part of their declared size, for each resource, with the
// safety margin.
type Ratio [3]float64

const (
	// Margin is added to reported and estimated usage, since a report is as old as the platform's
	// lag and usage rises meanwhile.
	Margin = 0.15
	// minRatio and maxRatio bound what is learned, so that one odd job can't make estimates useless.
	minRatio = 0.125
	maxRatio = 8.0
	// rise and fall weigh a new observation. Underestimates overload workers, while overestimates
	// only leave room, so that the ratio rises faster than it falls.
	rise = 0.5
	fall = 0.1
)

// initialRatio trusts declared sizes until something was observed.
func initialRatio() Ratio { return Ratio{1, 1, 1} }

// Estimate returns the size to decide on for a job without reports. Accelerators can't be shared,
// so that the declared number counts.
func (r Ratio) Estimate(declared Vector) Vector {
	size := declared
	for i := CPU; i <= Memory; i++ {
		size[i] = int64(float64(declared[i]) * r[i] * (1 + Margin))
		if declared[i] > 0 {
			size[i] = max(size[i], 1)
		}
	}
	return size
}

// observe learns from the peak usage of one job.
func (r *Ratio) observe(declared, peak Vector) {
	for i := CPU; i <= Memory; i++ {
		if declared[i] == 0 {
			continue
		}
		seen := float64(peak[i]) / float64(declared[i])
		weight := fall
		if seen > r[i] {
			weight = rise
		}
		r[i] = min(maxRatio, max(minRatio, r[i]+weight*(seen-r[i])))
	}
}
