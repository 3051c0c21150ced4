// Package infratest implements interfaces of package infra in memory, for tests.
package infratest

import (
	"context"
	"slices"
	"sync"
	"time"

	"turmericyoke/internal/infra"
)

// Log implements infra.Log in memory. The zero value is ready for use.
type Log struct {
	// MaxRecordBytes and MaxCallBytes limit the size of a record and of an append, which fail with infra.Invalid beyond
	// that; 0 means no limit.
	MaxRecordBytes, MaxCallBytes int

	mu     sync.Mutex
	topics map[string]*topic
	// down makes every call fail with infra.Refused.
	down bool
	// responsesToLose is the number of next appends that take effect but fail with infra.Unknown.
	responsesToLose int
}

type topic struct {
	records []infra.Record
	// epoch and sequence belong to the last append with a writer. offsets holds the offsets of that epoch's
	// appends by sequence number, so that a repeated append returns the same offset.
	epoch, sequence int64
	offsets         map[int64]int64
	// appended is closed, and replaced, at each append.
	appended chan struct{}
}

// SetDown sets whether every call fails with infra.Refused.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// LoseResponses makes the next n successful appends fail with infra.Unknown although they take effect.
func (l *Log) LoseResponses(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responsesToLose = n
}

func (l *Log) topic(name string) *topic {
	if l.topics == nil {
		l.topics = map[string]*topic{}
	}
	if l.topics[name] == nil {
		l.topics[name] = &topic{offsets: map[int64]int64{}, appended: make(chan struct{})}
	}
	return l.topics[name]
}

func logError(kind infra.ErrorKind) error { return &infra.Error{Kind: kind, Op: "log"} }

// LatestByKey implements infra.Log.
func (l *Log) LatestByKey(_ context.Context, name string) ([]infra.Record, int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, 0, logError(infra.Refused)
	}
	t := l.topic(name)
	newest := map[string]infra.Record{}
	for _, record := range t.records {
		newest[record.Key] = record
	}
	var records []infra.Record
	for _, record := range newest {
		if record.Value != nil {
			records = append(records, record)
		}
	}
	return records, int64(len(t.records)), nil
}

// Read implements infra.Log.
func (l *Log) Read(ctx context.Context, name string, from int64, wait time.Duration) (infra.Page, error) {
	l.mu.Lock()
	t, down := l.topic(name), l.down
	empty, grown := from >= int64(len(t.records)), t.appended
	l.mu.Unlock()
	if down {
		return infra.Page{}, logError(infra.Refused)
	}
	if empty && wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-grown:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	end := int64(len(t.records))
	return infra.Page{Records: slices.Clone(t.records[min(from, end):]), Next: max(from, end), End: end}, nil
}

// Append implements infra.Log.
func (l *Log) Append(_ context.Context, name string, records []infra.Record, options infra.AppendOptions) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, logError(infra.Refused)
	}
	if l.exceedsLimits(records) {
		return 0, logError(infra.Invalid)
	}
	offset, err := l.append(l.topic(name), records, options)
	if err == nil && l.responsesToLose > 0 {
		l.responsesToLose--
		return 0, logError(infra.Unknown)
	}
	return offset, err
}

func (l *Log) exceedsLimits(records []infra.Record) bool {
	total := 0
	for n := range records {
		size := records[n].Size()
		if l.MaxRecordBytes > 0 && size > l.MaxRecordBytes {
			return true
		}
		total += size
	}
	return l.MaxCallBytes > 0 && total > l.MaxCallBytes
}

func (l *Log) append(t *topic, records []infra.Record, options infra.AppendOptions) (int64, error) {
	end := int64(len(t.records))
	if options.ExpectedEnd != nil && *options.ExpectedEnd != end {
		return 0, logError(infra.Conflict)
	}
	if options.Writer != "" {
		switch {
		case options.Epoch < t.epoch:
			return 0, logError(infra.Fenced)
		case options.Epoch > t.epoch:
			clear(t.offsets)
		case options.Sequence <= t.sequence:
			if offset, known := t.offsets[options.Sequence]; known {
				return offset, nil
			}
			return 0, logError(infra.OutOfSequence)
		case options.Sequence != t.sequence+1:
			return 0, logError(infra.OutOfSequence)
		}
		t.epoch, t.sequence = options.Epoch, options.Sequence
		t.offsets[options.Sequence] = end
	}
	for i, record := range records {
		record.Offset = end + int64(i)
		t.records = append(t.records, record)
	}
	close(t.appended)
	t.appended = make(chan struct{})
	return end, nil
}

// Group implements infra.Group in memory. The zero value is ready for use.
type Group struct {
	// ListLimit is the number of members of each processor power that Members returns besides the leaders, those
	// that joined first; 0 means all.
	ListLimit int

	mu sync.Mutex
	// down makes every call fail after groupCallLimit.
	down bool
	// memberships are in the order of their first joins.
	memberships []*membership
}

// membership is a member of a Group until it expires.
type membership struct {
	member  infra.Member
	leads   bool
	expires time.Time
}

// groupCallLimit is the time limit of calls to a Group that is down.
const groupCallLimit = 1200 * time.Millisecond

// SetDown sets whether every call fails with infra.Unknown after a time limit.
func (g *Group) SetDown(down bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.down = down
}

// fail returns the error of a call while the group is down.
func (g *Group) fail() error {
	g.mu.Lock()
	down := g.down
	g.mu.Unlock()
	if !down {
		return nil
	}
	time.Sleep(groupCallLimit)
	return &infra.Error{Kind: infra.Unknown, Op: "group"}
}

// Join implements infra.Group.
func (g *Group) Join(_ context.Context, self infra.Member, leads bool, ttl time.Duration) error {
	if err := g.fail(); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.remove(func(m *membership) bool { return !time.Now().Before(m.expires) })
	for _, m := range g.memberships {
		if m.member == self {
			m.leads, m.expires = leads, time.Now().Add(ttl)
			return nil
		}
	}
	g.memberships = append(g.memberships, &membership{member: self, leads: leads, expires: time.Now().Add(ttl)})
	return nil
}

func (g *Group) remove(match func(*membership) bool) {
	g.memberships = slices.DeleteFunc(g.memberships, match)
}

// Leave implements infra.Group.
func (g *Group) Leave(_ context.Context, self infra.Member) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.remove(func(m *membership) bool { return m.member == self })
	return nil
}

// Members implements infra.Group.
func (g *Group) Members(context.Context) ([]infra.Member, error) {
	if err := g.fail(); err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var members []infra.Member
	listed := map[int64]int{}
	for _, m := range g.memberships {
		if !time.Now().Before(m.expires) {
			continue
		}
		power := m.member.CPUMilli
		if !m.leads && g.ListLimit > 0 && listed[power] >= g.ListLimit {
			continue
		}
		listed[power]++
		members = append(members, m.member)
	}
	return members, nil
}

// ExpireAll removes all members, like an outage that outlasts their time to live.
func (g *Group) ExpireAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.memberships = nil
}
