package overload

import (
	"math"
	"time"
)

// SizeClass is the class of a job by its size among the jobs of its kind. The zero value stands for a job that wasn't counted.
type SizeClass uint8

// Size classes. The users measure the largest tenth of a kind, and the fifth below it.
const (
	_ SizeClass = iota
	Ordinary
	Large
	Largest
	sizeClasses
)

const (
	// largeDeviation and largestDeviation are the 70% and 90% quantiles of the normal distribution, in standard deviations:
	// the logarithms of the sizes of a kind are taken to be normally distributed.
	largeDeviation, largestDeviation = 0.524, 1.282
	// initialDeviation is the standard deviation of the logarithms that is assumed for a new kind.
	initialDeviation = 0.6
	// sizeSmoothing is the weight of a job in the mean and the variance of its kind: some hundred jobs, a few seconds of a
	// peak.
	sizeSmoothing = 0.01
	// servedTimeConstant is the time constant with which the counts of offered and served jobs decay. It covers the turns of
	// two kinds.
	servedTimeConstant = 10 * time.Second
	// leastServed is the served share of a class that is aimed at, relative to that of its kind. The users require 0.5 at
	// least; the rest covers the time in which jobs are under way, and classes by declared instead of actual sizes.
	leastServed = 1.0
	// creditExponent is the power of a class's shortfall by which the cost of its jobs is reduced, and minCredit the smallest
	// factor.
	creditExponent, minCredit = 3.0, 0.01
	// priorJobs is the number of jobs of each class that count as offered and served before the first one. With 1, the large
	// jobs of a kind of which few are served got no credit.
	priorJobs = 0.1
	// maxKinds bounds the kinds that are kept. Jobs of further kinds count by their own size.
	maxKinds = 1000
)

// kindSizes holds the sizes of the jobs of a kind, and how many of each class were offered and served recently.
type kindSizes struct {
	// mean and variance are those of the logarithms of the sizes in core-seconds.
	mean, variance  float64
	offered, served [sizeClasses]float64
	updatedAt       time.Duration
}

// decay reduces the counts by the time that has passed.
func (k *kindSizes) decay(now time.Duration) {
	factor := math.Exp(-max(0, now-k.updatedAt).Seconds() / servedTimeConstant.Seconds())
	for class := range k.offered {
		k.offered[class] *= factor
		k.served[class] *= factor
	}
	k.updatedAt = now
}

// Sizes holds the sizes of the jobs of each kind, and keeps large jobs from being starved: a class of which too few are
// served gets a credit.
type Sizes struct {
	kinds map[string]*kindSizes
}

// Offered counts a job that is submitted for the first time, and returns its class.
func (s *Sizes) Offered(kind string, size float64, now time.Duration) SizeClass {
	logarithm := math.Log(max(minWork, size))
	k := s.kinds[kind]
	if k == nil {
		if len(s.kinds) >= maxKinds {
			return 0
		}
		if s.kinds == nil {
			s.kinds = map[string]*kindSizes{}
		}
		k = &kindSizes{mean: logarithm, variance: initialDeviation * initialDeviation, updatedAt: now}
		s.kinds[kind] = k
	}
	difference := logarithm - k.mean
	k.mean += sizeSmoothing * difference
	k.variance += sizeSmoothing * (difference*difference - k.variance)
	k.decay(now)
	class := s.ClassOf(kind, size)
	k.offered[class]++
	return class
}

// ClassOf returns the class of a job.
func (s *Sizes) ClassOf(kind string, size float64) SizeClass {
	k := s.kinds[kind]
	if k == nil {
		return 0
	}
	switch deviation := (math.Log(max(minWork, size)) - k.mean) / math.Sqrt(max(k.variance, minVariance)); {
	case deviation > largestDeviation:
		return Largest
	case deviation > largeDeviation:
		return Large
	}
	return Ordinary
}

// minVariance keeps jobs of nearly the same size in one class.
const minVariance = 0.01

// Served counts a job that was completed while that was of use.
func (s *Sizes) Served(kind string, class SizeClass, now time.Duration) {
	if k := s.kinds[kind]; k != nil && class != 0 {
		k.decay(now)
		k.served[class]++
	}
}

// Typical returns the typical size of the kind, and the given size if none is known.
func (s *Sizes) Typical(kind string, size float64) float64 {
	if k := s.kinds[kind]; k != nil {
		return math.Exp(k.mean)
	}
	return max(minWork, size)
}

// Credit returns the factor for the cost of the jobs of the class: 1, or less if fewer of them are served than leastServed
// requires.
func (s *Sizes) Credit(kind string, class SizeClass) float64 {
	k := s.kinds[kind]
	if k == nil || class <= Ordinary {
		return 1
	}
	offered, served := 0.0, 0.0
	for n := Ordinary; n < sizeClasses; n++ {
		offered, served = offered+k.offered[n], served+k.served[n]
	}
	share := (k.served[class] + priorJobs) / (k.offered[class] + priorJobs)
	least := leastServed * (served + priorJobs) / (offered + priorJobs)
	return max(minCredit, math.Pow(min(1, share/least), creditExponent))
}
