// Package infratest holds stand-ins of the infrastructure for tests.
package infratest

import (
	"context"
	"slices"
	"sync"
	"time"

	"turmericyoke/internal/infra"
)

// Log is a log in memory. The zero value is ready for use.
type Log struct {
	mu     sync.Mutex
	topics map[string]*topic
	// Down turns every call away.
	down bool
	// responsesToLose is how many more appends are done without an answer.
	responsesToLose int
}

type topic struct {
	records []infra.Record
	// epoch and sequence are those of the last numbered append, answers its last offsets by sequence.
	epoch, sequence int64
	offsets         map[int64]int64
	appended        chan struct{}
}

// SetDown turns every call away, or ends that.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// LoseResponses does the next n appends without an answer.
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
	offset, err := l.append(l.topic(name), records, options)
	if err == nil && l.responsesToLose > 0 {
		l.responsesToLose--
		return 0, logError(infra.Unknown)
	}
	return offset, err
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
			if answer, known := t.offsets[options.Sequence]; known {
				return answer, nil
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

// Group is a group in memory whose members lapse. The zero value is ready for use.
type Group struct {
	mu      sync.Mutex
	members map[infra.Member]time.Time
}

// Join implements infra.Group.
func (g *Group) Join(_ context.Context, self infra.Member, ttl time.Duration) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.members == nil {
		g.members = map[infra.Member]time.Time{}
	}
	g.members[self] = time.Now().Add(ttl)
	return nil
}

// Leave implements infra.Group.
func (g *Group) Leave(_ context.Context, self infra.Member) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.members, self)
	return nil
}

// Members implements infra.Group.
func (g *Group) Members(context.Context) ([]infra.Member, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var members []infra.Member
	for member, until := range g.members {
		if time.Now().Before(until) {
			members = append(members, member)
		}
	}
	return members, nil
}

// ExpireAll drops all members, as an outage does in which their times to live run out.
func (g *Group) ExpireAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.members)
}
