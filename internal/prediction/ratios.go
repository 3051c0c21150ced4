package prediction

import (
	"math"
	"slices"

	"github.com/DataDog/sketches-go/ddsketch"
)

const (
	// sketchAccuracy is the relative error of a quantile, far below the spread of run times.
	sketchAccuracy = 0.02
	// maxRatio limits the ratios of actual to predicted values in both directions; ratios beyond it are counted as
	// maxRatio. Ratios within it fit into maxBins.
	maxRatio = 64.0
	maxBins  = 256
	// decayRuns is the number of ratios after which the weights of the earlier ones are reduced. Reducing them passes over
	// all bins.
	decayRuns = 100
	// spreadPrior is the number of runs for which the assumed spread counts, and priorSigma is that spread: declared run
	// times are off by a log-normal factor with a sigma of up to 0.9.
	spreadPrior = 16
	priorSigma  = 0.9
)

// quantiles are those that a distribution holds; others are interpolated.
var quantiles = []float64{0.01, 0.05, 0.1, 0.25, 0.4, 0.5, 0.6, 0.75, 0.9, 0.95, 0.97, 0.98, 0.99, 0.995, 0.999}

// Ratios is a sketch of the distribution of the ratio of actual to predicted values. Earlier ratios count less.
type Ratios struct {
	sketch *ddsketch.DDSketch
	// sinceDecay is the number of ratios since the weights were last reduced.
	sinceDecay int
}

// NewRatios returns an empty sketch.
func NewRatios() *Ratios {
	sketch, err := ddsketch.LogCollapsingLowestDenseDDSketch(sketchAccuracy, maxBins)
	if err != nil {
		// The only cause is an accuracy outside 0 to 1.
		panic(err)
	}
	return &Ratios{sketch: sketch}
}

// Add adds the ratio of an actual to a predicted value, both above 0.
func (r *Ratios) Add(actual, predicted float64) { r.add(math.Log(actual / predicted)) }

// add adds the logarithm of a ratio.
func (r *Ratios) add(logRatio float64) {
	limit := math.Log(maxRatio)
	if math.IsNaN(logRatio) {
		return
	}
	// A limited ratio is within the range of the sketch, so that it can't be refused.
	if err := r.sketch.Add(math.Exp(max(-limit, min(limit, logRatio)))); err != nil {
		panic(err)
	}
	if r.sinceDecay++; r.sinceDecay >= decayRuns {
		r.sinceDecay = 0
		if err := r.sketch.Reweight(1 - float64(decayRuns)/runMemory); err != nil {
			panic(err)
		}
	}
}

// Quantile returns the ratio that isn't exceeded with probability q.
func (r *Ratios) Quantile(q float64) float64 { return math.Exp(r.distribution().quantile(q)) }

// distribution is a summary of the ratios that is cheap to read.
type distribution struct {
	// meanRatio is the mean ratio. It is above the median: rare long runs and the spread of the others raise it.
	meanRatio float64
	// logQuantiles are the logarithms of the ratios at quantiles.
	logQuantiles []float64
}

// distribution returns the present summary. With few ratios it is between them and the assumed spread.
func (r *Ratios) distribution() *distribution {
	d := &distribution{meanRatio: 1, logQuantiles: make([]float64, len(quantiles))}
	count := r.sketch.GetCount()
	var values []float64
	if count > 0 {
		d.meanRatio = (r.sketch.GetSum() + shiftPrior) / (count + shiftPrior)
		var err error
		if values, err = r.sketch.GetValuesAtQuantiles(quantiles); err != nil {
			panic(err)
		}
	}
	share := count / (count + spreadPrior)
	for n, q := range quantiles {
		d.logQuantiles[n] = priorQuantile(q) * (1 - share)
		if count > 0 {
			d.logQuantiles[n] += math.Log(values[n]) * share
		}
	}
	return d
}

// quantile returns the logarithm of the ratio that isn't exceeded with probability q.
func (d *distribution) quantile(q float64) float64 {
	n, exact := slices.BinarySearch(quantiles, q)
	switch {
	case n == len(quantiles):
		return d.logQuantiles[n-1]
	case exact || n == 0:
		return d.logQuantiles[n]
	}
	part := (q - quantiles[n-1]) / (quantiles[n] - quantiles[n-1])
	return d.logQuantiles[n-1] + part*(d.logQuantiles[n]-d.logQuantiles[n-1])
}

// priorQuantile returns the logarithm of the ratio that isn't exceeded with probability q under the assumed spread.
func priorQuantile(q float64) float64 {
	q = max(quantiles[0], min(quantiles[len(quantiles)-1], q))
	return priorSigma * math.Sqrt2 * math.Erfinv(2*q-1)
}
