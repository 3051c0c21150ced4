package planner

import (
	"slices"
	"time"
)

// windowFactor is the length of the demand window in terms of the time that demand has to last for
// a move to help. Peaks shorter than the window show as a spread of the samples, which hosts have to
// be held for in advance; longer ones shift the samples as a whole, which moves follow.
const windowFactor = 2

// remember appends the demands of this moment and drops what is older than the window.
func remember(in *Input, memory Memory) map[string][]Sample {
	oldest := in.Now.Add(-windowFactor * in.lasting())
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

// demand is the distribution of the window.
type demand struct {
	// sorted holds the samples in ascending order.
	sorted []float64
	// tail[i] is the sum of sorted[i:].
	tail            []float64
	mean, peak      float64
	sustained, last float64
}

func newDemand(samples []Sample, lasting time.Duration) demand {
	d := demand{sorted: make([]float64, len(samples)), sustained: sustained(samples, lasting)}
	for i, sample := range samples {
		d.sorted[i] = sample.Demand
		d.last = sample.Demand
	}
	slices.Sort(d.sorted)
	d.tail = make([]float64, len(samples)+1)
	for i := len(samples) - 1; i >= 0; i-- {
		d.tail[i] = d.tail[i+1] + d.sorted[i]
	}
	if len(samples) > 0 {
		d.mean = d.tail[0] / float64(len(samples))
		d.peak = d.sorted[len(samples)-1]
	}
	return d
}

// unmet returns the mean demand above the capacity.
func (d *demand) unmet(capacity float64) float64 {
	if len(d.sorted) == 0 {
		return 0
	}
	at, _ := slices.BinarySearch(d.sorted, capacity)
	above := len(d.sorted) - at
	return (d.tail[at] - float64(above)*capacity) / float64(len(d.sorted))
}

// idle returns the mean of the capacity that isn't asked for.
func (d *demand) idle(capacity float64) float64 {
	return capacity - d.mean + d.unmet(capacity)
}

// sustained returns the highest level that the demand held for at least the span. Before the
// samples cover the span it returns 0.
func sustained(samples []Sample, span time.Duration) float64 {
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
