package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store as PROTOCOL.md describes it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the platform's metadata store: linearizable, with watches, leases and
// a history of historyLife.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	leases   map[int64]*lease
	revision int64
	nextID   int64
	history  []pastChange
	// compacted is the revision up to which the history was dropped.
	compacted int64
	changed   chan struct{}
	address   string
}

type pastChange struct {
	item item
	at   time.Time
}

const historyLife = 20 * time.Second

func newStore() (*store, error) {
	s := &store{items: map[string]item{}, leases: map[int64]*lease{}, revision: 1, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	mux.HandleFunc("POST /kv-txn", s.serveTxn)
	mux.HandleFunc("POST /kv-lease", s.serveGrant)
	mux.HandleFunc("POST /kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.serveEnd)
	go func() { _ = http.Serve(l, mux) }()
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s, nil
}

// record adds a change. The caller holds mu.
func (s *store) record(i item) {
	now := time.Now()
	s.history = append(s.history, pastChange{i, now})
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyLife {
		s.compacted = s.history[0].item.Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key. The caller holds mu and has raised the revision.
func (s *store) put(key string, value []byte, lease int64) {
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.record(i)
}

// remove deletes a key. The caller holds mu and has raised the revision.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.record(item{Key: key, Revision: s.revision, Deleted: true})
	}
}

// Put writes a key as the operator or a runner.
func (s *store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, data, 0)
}

// Remove deletes a key as the operator or a runner.
func (s *store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
}

// Has counts the keys under a prefix.
func (s *store) Has(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			n++
		}
	}
	return n
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.end(id)
		}
	}
}

// end ends a lease and removes its keys. The caller holds mu.
func (s *store) end(id int64) {
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.remove(k)
		}
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		answer(w, 404, map[string]any{})
		return
	}
	answer(w, 200, i)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	out := []item{}
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			out = append(out, i)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	size, truncated := 0, false
	for n := range out {
		if size += len(out[n].Value); n > 0 && (n >= 500 || size > 1<<20) {
			out, truncated = out[:n], true
			break
		}
	}
	answer(w, 200, map[string]any{"items": out, "truncated": truncated, "as_of": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		gone := after < s.compacted
		for _, p := range s.history {
			if p.item.Revision > after && strings.HasPrefix(p.item.Key, q.Get("prefix")) {
				events = append(events, p.item)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if gone {
			answer(w, 410, map[string]any{})
			return
		}
		if len(events) > 0 {
			answer(w, 200, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			answer(w, 200, map[string]any{"events": events, "as_of": asOf})
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected_rev"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		answer(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range in.Expected {
		if s.items[e.Key].Revision != e.Revision {
			current := []item{}
			for _, x := range in.Expected {
				if i, ok := s.items[x.Key]; ok {
					current = append(current, i)
				}
			}
			answer(w, 412, map[string]any{"items": current})
			return
		}
	}
	for _, x := range in.Writes {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			answer(w, 403, map[string]any{})
			return
		}
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			answer(w, 404, map[string]any{})
			return
		}
	}
	s.revision++
	for _, x := range in.Writes {
		s.put(x.Key, x.Value, x.Lease)
	}
	for _, k := range in.Remove {
		s.remove(k)
	}
	answer(w, 200, map[string]any{"revision": s.revision})
}

func (s *store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		answer(w, 400, map[string]any{})
		return
	}
	in.TTL = max(in.TTL, 1000)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	ttl := time.Duration(in.TTL) * time.Millisecond
	s.leases[s.nextID] = &lease{ttl, time.Now().Add(ttl)}
	answer(w, 200, map[string]any{"lease": s.nextID, "ttl_ms": in.TTL})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		answer(w, 404, map[string]any{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	answer(w, 200, map[string]any{"lease": id, "ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) serveEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		answer(w, 404, map[string]any{})
		return
	}
	s.end(id)
	answer(w, 200, map[string]any{})
}
