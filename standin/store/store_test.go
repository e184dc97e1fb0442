package store_test

import (
	"strings"
	"testing"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/platformapi"
	"cicadawell.dev/fleet/property"
	"cicadawell.dev/standin/store"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { property.Main(m, 100) }

// reference holds the expected entries and events of the store, without those
// events that expired leases cause.
type reference struct {
	entries map[string]platformapi.Entry
	events  []platformapi.Event
}

// TestStoreFollowsItsReferenceProperty applies random sequences of writes, with
// and without comparison, leases and clock advances. It compares the store with a
// plain map, and a watch from any revision with the recorded events.
func TestStoreFollowsItsReferenceProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clk := clock.NewManual(time.Unix(1, 0))
		s := store.New(clk)
		ref := &reference{entries: map[string]platformapi.Entry{}}
		keys := rapid.SampledFrom([]string{"a/1", "a/2", "b/1"})
		expiries := map[uint64]time.Time{}
		const ttl = 100 * time.Millisecond
		deleteKey := func(key string, revision uint64) {
			e := ref.entries[key]
			delete(ref.entries, key)
			tombstone := platformapi.Entry{Key: key, Revision: revision, Lease: e.Lease}
			ref.events = append(ref.events, platformapi.Event{Entry: tombstone, Deleted: true})
		}
		expireLeases := func() {
			for key, e := range ref.entries {
				if e.Lease != 0 && !expiries[e.Lease].After(clk.Now()) {
					delete(ref.entries, key)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				expireLeases()
				key := keys.Draw(t, "key")
				req := platformapi.PutRequest{Key: key, Value: []byte{rapid.Byte().Draw(t, "value")}}
				if rapid.Bool().Draw(t, "compare") {
					revision := ref.entries[key].Revision + rapid.Uint64Range(0, 1).Draw(t, "off")
					req.IfRevision = &revision
				}
				req.Lease = rapid.Uint64Range(0, uint64(len(expiries))).Draw(t, "lease")
				res, outcome := s.Put(req)
				switch {
				case req.Lease != 0 && !expiries[req.Lease].After(clk.Now()):
					if outcome != store.LeaseNotFound {
						t.Fatalf("put under an expired lease: %v", outcome)
					}
				case req.IfRevision != nil && *req.IfRevision != ref.entries[key].Revision:
					if outcome != store.RevisionMismatch {
						t.Fatalf("put with a failed comparison: %v", outcome)
					}
				default:
					if outcome != store.Written {
						t.Fatalf("put not written: %v", outcome)
					}
					e := platformapi.Entry{Key: key, Value: req.Value, Revision: res.Revision, Lease: req.Lease}
					ref.entries[key] = e
					ref.events = append(ref.events, platformapi.Event{Entry: e})
				}
			},
			"delete": func(t *rapid.T) {
				expireLeases()
				key := keys.Draw(t, "key")
				_, existed := ref.entries[key]
				res, outcome := s.Delete(platformapi.DeleteRequest{Key: key})
				if outcome != store.Written {
					t.Fatalf("delete not written: %v", outcome)
				}
				if existed {
					deleteKey(key, res.Revision)
				}
			},
			"grant":   func(*rapid.T) { expiries[s.Grant(ttl)] = clk.Now().Add(ttl) },
			"advance": func(*rapid.T) { clk.Advance(ttl / 3) },
			"": func(t *rapid.T) {
				expireLeases()
				list := s.List("")
				if len(list.Entries) != len(ref.entries) {
					t.Fatalf("found %d entries, want %d", len(list.Entries), len(ref.entries))
				}
				for _, e := range list.Entries {
					if want := ref.entries[e.Key]; want.Revision != e.Revision || string(want.Value) != string(e.Value) {
						t.Fatalf("found %v, want %v", e, want)
					}
				}
				checkWatch(t, s, ref, list.Revision)
			},
		})
	})
}

// checkWatch checks that a watch returns all recorded events in order. Removals
// by expired leases appear between them and are not recorded.
func checkWatch(t *rapid.T, s *store.Store, ref *reference, revision uint64) {
	after := rapid.Uint64Range(1, revision).Draw(t, "after")
	res := s.Watch(t.Context(), platformapi.WatchRequest{Prefix: "a/", After: after})
	seen := map[uint64]bool{}
	last := after
	for _, e := range res.Events {
		if e.Entry.Revision <= last || !strings.HasPrefix(e.Entry.Key, "a/") {
			t.Fatalf("found event %v after revision %d", e, last)
		}
		last = e.Entry.Revision
		seen[last] = true
	}
	for _, e := range ref.events {
		if e.Entry.Revision > after && strings.HasPrefix(e.Entry.Key, "a/") && !seen[e.Entry.Revision] {
			t.Fatalf("watch lacks %v", e)
		}
	}
}

func TestWatchReportsLostHistory(t *testing.T) {
	is := is.New(t)
	s := store.New(clock.NewManual(time.Unix(1, 0)))
	for range 5000 {
		s.Put(platformapi.PutRequest{Key: "k"})
	}
	is.True(s.Watch(t.Context(), platformapi.WatchRequest{After: 1}).HistoryLost)
	is.True(s.Watch(t.Context(), platformapi.WatchRequest{After: 99999}).HistoryLost) // a revision from before a restart of the store
	is.True(!s.Watch(t.Context(), platformapi.WatchRequest{After: 5000}).HistoryLost)
}
