package dispatch

import "sync"

// Bounds of the retry budget.
const (
	// budgetPerRequest is the part of a retry that each request earns.
	budgetPerRequest = 0.1
	// budgetReserve permits first retries on a gateway with little traffic.
	budgetReserve = 3
	// budgetCap bounds the retries that quiet times save up, so that a fault of many endpoints
	// doesn't start with a burst of retries.
	budgetCap = 50
)

// budget limits retries to a part of the requests.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

func newBudget() *budget { return &budget{tokens: budgetReserve} }

// earn notes one request.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+budgetPerRequest, budgetCap)
}

// spend takes one retry, and reports whether there was one.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
