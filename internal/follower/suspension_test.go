package follower

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a controller that reports its state as fresh after its host was suspended, although it hasn't read the
// log since: gateways would accept withdrawn keys whose failClosedAfter has passed.
func TestStateAgesWhileHostIsSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended atomic.Int64
		start := time.Now()
		f := New(Config{BootClock: func() time.Duration {
			return time.Since(start) + time.Duration(suspended.Load())
		}})
		f.updateFreshness(0, f.clock())
		time.Sleep(time.Second)
		suspended.Store(int64(time.Hour))
		age, known := f.Freshness()
		assert.Assert(t, known)
		assert.Equal(t, age, time.Hour+time.Second)
	})
}
