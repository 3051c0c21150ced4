// Package logsvc is a stand-in for the platform's log service that can simulate faults.
package logsvc

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	v1 "turmericyoke/api/turmericyoke/v1"
)

// Limits of the log.
const (
	// DefaultAppendsPerSecond is the rate above which appends are refused.
	DefaultAppendsPerSecond = 300
	// MaxAppendBytes is the maximum total size of the records of one append.
	MaxAppendBytes = 16 << 20
	// maxReadRecords and maxReadBytes limit the records returned by one read.
	maxReadRecords = 4096
	maxReadBytes   = 1 << 20
	// maxWait is the maximum duration of a long poll.
	maxWait = 30 * time.Second
)

// Log is an in-memory, append-only log with several streams. It implements the client and the handler
// of LogService. The zero value isn't usable; New returns a log.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	faults  Faults
	limiter rateLimiter
	// appended is closed and replaced at each append and at each change of the faults.
	appended chan struct{}
}

// stream holds the retained records of one stream.
type stream struct {
	// oldest is the offset of the first retained record.
	oldest  int64
	records [][]byte
	// retain is the maximum number of records, or 0 for no limit.
	retain int
}

// head returns the offset of the newest record.
func (s *stream) head() int64 { return s.oldest + int64(len(s.records)) - 1 }

// New returns an empty log without faults.
func New() *Log {
	return &Log{
		streams:  map[string]*stream{},
		limiter:  rateLimiter{rate: DefaultAppendsPerSecond},
		appended: make(chan struct{}),
	}
}

// stream returns the stream, which it creates if needed. The caller holds the lock.
func (l *Log) stream(name string) *stream {
	if l.streams[name] == nil {
		l.streams[name] = &stream{oldest: 1}
	}
	return l.streams[name]
}

// Append implements LogService. The records of one append are stored together.
func (l *Log) Append(ctx context.Context, req *v1.AppendRequest) (*v1.AppendResponse, error) {
	if err := l.delayOrFail(ctx, func(f *Faults) *bool { return &f.AppendOutage }); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := checkAppend(req); err != nil {
		return nil, err
	}
	if !l.limiter.allow(time.Now()) {
		return nil, connect.NewError(connect.CodeResourceExhausted, errRateExceeded)
	}
	if consume(&l.faults.LoseRequests) {
		return nil, connect.NewError(connect.CodeUnavailable, errRequestLost)
	}
	first := l.store(req.GetStream(), req.GetRecords())
	if consume(&l.faults.LoseResponses) {
		return nil, connect.NewError(connect.CodeUnavailable, errResponseLost)
	}
	return &v1.AppendResponse{FirstOffset: first}, nil
}

func checkAppend(req *v1.AppendRequest) error {
	size := 0
	for _, record := range req.GetRecords() {
		size += len(record)
	}
	if req.GetStream() == "" || len(req.GetRecords()) == 0 || size > MaxAppendBytes {
		return connect.NewError(connect.CodeInvalidArgument, errAppendInvalid)
	}
	return nil
}

// store appends the records to the stream, wakes waiting readers, and returns the offset of the first
// record. The caller holds the lock.
func (l *Log) store(name string, records [][]byte) int64 {
	s := l.stream(name)
	first := s.head() + 1
	for _, record := range records {
		stored := append([]byte(nil), record...)
		if consume(&l.faults.TruncateRecords) {
			stored = stored[:len(stored)/2]
		}
		s.records = append(s.records, stored)
	}
	if excess := len(s.records) - s.retain; s.retain > 0 && excess > 0 {
		s.dropOldest(excess)
	}
	close(l.appended)
	l.appended = make(chan struct{})
	return first
}

func (s *stream) dropOldest(count int) {
	s.oldest += int64(count)
	s.records = append([][]byte(nil), s.records[count:]...)
}

// Read implements LogService.
func (l *Log) Read(ctx context.Context, req *v1.ReadRequest) (*v1.ReadResponse, error) {
	if err := l.delayOrFail(ctx, func(f *Faults) *bool { return &f.ReadOutage }); err != nil {
		return nil, err
	}
	wait := min(time.Duration(req.GetWaitMs())*time.Millisecond, maxWait)
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		response, appended, err := l.read(req)
		if err != nil || wait == 0 || len(response.GetRecords()) > 0 || req.GetAfterOffset() < response.GetOldestOffset()-1 {
			return response, err
		}
		select {
		case <-appended:
		case <-deadline.C:
			wait = 0
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
		}
	}
}

// read returns the retained records after the requested offset, and the channel that is closed at the
// next append or change of the faults. It returns no records if records after the offset are no longer
// retained, so that the reader notices the gap.
func (l *Log) read(req *v1.ReadRequest) (*v1.ReadResponse, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.ReadOutage || l.faults.Outage {
		return nil, nil, connect.NewError(connect.CodeUnavailable, errOutage)
	}
	s := l.stream(req.GetStream())
	response := &v1.ReadResponse{OldestOffset: s.oldest, HeadOffset: s.head()}
	skip := req.GetAfterOffset() - s.oldest + 1
	if skip < 0 || skip >= int64(len(s.records)) {
		return response, l.appended, nil
	}
	limit := min(int(req.GetMaxRecords()), maxReadRecords)
	size := 0
	for i, record := range s.records[skip:] {
		if i >= limit || (i > 0 && size+len(record) > maxReadBytes) {
			break
		}
		size += len(record)
		response.Records = append(response.Records, &v1.LogRecord{
			Offset: s.oldest + skip + int64(i), Data: record,
		})
	}
	return response, l.appended, nil
}

// Retain limits the stream to its newest count records from now on; 0 removes the limit.
func (l *Log) Retain(name string, count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.retain = count
	if excess := len(s.records) - count; count > 0 && excess > 0 {
		s.dropOldest(excess)
	}
}

// Trim removes the records of the stream up to and including offset.
func (l *Log) Trim(name string, offset int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	if count := min(offset-s.oldest+1, int64(len(s.records))); count > 0 {
		s.dropOldest(int(count))
	}
}

// Head returns the offset of the newest record of the stream.
func (l *Log) Head(name string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream(name).head()
}

// Records returns the retained records of the stream.
func (l *Log) Records(name string) [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([][]byte(nil), l.stream(name).records...)
}
