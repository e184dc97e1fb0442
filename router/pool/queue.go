package pool

import (
	"container/heap"
	"sync/atomic"
)

// waitResult is sent to a waiting request exactly once.
type waitResult struct {
	slot *slot
	err  error
}

// waiter is a request in a queue.
type waiter struct {
	g   *group
	req Request
	// deadline is the request's deadline as an instant.
	deadline instant
	// startTag is the start tag in start-time fair queueing.
	startTag float64
	seq      uint64
	// index is the position in the heap, or -1 outside it; g.mu guards it.
	index int
	// pendingPreemptions counts the free-tier slots that were preempted for
	// this request and are still in use.
	pendingPreemptions atomic.Int32
	// result has a buffer of one, so that sending never blocks.
	result chan waitResult
}

// queue holds the waiting requests of one tier class in a group, ordered by
// start-time fair queueing over teams. The group's mutex guards it.
type queue struct {
	heap waiterHeap
	// size counts the requests in heap and those set aside.
	size int
	// virtualTime is the highest start tag of the requests served so far.
	virtualTime float64
	teams       map[string]*backlog
	seq         uint64
	// serveInterval is a moving mean of the time between two served requests
	// while others wait, in nanoseconds; zero means unknown.
	serveInterval float64
	lastServedAt  instant
}

// backlog is the state of one team in a queue.
type backlog struct {
	// finishTag is the finish tag of the team's last request.
	finishTag float64
	waiting   int
	weight    float64
}

func (q *queue) push(w *waiter, now instant) {
	if q.teams == nil {
		q.teams = make(map[string]*backlog)
	}
	b := q.teams[w.req.Team]
	if b == nil {
		b = &backlog{}
		q.teams[w.req.Team] = b
	}
	b.weight = weightOf(w.req.Weight)
	w.startTag = q.startTag(w.req.Team)
	b.finishTag = w.startTag + 1/b.weight
	b.waiting++
	q.seq++
	w.seq = q.seq
	if len(q.heap) == 0 {
		q.lastServedAt = now
	}
	heap.Push(&q.heap, w)
	q.size++
}

// startTag returns the start tag that the next request of the team would get.
func (q *queue) startTag(team string) float64 {
	if b := q.teams[team]; b != nil {
		return max(q.virtualTime, b.finishTag)
	}
	return q.virtualTime
}

// removeServed removes w after it was given a slot.
func (q *queue) removeServed(w *waiter, now instant) {
	q.virtualTime = max(q.virtualTime, w.startTag)
	gap := float64(now - q.lastServedAt)
	if q.serveInterval == 0 {
		q.serveInterval = gap
	} else {
		q.serveInterval += (gap - q.serveInterval) * estimateGain
	}
	q.lastServedAt = now
	q.remove(w)
}

// removeUnserved removes w without a slot and takes its cost off the team's
// finish tag.
func (q *queue) removeUnserved(w *waiter) {
	if b := q.teams[w.req.Team]; b != nil {
		b.finishTag -= 1 / b.weight
	}
	q.remove(w)
}

// setAside removes the first request from the heap until putBack; it still
// counts as waiting.
func (q *queue) setAside() *waiter { return heap.Pop(&q.heap).(*waiter) }

func (q *queue) putBack(w *waiter) { heap.Push(&q.heap, w) }

func (q *queue) remove(w *waiter) {
	heap.Remove(&q.heap, w.index)
	b := q.teams[w.req.Team]
	b.waiting--
	q.size--
	if q.size == 0 {
		clear(q.teams)
		return
	}
	if b.waiting == 0 && b.finishTag <= q.virtualTime {
		delete(q.teams, w.req.Team)
	}
}

// countAhead returns the number of waiting requests that precede a new one with
// this start tag.
func (q *queue) countAhead(tag float64) int {
	n := 0
	for _, w := range q.heap {
		if w.startTag <= tag {
			n++
		}
	}
	return n
}

// longestBacklog returns the newest request of the team with the longest
// backlog relative to its weight.
func (q *queue) longestBacklog() *waiter {
	team, most := "", 0.0
	for id, b := range q.teams {
		length := float64(b.waiting) / b.weight
		if length > most || (length == most && id < team) {
			team, most = id, length
		}
	}
	var newest *waiter
	for _, w := range q.heap {
		if w.req.Team == team && (newest == nil || w.seq > newest.seq) {
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

// waiterHeap is a heap ordered by start tag, then by arrival.
type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].seq < h[j].seq
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
