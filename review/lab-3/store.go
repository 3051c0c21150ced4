package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// record is a record of a keyed topic. A nil value drops the key.
type record struct {
	key    string
	value  []byte
	offset int64
}

// topic is a keyed topic of the store with one partition.
type topic struct {
	records []record
	epoch   int64
	// offsets holds the offsets of the appends of the epoch by sequence number, and sequence is the last one.
	offsets  map[int64]int64
	sequence int64
	grown    chan struct{}
}

// member is a member of the group of entry processes.
type member struct {
	topics  []string
	expires time.Time
}

// repeatable is the number of last appends whose repetition receives its first response again.
const repeatable = 5

// Figures of the store: appendMs and partMbS.
const (
	appendTime      = 2 * time.Millisecond
	appendBytesPerS = 20e6
)

// newestRows is the number of records on a page of newest records.
const newestRows = 500

// store stands in for the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	mu         sync.Mutex
	topics     map[string]*topic
	members    map[string]member
	generation int64
	// busy is set while the store is down, and answers 503.
	busy bool
	// onAppend is called with each append that took effect; nil if nothing follows them.
	onAppend func(topic string, records []record)
}

func newStore() *store {
	return &store{topics: map[string]*topic{}, members: map[string]member{}}
}

// topic returns the topic with the name. s.mu must be held.
func (s *store) topic(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{offsets: map[int64]int64{}, sequence: -1, grown: make(chan struct{})}
	}
	return s.topics[name]
}

// add appends records. s.mu must be held.
func (s *store) add(name string, records []record) int64 {
	t := s.topic(name)
	first := int64(len(t.records))
	for n := range records {
		records[n].offset = first + int64(n)
	}
	t.records = append(t.records, records...)
	close(t.grown)
	t.grown = make(chan struct{})
	return first
}

// put appends one record of the operator, a minion or another writer.
func (s *store) put(name, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // The values are constant.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(name, []record{{key: key, value: text}})
}

// drop removes a record of a minion.
func (s *store) drop(name, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(name, []record{{key: key}})
}

// newest returns the newest record of each key, sorted by key. s.mu must be held.
func (t *topic) newest() []record {
	byKey := map[string]record{}
	for _, r := range t.records {
		byKey[r.key] = r
	}
	var records []record
	for _, r := range byKey {
		if r.value != nil {
			records = append(records, r)
		}
	}
	sort.Slice(records, func(a, b int) bool { return records[a].key < records[b].key })
	return records
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // A caller that has left needs no answer.
}

// queryNumber returns a number of the query; 0 if there is none.
func queryNumber(r *http.Request, name string) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// ServeHTTP answers the calls of entry processes.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isBusy() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/log-append":
		s.append(w, r)
	case "/log-read":
		s.read(w, r)
	case "/log-newest":
		s.listNewest(w, r)
	case "/log-join", "/log-leave":
		s.join(w, r)
	case "/log-owners":
		s.listOwners(w)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) isBusy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy
}

// setBusy sets whether the store is down.
func (s *store) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
}

// decodeRecords decodes the records of an append.
func decodeRecords(body []byte) ([]record, bool) {
	var records []record
	for len(body) > 0 {
		if len(body) < 5 || int(binary.BigEndian.Uint32(body)) > len(body)-4 {
			return nil, false
		}
		data := body[4 : 4+binary.BigEndian.Uint32(body)]
		body = body[4+len(data):]
		keyEnd := 1 + int(data[0])
		if keyEnd > len(data) {
			return nil, false
		}
		added := record{key: string(data[1:keyEnd])}
		if keyEnd < len(data) {
			added.value = append([]byte(nil), data[keyEnd:]...)
		}
		records = append(records, added)
	}
	return records, true
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	records, ok := decodeRecords(body)
	if err != nil || !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(appendTime + time.Duration(len(body))*time.Second/appendBytesPerS)
	name := r.URL.Query().Get("topic")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t := s.topic(name)
	end := int64(len(t.records))
	if r.URL.Query().Has("at") && queryNumber(r, "at") != end {
		reply(w, http.StatusPreconditionFailed, map[string]any{"endOffset": end})
		return
	}
	if r.URL.Query().Has("producer") {
		epoch, sequence := queryNumber(r, "epoch"), queryNumber(r, "sequence")
		first, known := t.offsets[sequence]
		switch {
		case epoch < t.epoch:
			reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case epoch > t.epoch:
			t.epoch, t.offsets = epoch, map[int64]int64{}
		case known && sequence > t.sequence-repeatable:
			reply(w, http.StatusOK, map[string]any{"offset": first, "endOffset": end})
			return
		case sequence != t.sequence+1:
			reply(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": t.sequence + 1})
			return
		}
		t.sequence, t.offsets[sequence] = sequence, end
	}
	offset := s.add(name, records)
	if s.onAppend != nil {
		s.onAppend(name, records)
	}
	reply(w, http.StatusOK, map[string]any{"offset": offset, "endOffset": offset + int64(len(records))})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	name, from := r.URL.Query().Get("topic"), queryNumber(r, "from")
	s.mu.Lock()
	t := s.topic(name)
	grown, empty := t.grown, from >= int64(len(t.records))
	s.mu.Unlock()
	if wait := time.Duration(queryNumber(r, "waitMs")) * time.Millisecond; empty && wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-grown:
		case <-timer.C:
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	body := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for _, added := range t.records[min(from, int64(len(t.records))):] {
		if int64(len(body)) > queryNumber(r, "maxKb")<<10 {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(added.key)+len(added.value)))
		body = append(append(append(body, byte(len(added.key))), added.key...), added.value...)
	}
	_, _ = w.Write(body) // A caller that has left needs no answer.
}

func (s *store) listNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	after := r.URL.Query().Get("dependsOn")
	items, more := []map[string]any{}, false
	for _, added := range t.newest() {
		if r.URL.Query().Has("dependsOn") && added.key <= after {
			continue
		}
		if len(items) == newestRows {
			more = true
			break
		}
		items = append(items, map[string]any{"key": added.key, "value": base64.StdEncoding.EncodeToString(added.value), "offset": added.offset})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "endOffset": len(t.records)})
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Member string   `json:"member"`
		Topics []string `json:"topics"`
		TTLMs  int64    `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known, exists := s.members[body.Member]
	if leaves := r.URL.Path == "/log-leave"; leaves {
		delete(s.members, body.Member)
		s.generation++
	} else {
		if !exists || strings.Join(known.topics, ",") != strings.Join(body.Topics, ",") {
			s.generation++
		}
		s.members[body.Member] = member{body.Topics, time.Now().Add(time.Duration(body.TTLMs) * time.Millisecond)}
	}
	reply(w, http.StatusOK, map[string]any{"generation": s.generation, "parts": [][]any{}})
}

// listOwners lists the members of the group, each with one partition of its topics.
func (s *store) listOwners(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows, part := [][]any{}, 0
	for name, m := range s.members {
		if time.Now().After(m.expires) {
			delete(s.members, name)
			s.generation++
			continue
		}
		for _, t := range m.topics {
			rows = append(rows, []any{t, part, name, 0})
			part++
		}
	}
	reply(w, http.StatusOK, map[string]any{"owners": rows})
}
