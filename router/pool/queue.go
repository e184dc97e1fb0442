package pool

import (
	"container/heap"
	"sync/atomic"
)

// outcome is what a waiting ask receives, once.
type outcome struct {
	place *place
	err   error
}

// waiter is an ask in a queue.
type waiter struct {
	g   *group
	ask Ask
	// deadline is the ask's, on the pools' clock.
	deadline instant
	// tag is the start tag of start-time fair queueing.
	tag float64
	seq uint64
	// index is the place in the heap, or -1 outside it; g.mu guards it.
	index int
	// victims are free places displaced for this ask and not yet free.
	victims atomic.Int32
	// out receives once; it has room for that.
	out chan outcome
}

// queue holds the waiting asks of one class of tiers in one group, in the
// order of start-time fair queueing over teams. The group's mutex guards it.
type queue struct {
	heap waiters
	// size counts the asks of heap and those set aside.
	size int
	// virtual is the start tag of the ask served last.
	virtual float64
	teams   map[string]*backlog
	seq     uint64
	// interval is a moving mean of the time between two asks served while
	// others wait; zero means unknown.
	interval float64
	served   instant
}

// backlog is a team's part of a queue.
type backlog struct {
	// finish is the finish tag of the team's last ask.
	finish  float64
	waiting int
	weight  float64
}

// push puts w into the queue.
func (q *queue) push(w *waiter, now instant) {
	if q.teams == nil {
		q.teams = make(map[string]*backlog)
	}
	b := q.teams[w.ask.Team]
	if b == nil {
		b = &backlog{}
		q.teams[w.ask.Team] = b
	}
	b.weight = weightOf(w.ask.Weight)
	w.tag = q.startTag(w.ask.Team)
	b.finish = w.tag + 1/b.weight
	b.waiting++
	q.seq++
	w.seq = q.seq
	if len(q.heap) == 0 {
		q.served = now
	}
	heap.Push(&q.heap, w)
	q.size++
}

// startTag returns the tag that the next ask of the team would get.
func (q *queue) startTag(team string) float64 {
	if b := q.teams[team]; b != nil {
		return max(q.virtual, b.finish)
	}
	return q.virtual
}

// take removes w, which was served.
func (q *queue) take(w *waiter, now instant) {
	q.virtual = max(q.virtual, w.tag)
	gap := float64(now - q.served)
	if q.interval == 0 {
		q.interval = gap
	} else {
		q.interval += (gap - q.interval) * estimateGain
	}
	q.served = now
	q.remove(w)
}

// drop removes w, which was not served, and gives its part back to the team.
func (q *queue) drop(w *waiter) {
	if b := q.teams[w.ask.Team]; b != nil {
		b.finish -= 1 / b.weight
	}
	q.remove(w)
}

// setAside takes the first ask off the heap; putBack puts it there again.
func (q *queue) setAside() *waiter { return heap.Pop(&q.heap).(*waiter) }

func (q *queue) putBack(w *waiter) { heap.Push(&q.heap, w) }

func (q *queue) remove(w *waiter) {
	heap.Remove(&q.heap, w.index)
	b := q.teams[w.ask.Team]
	b.waiting--
	q.size--
	if q.size == 0 {
		clear(q.teams)
		return
	}
	if b.waiting == 0 && b.finish <= q.virtual {
		delete(q.teams, w.ask.Team)
	}
}

// ahead returns how many waiting asks come before a new one with this tag.
func (q *queue) ahead(tag float64) int {
	n := 0
	for _, w := range q.heap {
		if w.tag <= tag {
			n++
		}
	}
	return n
}

// longest returns the newest ask of the team with the longest backlog for its
// weight.
func (q *queue) longest() *waiter {
	team, most := "", 0.0
	for id, b := range q.teams {
		length := float64(b.waiting) / b.weight
		if length > most || (length == most && id < team) {
			team, most = id, length
		}
	}
	var newest *waiter
	for _, w := range q.heap {
		if w.ask.Team == team && (newest == nil || w.seq > newest.seq) {
			newest = w
		}
	}
	return newest
}

func weightOf(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}

// waiters is a heap by start tag, then by arrival.
type waiters []*waiter

func (h waiters) Len() int { return len(h) }

func (h waiters) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].seq < h[j].seq
}

func (h waiters) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *waiters) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

func (h *waiters) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
