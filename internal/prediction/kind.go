package prediction

// Constants of the model of a kind of work.
const (
	// runMemory is the number of runs over which a kind is averaged: a few seconds at a peak, so that predictions move by
	// a few percent a second and not by what the last runs happened to take.
	runMemory = 2000
	// refreshRuns is the number of runs after which the predictions are computed anew. Reading the sketch takes several
	// microseconds, and 64 runs of runMemory change little.
	refreshRuns = 64
	// firstRefreshRuns is the same while fewer than refreshRuns runs are known.
	firstRefreshRuns = 4
	// shiftPrior is the number of runs that are assumed to have taken the declared time.
	shiftPrior = 8
	// slopePrior is the sum of squares, of logarithms of declared run times around their mean, that is assumed with a slope
	// of 1. Declared run times that are off by a factor with sigma 0.9 reach it within about ten runs.
	slopePrior = 8
)

// regression is a weighted linear regression of y on x, in which a run counts less the more runs came after it. Its
// slope is between 0 and 1: declared run times that say nothing about the actual ones get no weight.
type regression struct {
	weight, meanX, meanY float64
	// squaresX and products are the weighted sums of squares of x, and of products of x and y, around their means.
	squaresX, products float64
}

// observe adds a run.
func (r *regression) observe(x, y float64) {
	const keep = 1 - 1.0/runMemory
	r.weight = keep*r.weight + 1
	dx, dy := x-r.meanX, y-r.meanY
	r.meanX += dx / r.weight
	r.meanY += dy / r.weight
	r.squaresX = keep*r.squaresX + dx*(x-r.meanX)
	r.products = keep*r.products + dx*(y-r.meanY)
}

// predict returns the predicted y. Without runs, it is x.
func (r *regression) predict(x float64) float64 {
	line := r.line()
	return line.offset + line.slope*x
}

// line is the line of a regression.
type line struct{ offset, slope float64 }

// line returns the present line.
func (r *regression) line() line {
	slope := max(0, min(1, (r.products+slopePrior)/(r.squaresX+slopePrior)))
	shift := (r.meanY - r.meanX) * r.weight / (r.weight + shiftPrior)
	// At the mean of the declared run times, the line passes through the mean of the actual ones.
	return line{offset: r.meanX + shift - slope*r.meanX, slope: slope}
}

// kindModel is what is known of a kind of work.
type kindModel struct {
	fit    regression
	ratios *Ratios
	// published are the predictions as of the last refresh, and pending is the number of runs since then.
	published snapshot
	pending   int
}

// snapshot holds what predictions are computed from. It changes only every refreshRuns runs.
type snapshot struct {
	line
	*distribution
}

func newKindModel() *kindModel {
	k := &kindModel{ratios: NewRatios()}
	k.refresh()
	return k
}

// observe adds a run.
func (k *kindModel) observe(x, y float64) {
	// The ratio to the prediction before the run tells how well the next run will be predicted.
	k.ratios.add(y - k.fit.predict(x))
	k.fit.observe(x, y)
	k.pending++
	limit := refreshRuns
	if k.fit.weight < refreshRuns {
		limit = firstRefreshRuns
	}
	if k.pending >= limit {
		k.refresh()
	}
}

func (k *kindModel) refresh() {
	k.published, k.pending = snapshot{k.fit.line(), k.ratios.distribution()}, 0
}

// typical returns the predicted logarithm of a run time, to which the distribution of the ratios refers.
func (k *kindModel) typical(x float64) float64 {
	return k.published.offset + k.published.slope*x
}

func (k *kindModel) current() *distribution { return k.published.distribution }
