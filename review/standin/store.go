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

// Limits of the store, as in the example of DEPLOY.md.
const (
	recordBytes  = 262144
	callBytes    = 2097152
	storeParts   = 32
	appendTime   = 2 * time.Millisecond
	maxReadWait  = 30 * time.Second
	newestRows   = 500
	newestBytes  = 1 << 20
	repeatsKept  = 5
	serversTopic = "keyed.servers"
	opTopic      = "keyed.op"
)

// appended is the response to an append under a sequence number.
type appended struct {
	sequence, offset, end int64
}

// producer is the state of one producer of a partition.
type producer struct {
	epoch, sequence int64
	begun           bool
	last            []appended
}

// topic is a topic with one partition.
type topic struct {
	records   [][]byte
	newest    map[string]int
	producers map[string]*producer
	// changed is closed and replaced at each append.
	changed chan struct{}
}

type groupMember struct {
	topics   []string
	ttl      time.Duration
	joinedAt time.Time
}

// store is the platform's metadata store.
type store struct {
	record *recorder

	mu         sync.Mutex
	topics     map[string]*topic
	groups     map[string]map[string]*groupMember
	generation int64
	// refused counts the appends that were refused because a record or a call is too long.
	refused int
}

func newStore(record *recorder) *store {
	return &store{record: record, topics: map[string]*topic{}, groups: map[string]map[string]*groupMember{}}
}

// topicOf returns the topic, which is created on first use. s.mu must be held.
func (s *store) topicOf(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{newest: map[string]int{}, producers: map[string]*producer{}, changed: make(chan struct{})}
	}
	return s.topics[name]
}

// put appends one keyed record on behalf of the operator or a minion.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topicOf(name).add(append(append([]byte{byte(len(key))}, key...), value...))
}

// add appends a record.
func (t *topic) add(record []byte) {
	if len(record) > 0 && int(record[0]) < len(record) {
		key := string(record[1 : 1+record[0]])
		if len(record) == 1+len(key) {
			delete(t.newest, key)
		} else {
			t.newest[key] = len(t.records)
		}
	}
	t.records = append(t.records, record)
	close(t.changed)
	t.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST /log-append":
		s.append(w, r)
	case "GET /log-read":
		s.read(w, r)
	case "GET /log-newest":
		s.listNewest(w, r)
	case "POST /log-join", "POST /log-leave":
		s.join(w, r)
	case "GET /log-owners":
		s.owners(w, r)
	case "POST /log-commit", "POST /log-trim":
		reply(w, http.StatusOK, struct{}{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// splitRecords splits the body of an append. It returns false if a record or the whole call is too long.
func splitRecords(body []byte) ([][]byte, bool) {
	var records [][]byte
	total := 0
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if total += size; size > recordBytes || size > len(body)-4 {
			return nil, false
		}
		records = append(records, body[4:4+size])
		body = body[4+size:]
	}
	return records, total <= callBytes && len(body) == 0
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	query := r.URL.Query()
	name := query.Get("topic")
	if name == opTopic || name == serversTopic {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topicOf(name)
	end := int64(len(t.records))
	sequence, _ := strconv.ParseInt(query.Get("sequence"), 10, 64)
	var p *producer
	if id := query.Get("producer"); id != "" {
		epoch, _ := strconv.ParseInt(query.Get("epoch"), 10, 64)
		if p = t.producers[id]; p == nil {
			p = &producer{epoch: epoch}
			t.producers[id] = p
		}
		if epoch < p.epoch {
			reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if epoch > p.epoch {
			*p = producer{epoch: epoch}
		}
		for _, known := range p.last {
			if known.sequence == sequence {
				reply(w, http.StatusOK, map[string]any{"offset": known.offset, "endOffset": known.end})
				return
			}
		}
		if p.begun && sequence != p.sequence+1 {
			reply(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.sequence + 1})
			return
		}
	}
	records, ok := splitRecords(body)
	if !ok {
		s.refused++
		if s.refused <= 5 || s.refused%50 == 0 {
			s.record.line("store refuses append %d of %d bytes to %s: a record has more than recordBytes (%d), or the call more than callBytes", s.refused, len(body), name, recordBytes)
		}
		reply(w, http.StatusBadRequest, map[string]any{"error": "a record is longer than recordBytes"})
		return
	}
	if at := query.Get("at"); at != "" && at != strconv.FormatInt(end, 10) {
		reply(w, http.StatusPreconditionFailed, map[string]any{"endOffset": end})
		return
	}
	for _, record := range records {
		t.add(append([]byte(nil), record...))
	}
	response := appended{sequence: sequence, offset: end, end: int64(len(t.records))}
	if p != nil && len(body) > 0 {
		p.begun, p.sequence = true, sequence
		if p.last = append(p.last, response); len(p.last) > repeatsKept {
			p.last = p.last[1:]
		}
	}
	reply(w, http.StatusOK, map[string]any{"offset": response.offset, "endOffset": response.end})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	waitMs, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	maxKb, err := strconv.Atoi(query.Get("maxKb"))
	if err != nil {
		maxKb = 1024
	}
	timer := time.NewTimer(min(time.Duration(waitMs)*time.Millisecond, maxReadWait))
	defer timer.Stop()
	for waiting := waitMs > 0; ; {
		s.mu.Lock()
		t := s.topicOf(query.Get("topic"))
		changed := t.changed
		if from < len(t.records) || !waiting {
			body := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
			body = binary.BigEndian.AppendUint64(body, 0)
			for n := from; n < len(t.records) && len(body) < maxKb*1024; n++ {
				body = append(binary.BigEndian.AppendUint32(body, uint32(len(t.records[n]))), t.records[n]...)
			}
			s.mu.Unlock()
			_, _ = w.Write(body)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) listNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topicOf(r.URL.Query().Get("topic"))
	after := r.URL.Query().Get("dependsOn")
	var keys []string
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size := []map[string]any{}, 0
	for _, key := range keys {
		if len(items) == newestRows || size > newestBytes {
			break
		}
		value := t.records[t.newest[key]][1+len(key):]
		size += len(value)
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": t.newest[key]})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": len(items) < len(keys), "endOffset": len(t.records)})
}

type joinBody struct {
	Group  string   `json:"group"`
	Member string   `json:"member"`
	Topics []string `json:"topics"`
	TTLMs  int64    `json:"ttlMs"`
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var body joinBody
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.groups[body.Group] == nil {
		s.groups[body.Group] = map[string]*groupMember{}
	}
	members := s.groups[body.Group]
	s.expire(members)
	if strings.HasSuffix(r.URL.Path, "leave") {
		delete(members, body.Member)
		s.generation++
		reply(w, http.StatusOK, struct{}{})
		return
	}
	if members[body.Member] == nil {
		s.generation++
	}
	members[body.Member] = &groupMember{topics: body.Topics, ttl: time.Duration(body.TTLMs) * time.Millisecond, joinedAt: time.Now()}
	reply(w, http.StatusOK, map[string]any{"generation": s.generation, "parts": [][]any{}})
}

// expire removes the members that have sent nothing for their TTL. s.mu must be held.
func (s *store) expire(members map[string]*groupMember) {
	for name, member := range members {
		if time.Since(member.joinedAt) > member.ttl {
			delete(members, name)
			s.generation++
		}
	}
}

// owners lists the partitions of the group's topics, which are distributed evenly.
func (s *store) owners(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	members := s.groups[r.URL.Query().Get("group")]
	s.expire(members)
	byTopic := map[string][]string{}
	for name, member := range members {
		for _, topic := range member.topics {
			byTopic[topic] = append(byTopic[topic], name)
		}
	}
	rows := [][]any{}
	for topic, names := range byTopic {
		sort.Strings(names)
		for part := range storeParts {
			rows = append(rows, []any{topic, part, names[part%len(names)], 0})
		}
	}
	reply(w, http.StatusOK, map[string]any{"owners": rows})
}
