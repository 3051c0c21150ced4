package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/periodic"
)

// connectTimeout is the time limit for opening a connection to a relay.
const connectTimeout = 400 * time.Millisecond

// errNotUpgraded is the error of a process that doesn't accept a relay connection.
var errNotUpgraded = errors.New("the process doesn't accept relay connections")

// fate tells what is known of a call that a relay was given. The list is closed.
type fate int

const (
	// fateKnown means that the relay has returned the outcome.
	fateKnown fate = iota
	// fateNotSent means that the call certainly wasn't and won't be sent.
	fateNotSent
	// fateUnknown means that the relay may have sent the call or may still send it.
	fateUnknown
)

// resolved is what became of a call.
type resolved struct {
	fate    fate
	outcome outcome
	// reason is why the call wasn't sent, and cause why its outcome isn't known.
	reason reason
	cause  error
}

// pendingCall is a call without an outcome.
type pendingCall struct {
	call *call
	// sendBy is until when the call may be sent, on the clock of this process.
	sendBy time.Duration
	// written is set once the call is part of a batch.
	written bool
	done    chan resolved
}

// writtenBatch is a batch that was written.
type writtenBatch struct {
	at time.Duration
	// echo is the Echo of the batch.
	echo int64
}

// link is the connection to one relay.
type link struct {
	router *Router
	relay  infra.Member
	// hash is the hash of the relay's name, by which workers choose among relays.
	hash uint64

	conn   net.Conn
	ctx    context.Context
	cancel context.CancelFunc
	// refusesCalls is set once the relay stops or the link is closed.
	refusesCalls atomic.Bool
	// behindUntil is until when the relay gets no calls because it is behind with those it has, or is blamed for calls
	// that weren't answered.
	behindUntil atomic.Int64
	blames      atomic.Int64

	mu      sync.Mutex
	nextID  int64
	pending map[int64]*pendingCall
	queue   []*pendingCall
	wake    chan struct{}
	// echo is the Stamp of the newest batch from the relay.
	echo int64
	// unread are the batches that the relay hasn't read yet, and read is the number of those that it has.
	unread []writtenBatch
	read   int64
	// unreadSince is the time of the first of the unread batches, 0 if there is none, and slowReadAt when the relay last
	// had read one that took longer than one that is well takes.
	unreadSince, slowReadAt atomic.Int64
	// closed is set once no call is accepted any more, because of the cause.
	closed bool
	cause  error
}

// connect opens a connection to the relay and waits until the relay has accepted it.
func (r *Router) connect(ctx context.Context, relay infra.Member) (*link, error) {
	ctx, cancelDial := context.WithTimeout(ctx, connectTimeout)
	defer cancelDial()
	conn, err := r.Dial(ctx, relay.Address)
	if err != nil {
		return nil, err
	}
	reader, err := upgrade(conn, relay.Address)
	if err != nil {
		_ = conn.Close() // The connection was never used.
		return nil, err
	}
	l := &link{router: r, relay: relay, hash: hashOf(relay.Name), conn: conn, pending: map[int64]*pendingCall{}, wake: make(chan struct{}, 1)}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	decoder := newDecoder(io.MultiReader(io.LimitReader(reader, int64(reader.Buffered())), patientReader{conn: conn, limit: silenceLimit}))
	// The first batch shows that the relay runs and not only its network stack.
	if err := l.readBatch(decoder); err != nil {
		l.close(err)
		return nil, err
	}
	go l.run(func() error { return l.readOutcomes(decoder) })
	go l.run(l.writeCalls)
	return l, nil
}

// upgrade requests the upgrade of the connection to the protocol of relays.
func upgrade(conn net.Conn, address string) (*bufio.Reader, error) {
	if err := conn.SetDeadline(time.Now().Add(connectTimeout)); err != nil {
		return nil, err
	}
	request := "POST " + Path + " HTTP/1.1\r\nHost: " + address + "\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\nContent-Length: 0\r\n\r\n"
	if _, err := io.WriteString(conn, request); err != nil {
		return nil, err
	}
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusSwitchingProtocols {
		return nil, fmt.Errorf("%w: status %d", errNotUpgraded, response.StatusCode)
	}
	return reader, nil
}

// run runs a part of the link. An error or a panic, for example in a decoder, closes the link.
func (l *link) run(part func() error) {
	var err error
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("panic: %v", cause)
		}
		l.close(err)
	}()
	err = part()
}

// close closes the link and resolves the calls that are pending.
func (l *link) close(cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed, l.cause = true, cause
	l.refusesCalls.Store(true)
	l.cancel()
	_ = l.conn.Close() // The outcomes of calls in progress are unknown in any case.
	for _, p := range l.pending {
		l.giveUp(p)
	}
	clear(l.pending)
	l.queue = nil
	periodic.Wake(l.router.linksChanged)
}

// giveUp resolves a call whose outcome won't arrive. l.mu must be held.
func (l *link) giveUp(p *pendingCall) {
	if p.written {
		p.done <- resolved{fate: fateUnknown, cause: l.cause}
		return
	}
	p.done <- resolved{fate: fateNotSent, reason: reasonNotWritten}
}

// usable reports whether the relay may get calls now.
func (l *link) usable(now time.Duration) bool {
	return !l.refusesCalls.Load() && time.Duration(l.behindUntil.Load()) <= now
}

const (
	// maxBlames is the number of workers that didn't answer a relay, but then answered a direct call, after which the relay
	// gets no calls for blamedTime: it may be cut off from workers while this process is not.
	maxBlames  = 3
	blamedTime = 5 * time.Second
)

// blame notes that a worker didn't answer the relay, but answered this process.
func (l *link) blame(now time.Duration) {
	if l.blames.Add(1)%maxBlames == 0 {
		l.behindUntil.Store(int64(now + blamedTime))
	}
}

// closeWhenDone closes the link, which gets no more calls, when all outcomes have arrived.
func (l *link) closeWhenDone() {
	for periodic.Pause(l.ctx, heartbeatInterval) == nil {
		l.mu.Lock()
		done := len(l.pending) == 0
		l.mu.Unlock()
		if done {
			l.close(errNotNeeded)
		}
	}
}

// errNotNeeded is the cause if the load is too low for relays.
var errNotNeeded = errors.New("relays aren't needed")

// errNoOutcome is the cause if the relay responds, but not to a call.
var errNoOutcome = errors.New("the relay returned no outcome of the call in time")

// call passes a call to the relay and waits for what becomes of it. The relay may send the call within sendWithin, and has
// to return the outcome within timeLimit after that.
func (l *link) call(ctx context.Context, m *call, sendWithin, timeLimit time.Duration) resolved {
	p := &pendingCall{call: m, sendBy: l.router.Clock() + sendWithin, done: make(chan resolved, 1)}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return resolved{fate: fateNotSent, reason: reasonNotWritten}
	}
	l.nextID++
	m.ID = l.nextID
	l.pending[m.ID] = p
	l.queue = append(l.queue, p)
	l.mu.Unlock()
	periodic.Wake(l.wake)
	timer := time.NewTimer(sendWithin + timeLimit + silenceLimit)
	defer timer.Stop()
	select {
	case result := <-p.done:
		return result
	case <-ctx.Done():
		return l.abandon(p, ctx.Err())
	case <-timer.C:
		return l.abandon(p, errNoOutcome)
	}
}

// abandon returns what is known of a call for whose outcome the caller doesn't wait any longer.
func (l *link) abandon(p *pendingCall, cause error) resolved {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, p.call.ID)
	select {
	case result := <-p.done:
		return result
	default:
	}
	if p.written {
		return resolved{fate: fateUnknown, cause: cause}
	}
	p.sendBy = 0
	return resolved{fate: fateNotSent, reason: reasonNotWritten}
}

// writeCalls writes the queued calls in batches.
func (l *link) writeCalls() error {
	encoder := encoder{conn: l.conn}
	for writtenAt := (time.Time{}); ; {
		if err := periodic.Wait(l.ctx, idleInterval, l.wake); err != nil {
			return err
		}
		var err error
		if writtenAt, err = pauseBetweenBatches(l.ctx, writtenAt); err != nil {
			return err
		}
		batch := l.takeBatch()
		if err := encoder.write(&batch); err != nil {
			return err
		}
		l.router.counters.batch(len(batch.Calls))
	}
}

// takeBatch returns the queued calls that may still be sent.
func (l *link) takeBatch() callBatch {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.router.Clock()
	batch := callBatch{Echo: l.echo, Calls: make([]call, 0, len(l.queue))}
	for _, p := range l.queue {
		if p.call.SendWithin = p.sendBy - now; p.call.SendWithin > 0 {
			p.written = true
			batch.Calls = append(batch.Calls, *p.call)
		} else if l.pending[p.call.ID] == p {
			delete(l.pending, p.call.ID)
			p.done <- resolved{fate: fateNotSent, reason: reasonNotWritten}
		}
	}
	l.queue = nil
	l.unread = append(l.unread, writtenBatch{now, batch.Echo})
	l.unreadSince.Store(int64(l.unread[0].at))
	return batch
}

// readOutcomes reads batches until the relay breaks off or is silent.
func (l *link) readOutcomes(decoder *decoder) error {
	for {
		if err := l.readBatch(decoder); err != nil {
			return err
		}
	}
}

// errNotRead is the cause if the relay sends batches, but doesn't read those of this process: it may be cut off in one
// direction.
var errNotRead = errors.New("the relay doesn't read its calls")

// checkRead notes how many batches the relay has read, and returns an error if one has waited for too long, by the clocks
// of both processes: either may be behind with what it has received. l.mu must be held.
func (l *link) checkRead(batch *outcomeBatch) error {
	now := l.router.Clock()
	newlyRead := min(max(batch.Received-l.read, 0), int64(len(l.unread)))
	if newlyRead > 0 && now-l.unread[0].at > slowReadTime {
		l.slowReadAt.Store(int64(now))
	}
	l.unread, l.read = l.unread[newlyRead:], l.read+newlyRead
	if len(l.unread) == 0 {
		l.unreadSince.Store(0)
		return nil
	}
	oldest := l.unread[0]
	l.unreadSince.Store(int64(oldest.at))
	limit := silenceLimit
	if l.router.othersBehind(l, now) {
		limit = congestedLimit
	}
	if now-oldest.at > limit && time.Duration(batch.Stamp-oldest.echo) > limit+heartbeatInterval {
		return errNotRead
	}
	return nil
}

// isBehind reports whether batches wait longer to be read than at a relay that is well, or have done so recently.
func (l *link) isBehind(now time.Duration) bool {
	since, slowAt := time.Duration(l.unreadSince.Load()), time.Duration(l.slowReadAt.Load())
	return since > 0 && now-since > slowReadTime || slowAt > 0 && now-slowAt < congestedLimit
}

// errStopping is the cause if the relay accepts no more calls and has returned all outcomes.
var errStopping = errors.New("the relay is stopping")

// readBatch reads one batch and resolves its calls.
func (l *link) readBatch(decoder *decoder) error {
	var batch outcomeBatch
	if err := decoder.read(&batch); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.echo = batch.Stamp
	if err := l.checkRead(&batch); err != nil {
		return err
	}
	for n := range batch.Outcomes {
		result := &batch.Outcomes[n]
		p := l.pending[result.ID]
		if p == nil {
			// The caller doesn't wait any longer.
			continue
		}
		delete(l.pending, result.ID)
		if result.NotSent != "" {
			p.done <- resolved{fate: fateNotSent, reason: result.NotSent}
			continue
		}
		p.done <- resolved{outcome: *result}
	}
	if batch.Stopping {
		l.refusesCalls.Store(true)
	}
	if batch.Stopping && len(l.pending) == 0 {
		return errStopping
	}
	return nil
}
