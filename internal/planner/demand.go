package planner

import (
	"slices"
	"time"
)

// windowFactor is the length of the demand window in terms of the minimum stay, so that the window
// holds several turns of peaks that are about as long as a moved host has to stay.
const windowFactor = 12

// updateSamples appends the demands of this moment and drops what is older than the window.
func updateSamples(in *Input, memory Memory) map[string][]Sample {
	oldest := in.Now.Add(-windowFactor * in.horizon())
	samples := make(map[string][]Sample, len(in.Pools))
	for _, pool := range in.Pools {
		kept := memory.Samples[pool.Name]
		for len(kept) > 0 && kept[0].At.Before(oldest) {
			kept = kept[1:]
		}
		samples[pool.Name] = append(slices.Clip(kept), Sample{At: in.Now, Demand: pool.Demand})
	}
	return samples
}

// demand is the forecast of a pool's demand over the horizon: the present level for as long as it is
// expected to last, and for the rest the spread of the whole window. Short peaks thus count as a
// spread that hosts have to be held for in advance, and long ones as a level that moves follow.
type demand struct {
	window, currentLevel distribution
	// levelWeight is the part of the horizon for which the level is expected to last.
	levelWeight float64
	// baseline is the lowest demand of the last horizon, or 0 when the samples don't cover it.
	baseline float64
	// sustainedPeak is the highest demand that lasted for as long as a move needs to help.
	sustainedPeak float64
}

func newDemand(samples []Sample, in *Input) demand {
	d := demand{window: newDistribution(samples), sustainedPeak: sustainedMax(samples, in.reactionTime())}
	from := levelStart(samples)
	d.currentLevel = newDistribution(samples[from:])
	age := in.Now.Sub(samples[from].At)
	last := previousLevelDuration(samples[:from], d.currentLevel.mean > d.window.mean, d.window.mean)
	d.levelWeight = min(1, expectedRemaining(age, last, in.horizon()).Hours()/in.horizon().Hours())
	d.baseline = baselineDemand(samples, in.Now.Add(-in.horizon()))
	return d
}

// unmet returns the mean demand above the capacity.
func (d *demand) unmet(capacity float64) float64 {
	return d.levelWeight*d.currentLevel.unmet(capacity) + (1-d.levelWeight)*d.window.unmet(capacity)
}

// idle returns the mean of the capacity that isn't asked for.
func (d *demand) idle(capacity float64) float64 {
	mean := d.levelWeight*d.currentLevel.mean + (1-d.levelWeight)*d.window.mean
	return capacity - mean + d.unmet(capacity)
}

// expectedRemaining returns how long a level of the age is expected to last on, when the last level of its kind
// lasted for last. Levels shorter than the horizon are over before moves for them pay off. A level
// that is older than the last one, or the first of its kind, is expected to last as long again.
func expectedRemaining(age, last, horizon time.Duration) time.Duration {
	switch {
	case age >= last:
		return age
	case last < horizon:
		return 0
	}
	return last - age
}

// previousLevelDuration returns how long the demand was last on the given side of the mean, or 0 when it never
// was. A stretch that reaches back to the first sample is as long as the samples show.
func previousLevelDuration(samples []Sample, above bool, mean float64) time.Duration {
	end := len(samples) - 1
	for end >= 0 && (samples[end].Demand > mean) != above {
		end--
	}
	if end < 0 {
		return 0
	}
	begin := end
	for begin > 0 && (samples[begin-1].Demand > mean) == above {
		begin--
	}
	return samples[end].At.Sub(samples[begin].At)
}

// levelChangeFactor is the ratio to the mean of the present level at which a sample starts a new level.
const levelChangeFactor = 2

// levelStart returns the index of the first sample of the present level, going back from the newest.
func levelStart(samples []Sample) int {
	sum := 0.0
	for i := len(samples) - 1; i >= 0; i-- {
		mean := sum / float64(max(1, len(samples)-1-i))
		value := samples[i].Demand
		// One slot of difference is noise at any level.
		apart := value > mean*levelChangeFactor+1 || value*levelChangeFactor+1 < mean
		if i < len(samples)-1 && apart {
			return i + 1
		}
		sum += value
	}
	return 0
}

// baselineDemand returns the lowest demand since the time, or 0 when there are no samples that old.
func baselineDemand(samples []Sample, since time.Time) float64 {
	if samples[0].At.After(since) {
		return 0
	}
	lowest := samples[len(samples)-1].Demand
	for i := len(samples) - 1; i >= 0 && !samples[i].At.Before(since); i-- {
		lowest = min(lowest, samples[i].Demand)
	}
	return lowest
}

// distribution is a distribution of demand.
type distribution struct {
	// sorted holds the samples in ascending order, and tail[i] the sum of sorted[i:].
	sorted, tailSums []float64
	mean, peak       float64
}

func newDistribution(samples []Sample) distribution {
	s := distribution{sorted: make([]float64, len(samples)), tailSums: make([]float64, len(samples)+1)}
	for i, sample := range samples {
		s.sorted[i] = sample.Demand
	}
	slices.Sort(s.sorted)
	for i := len(samples) - 1; i >= 0; i-- {
		s.tailSums[i] = s.tailSums[i+1] + s.sorted[i]
	}
	s.mean = s.tailSums[0] / float64(len(samples))
	s.peak = s.sorted[len(samples)-1]
	return s
}

func (s *distribution) unmet(capacity float64) float64 {
	at, _ := slices.BinarySearch(s.sorted, capacity)
	above := float64(len(s.sorted) - at)
	return (s.tailSums[at] - above*capacity) / float64(len(s.sorted))
}

// sustainedMax returns the highest level that the demand held for at least the span. Before the
// samples cover the span it returns 0.
func sustainedMax(samples []Sample, span time.Duration) float64 {
	best := 0.0
	// minima holds the indexes of ascending minima of the samples within the span.
	var minima []int
	from := 0
	for to := range samples {
		for len(minima) > 0 && samples[minima[len(minima)-1]].Demand >= samples[to].Demand {
			minima = minima[:len(minima)-1]
		}
		minima = append(minima, to)
		covered := false
		for samples[to].At.Sub(samples[from].At) >= span {
			covered = true
			if from+1 > to || samples[to].At.Sub(samples[from+1].At) < span {
				break
			}
			from++
		}
		for minima[0] < from {
			minima = minima[1:]
		}
		if covered {
			best = max(best, samples[minima[0]].Demand)
		}
	}
	return best
}
