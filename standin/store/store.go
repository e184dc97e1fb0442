// Package store implements the platform's key-value service in memory: keys with
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
	// historyLimit is the number of changes kept for watches.
	historyLimit = 4096
	// expiryPeriod is the time between two checks for expired leases.
	expiryPeriod = 20 * time.Millisecond
)

// Store holds keys and leases. Its methods are safe for concurrent use.
type Store struct {
	clock clock.Clock

	mu      sync.Mutex
	entries map[string]platformapi.Entry
	leases  map[uint64]*lease
	// revision is the revision of the last change. It starts at 1, so that
	// no entry has revision zero, which stands for an absent key.
	revision uint64
	// lastLease is the identifier of the last granted lease.
	lastLease uint64
	// history holds the last changes in the order of their revisions.
	// compactedRevision is the revision of the last change dropped from it.
	history           []platformapi.Event
	compactedRevision uint64
	// changed is closed and replaced at the next change.
	changed chan struct{}
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
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

// List returns the entries under a prefix, sorted by key.
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

// WriteOutcome is the outcome of a write.
type WriteOutcome int

// The outcomes of a write.
const (
	// Written means that the write took effect.
	Written WriteOutcome = iota
	// RevisionMismatch means that the key does not have the expected revision.
	RevisionMismatch
	// LeaseNotFound means that the lease of the write has expired, was revoked
	// or was never granted.
	LeaseNotFound
)

// Put writes a key. When the write is rejected, the response holds the current
// entry.
func (s *Store) Put(req platformapi.PutRequest) (platformapi.WriteResponse, WriteOutcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if _, ok := s.leases[req.Lease]; !ok && req.Lease != 0 {
		return s.rejected(req.Key), LeaseNotFound
	}
	if !s.revisionMatches(req.Key, req.IfRevision) {
		return s.rejected(req.Key), RevisionMismatch
	}
	s.revision++
	e := platformapi.Entry{Key: req.Key, Value: req.Value, Revision: s.revision, Lease: req.Lease}
	s.entries[req.Key] = e
	s.record(platformapi.Event{Entry: e})
	return platformapi.WriteResponse{Revision: s.revision}, Written
}

// Delete removes a key under the same comparison as Put. When the delete is
// rejected, the response holds the current entry.
func (s *Store) Delete(req platformapi.DeleteRequest) (platformapi.WriteResponse, WriteOutcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if !s.revisionMatches(req.Key, req.IfRevision) {
		return s.rejected(req.Key), RevisionMismatch
	}
	s.remove(req.Key)
	return platformapi.WriteResponse{Revision: s.revision}, Written
}

// rejected returns the response to a write that did not take effect.
func (s *Store) rejected(key string) platformapi.WriteResponse {
	return platformapi.WriteResponse{Revision: s.revision, Current: s.entry(key)}
}

// revisionMatches reports whether key has the wanted revision. A nil want matches
// any revision, zero an absent key.
func (s *Store) revisionMatches(key string, want *uint64) bool {
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
		s.compactedRevision = s.history[0].Entry.Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Watch waits for changes under a prefix after the revision in the request, at
// most for the time in the request. It returns at once when the history no longer
// holds all changes after that revision, or when the store has not reached it, as
// after a restart of the store.
func (s *Store) Watch(ctx context.Context, req platformapi.WatchRequest) platformapi.WatchResponse {
	timeout := s.clock.After(time.Duration(req.WaitMillis) * time.Millisecond)
	for {
		res, changed := s.eventsSince(req)
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

// eventsSince returns the changes that a watch has not seen yet, and the channel
// that is closed at the next change.
func (s *Store) eventsSince(req platformapi.WatchRequest) (platformapi.WatchResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	res := platformapi.WatchResponse{
		Events:      []platformapi.Event{},
		Revision:    s.revision,
		HistoryLost: req.After < s.compactedRevision || req.After > s.revision,
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

// Grant creates a lease and returns its identifier.
func (s *Store) Grant(ttl time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl: ttl, expiresAt: s.clock.Now().Add(ttl)}
	return s.lastLease
}

// KeepAlive renews a lease and returns its TTL; alive is false when the lease no
// longer exists.
func (s *Store) KeepAlive(id uint64) (ttl time.Duration, alive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, ok := s.leases[id]
	if !ok {
		return 0, false
	}
	l.expiresAt = s.clock.Now().Add(l.ttl)
	return l.ttl, true
}

// Revoke removes a lease and its keys; alive is false when the lease no longer
// existed.
func (s *Store) Revoke(id uint64) (alive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	_, ok := s.leases[id]
	s.endLease(id)
	return ok
}

// endLease removes a lease and its keys, in the order of the keys.
func (s *Store) endLease(id uint64) {
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

// expire removes the leases whose TTL has passed.
func (s *Store) expire() {
	now := s.clock.Now()
	for id, l := range s.leases {
		if !l.expiresAt.After(now) {
			s.endLease(id)
		}
	}
}

// Run removes expired leases every expiryPeriod until ctx ends, so that watches
// are notified without other calls.
func (s *Store) Run(ctx context.Context) error {
	for s.clock.Sleep(ctx, expiryPeriod) == nil {
		s.mu.Lock()
		s.expire()
		s.mu.Unlock()
	}
	return nil
}
