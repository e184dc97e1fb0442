package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or the change of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// image is all that the store knows, and what a copy of it contains.
type image struct {
	items    map[string]item
	history  []item
	leases   map[int64]lease
	revision int64
}

func (m image) clone() image {
	return image{items: maps.Clone(m.items), history: slices.Clone(m.history), leases: maps.Clone(m.leases), revision: m.revision}
}

// store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	mu sync.Mutex
	image
	era       int64
	lastLease int64
	changed   chan struct{}
	// away is set while the store accepts no connections.
	away  bool
	conns map[net.Conn]struct{}
	rec   *record
}

func newStore(rec *record) *store {
	return &store{image: image{items: map[string]item{}, leases: map[int64]lease{}, revision: 1000}, era: 1, lastLease: 100, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}, rec: rec}
}

// apply makes one change. The caller holds mu.
func (s *store) apply(it item) {
	s.revision++
	it.Revision = s.revision
	s.history = append(s.history, it)
	if it.Deleted {
		delete(s.items, it.Key)
	} else {
		it.Created = it.Revision
		if old, ok := s.items[it.Key]; ok {
			it.Created = old.Created
		}
		s.items[it.Key] = it
	}
	s.rec.add("store", "era %d revision %d key %s deleted %t", s.era, it.Revision, it.Key, it.Deleted)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key for the operator or a runner. It returns false while the store is away.
// Its return is the acknowledgement.
func (s *store) put(key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.apply(item{Key: key, Value: value})
	return true
}

func (s *store) remove(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	if _, ok := s.items[key]; ok {
		s.apply(item{Key: key, Deleted: true})
	}
	return true
}

func (s *store) copy() image {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rec.add("drill", "copy taken at era %d revision %d", s.era, s.revision)
	return s.image.clone()
}

// leave makes the store unreachable: connections are reset and new ones are too.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.rec.add("drill", "store away at era %d revision %d", s.era, s.revision)
	for c := range s.conns {
		reset(c)
	}
}

// comeBack makes the store reachable again. With a copy it holds what that contains, and its
// era rises by one.
func (s *store) comeBack(from *image) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from != nil {
		s.image = from.clone()
		s.era++
	}
	for id, l := range s.leases { // leases pause while the store is away
		l.end = time.Now().Add(l.ttl)
		s.leases[id] = l
	}
	s.away = false
	s.rec.add("drill", "store back at era %d revision %d", s.era, s.revision)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) run() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		if !s.away {
			now := time.Now()
			for id, l := range s.leases {
				if now.After(l.end) {
					s.endLease(id)
				}
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[key].Lease == id {
			s.apply(item{Key: key, Deleted: true})
		}
	}
}

func (s *store) serve(l net.Listener) {
	srv := &http.Server{Handler: s, ConnState: func(c net.Conn, st http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch st {
		case http.StateNew:
			if s.away {
				reset(c)
				return
			}
			s.conns[c] = struct{}{}
		case http.StateClosed, http.StateHijacked:
			delete(s.conns, c)
		}
	}}
	_ = srv.Serve(l)
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (s *store) reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond) // the time of an answer
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		panic(http.ErrAbortHandler)
	}
	switch {
	case r.URL.Path == "/kv-key":
		it, ok := s.items[q.Get("key")]
		if !ok {
			s.reply(w, 404, map[string]any{})
			return
		}
		s.reply(w, 200, it)
	case r.URL.Path == "/kv-range":
		out := []item{}
		for _, key := range slices.Sorted(maps.Keys(s.items)) {
			if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
				out = append(out, s.items[key])
			}
		}
		s.reply(w, 200, map[string]any{"items": out, "truncated": false, "as_of": s.revision})
	case r.URL.Path == "/kv-watch":
		s.watch(w, r)
	case r.URL.Path == "/kv-txn":
		s.transact(w, r)
	case r.URL.Path == "/kv-lease":
		var b struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&b) != nil || b.TTL < 1000 {
			s.reply(w, 400, map[string]any{})
			return
		}
		s.lastLease++
		ttl := time.Duration(b.TTL) * time.Millisecond
		s.leases[s.lastLease] = lease{ttl: ttl, end: time.Now().Add(ttl)}
		s.reply(w, 200, map[string]any{"lease": s.lastLease, "ttl_ms": b.TTL})
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/kv-keep/"), 10, 64)
		l, ok := s.leases[id]
		if !ok {
			s.reply(w, 404, map[string]any{})
			return
		}
		l.end = time.Now().Add(l.ttl)
		s.leases[id] = l
		s.reply(w, 200, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
	case strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/kv-lease-end/"), 10, 64)
		s.endLease(id)
		s.reply(w, 200, map[string]any{})
	default:
		s.reply(w, 404, map[string]any{})
	}
}

// watch answers with the changes after a revision as soon as there are some. The caller
// holds mu.
func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		if s.away {
			panic(http.ErrAbortHandler)
		}
		if after > s.revision || (after < s.revision && (len(s.history) == 0 || s.history[0].Revision > after+1)) {
			s.rec.add("store", "era %d revision %d: watch after %d gets 410", s.era, s.revision, after)
			s.reply(w, 410, map[string]any{})
			return
		}
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		changed := s.changed
		if len(events) > 0 {
			s.reply(w, 200, map[string]any{"events": events, "as_of": s.revision})
			return
		}
		s.mu.Unlock()
		late := false
		select {
		case <-changed:
		case <-timeout:
			late = true
		case <-r.Context().Done():
			late = true
		}
		s.mu.Lock()
		if late && !s.away {
			s.reply(w, 200, map[string]any{"events": events, "as_of": s.revision})
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Conditions []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected_rev"`
		Writes []item   `json:"writes"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		s.reply(w, 400, map[string]any{})
		return
	}
	for _, c := range b.Conditions {
		if s.items[c.Key].Revision != c.Revision {
			s.reply(w, 412, map[string]any{"items": []item{}})
			return
		}
	}
	for _, it := range b.Writes {
		if strings.HasPrefix(it.Key, "op/") || strings.HasPrefix(it.Key, "servers/") {
			s.reply(w, 403, map[string]any{})
			return
		}
		if _, ok := s.leases[it.Lease]; it.Lease != 0 && !ok {
			s.reply(w, 404, map[string]any{})
			return
		}
	}
	for _, it := range b.Writes {
		s.apply(item{Key: it.Key, Value: it.Value, Lease: it.Lease})
	}
	for _, key := range b.Remove {
		if _, ok := s.items[key]; ok {
			s.apply(item{Key: key, Deleted: true})
		}
	}
	s.reply(w, 200, map[string]any{"revision": s.revision})
}

func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// value returns the value of a key.
func (s *store) value(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	return it.Value, ok
}
