package journal

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// shardCount is the number of shards, each with its own lock. Decisions are
// sharded by request, so that no lock is shared by all requests.
const shardCount = 64

// recent retains the latest decisions, in shards by request.
type recent struct {
	shards [shardCount]shard
}

// shard is a ring buffer of decisions.
type shard struct {
	mu   sync.Mutex
	ring []Decision
	// next is the index that the next decision is written to. Once the ring
	// is full, it is the index of the oldest decision.
	next int
	// capacity is the maximum length of ring.
	capacity int
}

func newRecent(n int) *recent {
	r := &recent{}
	for i := range r.shards {
		r.shards[i].capacity = max(1, n/shardCount)
	}
	return r
}

func (r *recent) shardFor(request string) *shard {
	return &r.shards[xxhash.Sum64String(request)%shardCount]
}

func (r *recent) add(d Decision) {
	s := r.shardFor(d.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ring) < s.capacity {
		s.ring = append(s.ring, d)
		return
	}
	s.ring[s.next] = d
	s.next = (s.next + 1) % s.capacity
}

// find returns the decisions of a request, oldest first.
func (r *recent) find(request string) []Decision {
	s := r.shardFor(request)
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
