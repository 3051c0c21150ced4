package overload

import "time"

// shareBurst is the time for which a customer may save up its share. It lets the jitter of a caller pass, and is shorter than
// the peaks of about five seconds that have to be divided.
const shareBurst = 2 * time.Second

// Shares counts the jobs that customers send, over all pools, against their shares in jobs a second.
type Shares struct {
	buckets map[string]*bucket
}

// bucket holds the jobs that a customer may send now.
type bucket struct {
	tokens    float64
	updatedAt time.Duration
}

// capacityOf returns the largest number of jobs that a customer with the share may send at once. A customer can always
// send one.
func capacityOf(share float64) float64 { return max(1, share*shareBurst.Seconds()) }

// Available returns the jobs that the customer may send within its share now.
func (s *Shares) Available(customer string, share float64, now time.Duration) float64 {
	b := s.buckets[customer]
	if b == nil {
		return capacityOf(share)
	}
	return min(capacityOf(share), b.tokens+share*max(0, now-b.updatedAt).Seconds())
}

// Take counts a job of the customer, and reports whether it is within its share. Jobs beyond the share don't count, so that
// the customer isn't kept beyond it after it has returned to its usual rate.
func (s *Shares) Take(customer string, share float64, now time.Duration) bool {
	tokens := s.Available(customer, share, now)
	if tokens < 1 {
		return false
	}
	if s.buckets == nil {
		s.buckets = map[string]*bucket{}
	}
	s.buckets[customer] = &bucket{tokens: tokens - 1, updatedAt: now}
	return true
}

// Forget drops the customers that have saved up their share, so that the number of names that are kept is bounded by the
// number of recent jobs.
func (s *Shares) Forget(shareOf func(customer string) float64, now time.Duration) {
	for customer := range s.buckets {
		if share := shareOf(customer); s.Available(customer, share, now) >= capacityOf(share) {
			delete(s.buckets, customer)
		}
	}
}

// UntilNext returns the time until the customer may send a job within its share.
func (s *Shares) UntilNext(customer string, share float64, now time.Duration) time.Duration {
	missing := 1 - s.Available(customer, share, now)
	if missing <= 0 || share <= 0 {
		return 0
	}
	return time.Duration(missing / share * float64(time.Second))
}
