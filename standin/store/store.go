// Package store is the state of the platform's key-value service: keys with
// revisions, compare-and-swap, leases and a bounded history for watches.
package store

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/platformapi"
)

const (
	// historyLimit is how many changes are kept for watches.
	historyLimit = 4096
	// expiryPeriod is how often ended leases are looked for.
	expiryPeriod = 20 * time.Millisecond
)

// Store is the state. Its methods may be called at the same time.
type Store struct {
	clock clock.Clock

	mu      sync.Mutex
	entries map[string]platformapi.Entry
	leases  map[uint64]*lease
	// revision is that of the last change; it starts at 1, so that no
	// revision of an entry is zero.
	revision uint64
	// lastLease is the number of the last granted lease.
	lastLease uint64
	// history has the last changes in the order of their revisions, and
	// forgotten is the revision of the last change that it lacks.
	history   []platformapi.Event
	forgotten uint64
	// changed is closed by the next change.
	changed chan struct{}
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// New returns an empty store.
func New(clk clock.Clock) *Store {
	return &Store{
		clock:    clk,
		entries:  map[string]platformapi.Entry{},
		leases:   map[uint64]*lease{},
		revision: 1,
		changed:  make(chan struct{}),
	}
}

// Get returns the entry of a key.
func (s *Store) Get(key string) platformapi.GetResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return platformapi.GetResponse{Entry: s.entry(key), Revision: s.revision}
}

// entry returns a copy of the entry of key, or nil.
func (s *Store) entry(key string) *platformapi.Entry {
	e, ok := s.entries[key]
	if !ok {
		return nil
	}
	return &e
}

// List returns the entries under a prefix in the order of their keys.
func (s *Store) List(prefix string) platformapi.ListResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	res := platformapi.ListResponse{Entries: []platformapi.Entry{}, Revision: s.revision}
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) {
			res.Entries = append(res.Entries, e)
		}
	}
	sort.Slice(res.Entries, func(i, j int) bool { return res.Entries[i].Key < res.Entries[j].Key })
	return res
}

// Verdict tells what became of a write.
type Verdict int

// The verdicts on a write.
const (
	// Written is a write that took effect.
	Written Verdict = iota
	// Differs is a failed comparison.
	Differs
	// LeaseEnded is a write under a lease that has ended.
	LeaseEnded
)

// Put writes a key. When it does not, the response has the entry that stands
// there.
func (s *Store) Put(req platformapi.PutRequest) (platformapi.WriteResponse, Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if _, ok := s.leases[req.Lease]; !ok && req.Lease != 0 {
		return s.standing(req.Key), LeaseEnded
	}
	if !s.matches(req.Key, req.IfRevision) {
		return s.standing(req.Key), Differs
	}
	s.revision++
	e := platformapi.Entry{Key: req.Key, Value: req.Value, Revision: s.revision, Lease: req.Lease}
	s.entries[req.Key] = e
	s.record(platformapi.Event{Entry: e})
	return platformapi.WriteResponse{Revision: s.revision}, Written
}

// Delete removes a key, as Put writes it.
func (s *Store) Delete(req platformapi.DeleteRequest) (platformapi.WriteResponse, Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if !s.matches(req.Key, req.IfRevision) {
		return s.standing(req.Key), Differs
	}
	s.remove(req.Key)
	return platformapi.WriteResponse{Revision: s.revision}, Written
}

// standing is the answer to a write that did not take effect.
func (s *Store) standing(key string) platformapi.WriteResponse {
	return platformapi.WriteResponse{Revision: s.revision, Current: s.entry(key)}
}

// matches reports whether key has the wanted revision.
func (s *Store) matches(key string, want *uint64) bool {
	return want == nil || s.entries[key].Revision == *want
}

func (s *Store) remove(key string) {
	e, ok := s.entries[key]
	if !ok {
		return
	}
	s.revision++
	delete(s.entries, key)
	s.record(platformapi.Event{
		Entry:   platformapi.Entry{Key: key, Revision: s.revision, Lease: e.Lease},
		Deleted: true,
	})
}

// record adds a change to the history and wakes the watches.
func (s *Store) record(e platformapi.Event) {
	s.history = append(s.history, e)
	if len(s.history) > historyLimit {
		s.forgotten = s.history[0].Entry.Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Watch waits for changes under a prefix, at most as long as the request says.
func (s *Store) Watch(ctx context.Context, req platformapi.WatchRequest) platformapi.WatchResponse {
	timeout := s.clock.After(time.Duration(req.WaitMillis) * time.Millisecond)
	for {
		res, changed := s.since(req)
		if len(res.Events) > 0 || res.HistoryLost {
			return res
		}
		select {
		case <-changed:
		case <-timeout:
			return res
		case <-ctx.Done():
			return res
		}
	}
}

// since returns the changes that a watch has not seen, and the channel that
// the next change closes.
func (s *Store) since(req platformapi.WatchRequest) (platformapi.WatchResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	res := platformapi.WatchResponse{
		Events:      []platformapi.Event{},
		Revision:    s.revision,
		HistoryLost: req.After < s.forgotten || req.After > s.revision,
	}
	first := sort.Search(len(s.history), func(i int) bool {
		return s.history[i].Entry.Revision > req.After
	})
	for _, e := range s.history[first:] {
		if strings.HasPrefix(e.Entry.Key, req.Prefix) {
			res.Events = append(res.Events, e)
		}
	}
	return res, s.changed
}

// Grant returns a new lease.
func (s *Store) Grant(ttl time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl: ttl, ends: s.clock.Now().Add(ttl)}
	return s.lastLease
}

// KeepAlive renews a lease and returns its whole time; alive is false when it
// has ended.
func (s *Store) KeepAlive(id uint64) (ttl time.Duration, alive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, ok := s.leases[id]
	if !ok {
		return 0, false
	}
	l.ends = s.clock.Now().Add(l.ttl)
	return l.ttl, true
}

// Revoke ends a lease and removes its keys; alive is false when it had ended.
func (s *Store) Revoke(id uint64) (alive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	_, ok := s.leases[id]
	s.end(id)
	return ok
}

// end removes a lease with its keys, in the order of the keys.
func (s *Store) end(id uint64) {
	delete(s.leases, id)
	var keys []string
	for k, e := range s.entries {
		if e.Lease == id && id != 0 {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	for _, k := range keys {
		s.remove(k)
	}
}

// expire ends the leases whose time has passed.
func (s *Store) expire() {
	now := s.clock.Now()
	for id, l := range s.leases {
		if !l.ends.After(now) {
			s.end(id)
		}
	}
}

// Run ends leases in time, until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	for s.clock.Sleep(ctx, expiryPeriod) == nil {
		s.mu.Lock()
		s.expire()
		s.mu.Unlock()
	}
	return nil
}
