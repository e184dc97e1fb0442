package journal

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// shards is how many locks the recent decisions are spread over by request, so
// that no lock is shared by all requests.
const shards = 64

// recent keeps the latest decisions.
type recent struct {
	shards [shards]shard
}

// shard is a ring of decisions.
type shard struct {
	mu   sync.Mutex
	ring []Decision
	// next is where the next decision goes; the oldest stands there once
	// the ring is full.
	next int
	size int
}

func newRecent(n int) *recent {
	r := &recent{}
	for i := range r.shards {
		r.shards[i].size = max(1, n/shards)
	}
	return r
}

func (r *recent) shardOf(request string) *shard {
	return &r.shards[xxhash.Sum64String(request)%shards]
}

func (r *recent) add(d Decision) {
	s := r.shardOf(d.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ring) < s.size {
		s.ring = append(s.ring, d)
		return
	}
	s.ring[s.next] = d
	s.next = (s.next + 1) % s.size
}

// of returns the decisions of a request, oldest first.
func (r *recent) of(request string) []Decision {
	s := r.shardOf(request)
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []Decision{}
	for i := range s.ring {
		d := s.ring[(s.next+i)%len(s.ring)]
		if d.Request == request {
			found = append(found, d)
		}
	}
	return found
}
