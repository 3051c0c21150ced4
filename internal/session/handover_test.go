package session

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/boottime"
	"turmericyoke/internal/infra"
	"turmericyoke/internal/infra/infratest"
	"turmericyoke/internal/journal"
	"turmericyoke/internal/scheduler"
)

const (
	// maxHandoverFaults is the number of calls of a schedule with a fault.
	maxHandoverFaults = 1
	// handoverWait is longer than the writer's pauses before it repeats a call.
	handoverWait = time.Second
)

// logCall is a call to the log that hasn't been carried out yet.
type logCall struct {
	term     int64
	run      func() error
	response chan error
}

// handover is one schedule of a hand-over from term 1 to term 2. Its clock counts the steps of the schedule.
type handover struct {
	log infratest.Log

	mu      sync.Mutex
	step    time.Duration
	pending []*logCall
	// late are the calls that are carried out, and the responses that arrive, at any later time.
	late []func()
	// fencedAt is when the first append of term 2 was carried out, 0 if it wasn't.
	fencedAt time.Duration
	terms    [3]handoverTerm
}

// handoverTerm is what a term has read and said.
type handoverTerm struct {
	loaded []string
	// asked is when a request arrived that the term answered from what it knows, at answered, after an append. confirmed is
	// Writer.ConfirmedAt at that time.
	asked, answered, confirmed time.Duration
}

func (h *handover) clock() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.step
}

// call waits for the response to a call.
func (h *handover) call(term int64, run func() error) error {
	call := &logCall{term: term, run: run, response: make(chan error, 1)}
	h.mu.Lock()
	h.pending = append(h.pending, call)
	// The calls of both terms come in any order, and a schedule has to be repeatable.
	slices.SortStableFunc(h.pending, func(a, b *logCall) int { return cmp.Compare(a.term, b.term) })
	h.mu.Unlock()
	return <-call.response
}

// handoverLog is the log as seen by one term.
type handoverLog struct {
	infra.Log
	*handover
	term int64
}

func (l handoverLog) Append(ctx context.Context, topic string, records []infra.Record, options infra.AppendOptions) (int64, error) {
	return 0, l.call(l.term, func() error {
		_, err := l.log.Append(ctx, topic, records, options)
		if err == nil && l.term == 2 && l.fencedAt == 0 {
			l.fencedAt = l.step
		}
		return err
	})
}

func (l handoverLog) LatestByKey(ctx context.Context, topic string) (records []infra.Record, end int64, err error) {
	err = l.call(l.term, func() (err error) {
		records, end, err = l.log.LatestByKey(ctx, topic)
		return err
	})
	for _, record := range records {
		l.terms[l.term].loaded = append(l.terms[l.term].loaded, record.Key)
	}
	return records, end, err
}

// handoverKeys are the keys of the records that the terms append before they answer.
var handoverKeys = [3]string{1: "first", 2: "second"}

// runTerm loads the state as a session does, and then answers a request after an append.
func (h *handover) runTerm(ctx context.Context, config Config, term int64) {
	config.Log, config.Clock = handoverLog{handover: h, term: term}, boottime.Clock(h.clock)
	s := &session{Config: config, term: term, writer: journal.New(config.Log, scheduler.Topic, term, journal.Limits{}, config.Clock, config.Logger),
		core: scheduler.New(term, config.Options, config.Clock, config.WallClock, config.Logger, nil)}
	if s.load(ctx) != nil {
		return
	}
	asked := h.clock()
	if _, err := s.writer.Append(ctx, []infra.Record{{Key: handoverKeys[term], Value: []byte("accepted")}}); err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.terms[term].asked, h.terms[term].answered, h.terms[term].confirmed = asked, h.step, s.writer.ConfirmedAt()
}

// fault is what may go wrong with a call. The list is closed.
type fault int

const (
	faultNone fault = iota
	// faultLostResponse means that the call is carried out and has no response.
	faultLostResponse
	// faultLateCall means that the call has no response and is carried out later.
	faultLateCall
	// faultLateResponse means that the call is carried out and has its response later.
	faultLateResponse
	faultCount
)

// answer carries out a call, unless the fault prevents that. h.mu must be held.
func (h *handover) answer(call *logCall, f fault) {
	noResponse := &infra.Error{Kind: infra.Unknown, Op: "log"}
	switch f {
	case faultNone:
		call.response <- call.run()
	case faultLostResponse:
		_ = call.run() // The response is lost.
		call.response <- noResponse
	case faultLateCall:
		call.response <- noResponse
		h.late = append(h.late, func() { _ = call.run() }) // Nobody waits for the response.
	case faultLateResponse:
		err := call.run()
		h.late = append(h.late, func() { call.response <- err })
	}
}

// next lets choose decide what happens next. It reports false if nothing can happen. faults is the number of faults that
// are left.
func (h *handover) next(choose func(choices int) int, faults *int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.step++
	late, waiting, kinds := len(h.late), len(h.pending), 1
	if *faults > 0 {
		kinds = int(faultCount)
	}
	if late+waiting == 0 {
		return false
	}
	n := choose(late + waiting*kinds)
	if n < late {
		act := h.late[n]
		h.late = slices.Delete(h.late, n, n+1)
		act()
		return true
	}
	n -= late
	call, f := h.pending[n%waiting], fault(n/waiting)
	h.pending = slices.Delete(h.pending, n%waiting, n%waiting+1)
	if f != faultNone {
		*faults--
	}
	h.answer(call, f)
	return true
}

// check checks what the terms have said against each other and against the log.
func (h *handover) check(t *testing.T) {
	page, err := h.log.Read(t.Context(), scheduler.Topic, 0, 0)
	assert.NilError(t, err)
	first, second := h.terms[1], h.terms[2]
	fenced := false
	for _, record := range page.Records {
		fenced = fenced || record.Key == termKey && string(record.Value) == "2" || record.Key == handoverKeys[2]
		assert.Assert(t, !fenced || record.Key != handoverKeys[1], "the log has a record of term 1 after those of term 2")
	}
	if first.answered == 0 {
		return
	}
	assert.Assert(t, h.fencedAt == 0 || first.confirmed < h.fencedAt, "term 1 was confirmed by an append of step %d, and fenced in step %d", first.confirmed, h.fencedAt)
	assert.Assert(t, len(second.loaded) == 0 || slices.Contains(second.loaded, handoverKeys[1]), "term 2 doesn't know what term 1 has said")
	assert.Assert(t, second.answered == 0 || first.asked < second.answered, "term 1 was asked in step %d, and doesn't know what term 2 had said in step %d", first.asked, second.answered)
}

// play plays the schedule that begins with the given choices, and then takes the first of them each time. It returns all
// its choices, and how many there were of each.
func (h *handover) play(t *testing.T, schedule []int) (chosen, choices []int) {
	ctx, cancel := context.WithCancel(t.Context())
	config := newTestConfig(&slowStarts{}, time.Now())
	var terms sync.WaitGroup
	for term := range int64(2) {
		terms.Go(func() { h.runTerm(ctx, config, term+1) })
		// With Go 1.26.8 the race detector crashed when both terms began at once, each with a timer that was due.
		synctest.Wait()
	}
	faults := maxHandoverFaults
	for idle := false; !idle; {
		synctest.Wait()
		if h.next(func(count int) int {
			choice := 0
			if len(chosen) < len(schedule) {
				choice = schedule[len(chosen)]
			}
			chosen, choices = append(chosen, choice), append(choices, count)
			return choice
		}, &faults) {
			continue
		}
		// A writer may pause before it repeats a call.
		time.Sleep(handoverWait)
		synctest.Wait()
		h.mu.Lock()
		idle = len(h.pending) == 0
		h.mu.Unlock()
	}
	cancel()
	terms.Wait()
	h.check(t)
	return chosen, choices
}

// Guards against a leader that confirms an answer after its successor has begun, or says what its successor doesn't know:
// all orders of the calls of both to the log, of which any one is lost, late, or has no response in time.
func TestHandoverInAnyOrderOfCalls(t *testing.T) {
	synctest.Test(t, playHandovers)
}

// playHandovers plays all schedules.
func playHandovers(t *testing.T) {
	played, answeredByBoth := 0, 0
	for schedule := []int{}; ; {
		h := &handover{}
		chosen, choices := h.play(t, schedule)
		played++
		if h.terms[1].answered > 0 && h.terms[2].answered > 0 {
			answeredByBoth++
		}
		last := len(chosen) - 1
		for last >= 0 && chosen[last] == choices[last]-1 {
			last--
		}
		if last < 0 {
			break
		}
		schedule = append(chosen[:last], chosen[last]+1)
	}
	t.Logf("%d schedules, of which both terms answered in %d", played, answeredByBoth)
	assert.Assert(t, answeredByBoth > 0)
}
