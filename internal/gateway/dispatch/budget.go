package dispatch

import "sync"

// Limits of the retry budget.
const (
	// retriesPerRequest is added to the budget for each request.
	retriesPerRequest = 0.1
	// initialRetries permits the first retries of a gateway with little traffic.
	initialRetries = 3
	// maxSavedRetries limits the retries that accumulate while there are few failures, so that a failure of many
	// endpoints doesn't cause a burst of retries.
	maxSavedRetries = 50
)

// retryBudget limits the number of retries to a fraction of the number of requests.
type retryBudget struct {
	mu sync.Mutex
	// retries is the number of retries that are permitted now.
	retries float64
}

func newRetryBudget() *retryBudget { return &retryBudget{retries: initialRetries} }

// addRequest adds the retries that one request earns.
func (b *retryBudget) addRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries = min(b.retries+retriesPerRequest, maxSavedRetries)
}

// takeRetry takes one retry from the budget, and returns false if none is left.
func (b *retryBudget) takeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.retries < 1 {
		return false
	}
	b.retries--
	return true
}
