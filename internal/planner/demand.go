package planner

import (
	"slices"
	"time"
)

// windowFactor is the length of the demand window in terms of the minimum stay, so that the window
// holds several turns of peaks that are about as long as a moved host has to stay.
const windowFactor = 12

// updateSamples appends the demands of this moment and drops what is older than the window.
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

func newDemand(samples []Sample, input *Input) demand {
	d := demand{window: newDistribution(samples), sustainedPeak: sustainedMax(samples, input.reactionTime())}
	start := levelStart(samples)
	d.currentLevel = newDistribution(samples[start:])
	age := input.Now.Sub(samples[start].At)
	previous := previousLevelDuration(samples[:start], d.currentLevel.mean > d.window.mean, d.window.mean)
	d.levelWeight = min(1, expectedRemaining(age, previous, input.horizon()).Hours()/input.horizon().Hours())
	d.baseline = baselineDemand(samples, input.Now.Add(-input.horizon()))
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
func expectedRemaining(age, previous, horizon time.Duration) time.Duration {
	switch {
	case age >= previous:
		return age
	case previous < horizon:
		return 0
	}
	return previous - age
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
	start := end
	for start > 0 && (samples[start-1].Demand > mean) == above {
		start--
	}
	return samples[end].At.Sub(samples[start].At)
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
		levelChanged := value > mean*levelChangeFactor+1 || value*levelChangeFactor+1 < mean
		if i < len(samples)-1 && levelChanged {
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

func (d *distribution) unmet(capacity float64) float64 {
	index, _ := slices.BinarySearch(d.sorted, capacity)
	above := float64(len(d.sorted) - index)
	return (d.tailSums[index] - above*capacity) / float64(len(d.sorted))
}

// sustainedMax returns the highest level that the demand held for at least the span. Before the
// samples cover the span it returns 0.
func sustainedMax(samples []Sample, span time.Duration) float64 {
	highest := 0.0
	// minima holds the indexes of ascending minima of the samples within the span.
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
