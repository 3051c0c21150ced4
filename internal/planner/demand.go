package planner

import (
	"slices"
	"time"
)

// windowFactor is the length of the demand window in horizons. It is long enough for the window to contain
// several cycles of peaks that are about as long as the minimum stay of a moved host.
const windowFactor = 12

// updateSamples returns the samples of each pool with its current demand appended, and without those older
// than the window.
func updateSamples(input *Input, memory Memory) map[string][]Sample {
	oldest := input.Now.Add(-windowFactor * input.horizon())
	samples := make(map[string][]Sample, len(input.Pools))
	for _, pool := range input.Pools {
		kept := memory.Samples[pool.Name]
		for len(kept) > 0 && kept[0].At.Before(oldest) {
			kept = kept[1:]
		}
		samples[pool.Name] = append(slices.Clip(kept), Sample{At: input.Now, Demand: pool.Demand})
	}
	return samples
}

// demand is the forecast of a pool's demand over the horizon. It consists of the distribution of the current
// level, for as long as the level is expected to last, and of the distribution of the whole window for the
// remaining time. Short peaks therefore appear as variation, for which hosts have to be kept in the pool in
// advance, and long peaks as a level to which the number of hosts is adapted by moves.
type demand struct {
	window, currentLevel distribution
	// levelWeight is the fraction of the horizon for which the current level is expected to last.
	levelWeight float64
	// baseline is the lowest demand within the last horizon, or 0 if the samples don't cover the horizon.
	baseline float64
	// sustainedPeak is the highest demand that lasted for at least the reaction time of a move.
	sustainedPeak float64
}

// newDemand forecasts the demand of a pool from its samples, of which there must be at least one.
func newDemand(samples []Sample, input *Input) demand {
	d := demand{window: newDistribution(samples), sustainedPeak: sustainedMax(samples, input.reactionTime())}
	start := levelStart(samples)
	d.currentLevel = newDistribution(samples[start:])
	age := input.Now.Sub(samples[start].At)
	previousDuration := previousLevelDuration(samples[:start], d.currentLevel.mean > d.window.mean, d.window.mean)
	d.levelWeight = min(1, expectedRemaining(age, previousDuration, input.horizon()).Hours()/input.horizon().Hours())
	d.baseline = baselineDemand(samples, input.Now.Add(-input.horizon()))
	return d
}

// unmet returns the mean of the forecast demand that exceeds the capacity, in slots.
func (d *demand) unmet(capacity float64) float64 {
	return d.levelWeight*d.currentLevel.unmet(capacity) + (1-d.levelWeight)*d.window.unmet(capacity)
}

// idle returns the mean of the capacity that the forecast demand doesn't use, in slots.
func (d *demand) idle(capacity float64) float64 {
	mean := d.levelWeight*d.currentLevel.mean + (1-d.levelWeight)*d.window.mean
	return capacity - mean + d.unmet(capacity)
}

// expectedRemaining returns how much longer a level of the given age is expected to last, from the duration
// of the previous level of its kind, that is, on the same side of the mean. A level that has lasted at least
// as long as the previous one, or that is the first of its kind, is expected to last as long again. Any other
// level is expected to last as long as the previous one. If that was shorter than the horizon, the result is
// 0, since the level will end before moves for it pay off.
func expectedRemaining(age, previousDuration, horizon time.Duration) time.Duration {
	switch {
	case age >= previousDuration:
		return age
	case previousDuration < horizon:
		return 0
	}
	return previousDuration - age
}

// previousLevelDuration returns the duration of the most recent period in which the demand was on the given
// side of the mean, or 0 if there is none. If the period reaches back to the first sample, it may have been
// longer.
func previousLevelDuration(samples []Sample, above bool, mean float64) time.Duration {
	end := len(samples) - 1
	for end >= 0 && (samples[end].Demand > mean) != above {
		end--
	}
	if end < 0 {
		return 0
	}
	start := end
	for start > 0 && (samples[start-1].Demand > mean) == above {
		start--
	}
	return samples[end].At.Sub(samples[start].At)
}

// levelChangeFactor is the ratio between a sample and the mean of the samples after it at which a new level
// begins after the sample.
const levelChangeFactor = 2

// levelStart returns the index of the first sample of the current level. It goes back from the newest sample
// until one differs too much from the mean of the samples after it.
func levelStart(samples []Sample) int {
	sum := 0.0
	for i := len(samples) - 1; i >= 0; i-- {
		mean := sum / float64(max(1, len(samples)-1-i))
		value := samples[i].Demand
		// A difference of one slot is ignored as noise at any level.
		levelChanged := value > mean*levelChangeFactor+1 || value*levelChangeFactor+1 < mean
		if i < len(samples)-1 && levelChanged {
			return i + 1
		}
		sum += value
	}
	return 0
}

// baselineDemand returns the lowest demand since the given time, or 0 if the samples don't reach back to it.
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

// distribution is the empirical distribution of a set of demand samples.
type distribution struct {
	// sorted holds the samples in ascending order, and tailSums[i] the sum of sorted[i:].
	sorted, tailSums []float64
	mean, peak       float64
}

func newDistribution(samples []Sample) distribution {
	d := distribution{sorted: make([]float64, len(samples)), tailSums: make([]float64, len(samples)+1)}
	for i, sample := range samples {
		d.sorted[i] = sample.Demand
	}
	slices.Sort(d.sorted)
	for i := len(samples) - 1; i >= 0; i-- {
		d.tailSums[i] = d.tailSums[i+1] + d.sorted[i]
	}
	d.mean = d.tailSums[0] / float64(len(samples))
	d.peak = d.sorted[len(samples)-1]
	return d
}

// unmet returns the mean of the demand that exceeds the capacity.
func (d *distribution) unmet(capacity float64) float64 {
	index, _ := slices.BinarySearch(d.sorted, capacity)
	above := float64(len(d.sorted) - index)
	return (d.tailSums[index] - above*capacity) / float64(len(d.sorted))
}

// sustainedMax returns the highest value that the demand didn't fall below for at least the span, or 0 if the
// samples don't cover the span.
func sustainedMax(samples []Sample, span time.Duration) float64 {
	highest := 0.0
	// minima is a monotonic queue: it holds indexes of samples within the span with ascending demand, the
	// lowest demand of the span first.
	var minima []int
	start := 0
	for end := range samples {
		for len(minima) > 0 && samples[minima[len(minima)-1]].Demand >= samples[end].Demand {
			minima = minima[:len(minima)-1]
		}
		minima = append(minima, end)
		covered := false
		for samples[end].At.Sub(samples[start].At) >= span {
			covered = true
			if start+1 > end || samples[end].At.Sub(samples[start+1].At) < span {
				break
			}
			start++
		}
		for minima[0] < start {
			minima = minima[1:]
		}
		if covered {
			highest = max(highest, samples[minima[0]].Demand)
		}
	}
	return highest
}
