package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Figures of the store, as in the settings of the processes.
const (
	storeParts   = 32
	newestPage   = 500
	maxReadWait  = 30 * time.Second
	keptReplies  = 5
	lengthBytes  = 4
	longestKey   = 255
	serversTopic = "keyed.servers"
	operatorTop  = "keyed.op"
)

// record is a record of a partition.
type record struct {
	key   string
	value []byte
	raw   []byte
}

// producer is what a partition keeps of a producer.
type producer struct {
	epoch, next int64
	known       bool
	replies     map[int64]appended
}

// appended is the response to an append.
type appended struct {
	Offset    int64 `json:"offset"`
	EndOffset int64 `json:"endOffset"`
}

// partition is partition 0 of a topic; the system uses no others for records.
type partition struct {
	records   []record
	producers map[string]*producer
}

// member is a member of a group.
type member struct {
	topics []string
	until  time.Time
}

// store stands in for the platform's metadata store.
type store struct {
	mu         sync.Mutex
	partitions map[string]*partition
	changed    chan struct{}
	members    map[string]map[string]*member
	generation map[string]int64
}

func newStore() *store {
	return &store{partitions: map[string]*partition{}, changed: make(chan struct{}), members: map[string]map[string]*member{}, generation: map[string]int64{}}
}

// partition returns the partition of a topic, which is created on first use. s.mu must be held.
func (s *store) partition(topic string) *partition {
	p := s.partitions[topic]
	if p == nil {
		p = &partition{producers: map[string]*producer{}}
		s.partitions[topic] = p
	}
	return p
}

// put appends a record on behalf of the operator or a worker. A nil value drops the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw := append([]byte{byte(len(key))}, key...)
	s.add(s.partition(topic), [][]byte{append(raw, value...)})
}

// add appends raw records. s.mu must be held.
func (s *store) add(p *partition, raws [][]byte) {
	for _, raw := range raws {
		r := record{raw: raw}
		if n := int(raw[0]); len(raw) > n {
			r.key = string(raw[1 : 1+n])
			if len(raw) > 1+n {
				r.value = raw[1+n:]
			}
		}
		p.records = append(p.records, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch r.URL.Path {
	case "/log-append":
		s.append(w, r, body)
	case "/log-read":
		s.read(w, r)
	case "/log-newest":
		s.newest(w, r)
	case "/log-join":
		s.join(w, body)
	case "/log-leave":
		s.leave(w, body)
	case "/log-owners":
		s.owners(w, r)
	case "/log-commit", "/log-trim":
		reply(w, http.StatusOK, struct{}{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that is gone gets no response.
	_ = json.NewEncoder(w).Encode(body)
}

func number(r *http.Request, name string) (int64, bool) {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n, err == nil
}

// splitRecords returns the raw records of the body of an append.
func splitRecords(body []byte) ([][]byte, bool) {
	var raws [][]byte
	for len(body) > 0 {
		if len(body) < lengthBytes {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || size > len(body)-lengthBytes {
			return nil, false
		}
		raws, body = append(raws, body[lengthBytes:lengthBytes+size]), body[lengthBytes+size:]
	}
	return raws, true
}

func (s *store) append(w http.ResponseWriter, r *http.Request, body []byte) {
	raws, ok := splitRecords(body)
	topic := r.URL.Query().Get("topic")
	if !ok || topic == operatorTop || topic == serversTopic {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic)
	end := int64(len(p.records))
	if at, given := number(r, "at"); given && at != end {
		reply(w, http.StatusPreconditionFailed, map[string]any{"endOffset": end})
		return
	}
	result := appended{Offset: end, EndOffset: end + int64(len(raws))}
	if name := r.URL.Query().Get("producer"); name != "" {
		epoch, _ := number(r, "epoch")
		sequence, _ := number(r, "sequence")
		from := p.producers[name]
		switch {
		case from != nil && epoch < from.epoch:
			reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case from == nil || epoch > from.epoch:
			from = &producer{epoch: epoch, replies: map[int64]appended{}}
			p.producers[name] = from
		}
		if earlier, repeated := from.replies[sequence]; repeated {
			reply(w, http.StatusOK, earlier)
			return
		}
		if from.known && sequence != from.next {
			reply(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": from.next})
			return
		}
		if len(raws) > 0 {
			from.known, from.next, from.replies[sequence] = true, sequence+1, result
			delete(from.replies, sequence-keptReplies)
		}
	}
	s.add(p, raws)
	reply(w, http.StatusOK, result)
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	from, _ := number(r, "from")
	waitMs, _ := number(r, "waitMs")
	deadline := time.After(min(time.Duration(waitMs)*time.Millisecond, maxReadWait))
	for {
		s.mu.Lock()
		p, changed := s.partition(r.URL.Query().Get("topic")), s.changed
		if end := int64(len(p.records)); from < end {
			page := binary.BigEndian.AppendUint64(nil, uint64(end))
			page = binary.BigEndian.AppendUint64(page, 0)
			for _, record := range p.records[from:min(end, from+newestPage)] {
				page = append(binary.BigEndian.AppendUint32(page, uint32(len(record.raw))), record.raw...)
			}
			s.mu.Unlock()
			_, _ = w.Write(page) // A caller that is gone gets no response.
			return
		}
		end := uint64(len(p.records))
		s.mu.Unlock()
		select {
		case <-changed:
			continue
		case <-r.Context().Done():
			return
		case <-deadline:
		}
		_, _ = w.Write(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, end), 0))
		return
	}
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(r.URL.Query().Get("topic"))
	latest := map[string]int64{}
	for offset, record := range p.records {
		if record.value == nil {
			delete(latest, record.key)
			continue
		}
		latest[record.key] = int64(offset)
	}
	after := r.URL.Query().Get("dependsOn")
	var keys []string
	for key := range latest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > newestPage
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), newestPage)] {
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(p.records[latest[key]].value), "offset": latest[key]})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "endOffset": len(p.records)})
}

type joinBody struct {
	Group  string   `json:"group"`
	Member string   `json:"member"`
	Topics []string `json:"topics"`
	TTLMs  int64    `json:"ttlMs"`
}

// expire drops the members of a group whose time is over. s.mu must be held.
func (s *store) expire(group string) {
	for name, m := range s.members[group] {
		if time.Now().After(m.until) {
			delete(s.members[group], name)
			s.generation[group]++
		}
	}
}

func (s *store) join(w http.ResponseWriter, body []byte) {
	var b joinBody
	if json.Unmarshal(body, &b) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.members[b.Group] == nil {
		s.members[b.Group] = map[string]*member{}
	}
	s.expire(b.Group)
	known := s.members[b.Group][b.Member]
	if known == nil || fmt.Sprint(known.topics) != fmt.Sprint(b.Topics) {
		s.generation[b.Group]++
	}
	s.members[b.Group][b.Member] = &member{topics: b.Topics, until: time.Now().Add(time.Duration(b.TTLMs) * time.Millisecond)}
	rows := [][]any{}
	for _, row := range s.rows(b.Group) {
		if row[2] == b.Member {
			rows = append(rows, []any{row[0], row[1], row[3]})
		}
	}
	reply(w, http.StatusOK, map[string]any{"generation": s.generation[b.Group], "ttlMs": b.TTLMs, "parts": rows})
}

func (s *store) leave(w http.ResponseWriter, body []byte) {
	var b joinBody
	if json.Unmarshal(body, &b) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.members[b.Group], b.Member)
	s.generation[b.Group]++
	reply(w, http.StatusOK, struct{}{})
}

// rows returns the partitions of a group's topics with their members. s.mu must be held.
func (s *store) rows(group string) [][]any {
	byTopic := map[string][]string{}
	for name, m := range s.members[group] {
		for _, topic := range m.topics {
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
	return rows
}

func (s *store) owners(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	group := r.URL.Query().Get("group")
	s.expire(group)
	reply(w, http.StatusOK, map[string]any{"owners": s.rows(group)})
}
