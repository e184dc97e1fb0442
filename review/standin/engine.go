package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// job is how long a request is to be: it stands in its Token-Counts header.
type job struct {
	id      string
	tokens  int
	events  int
	urgency int
	begun   time.Time
	// resume is closed when a preempted job may be read in again.
	resume    chan struct{}
	preempted bool
}

// engine runs requests that are answered by events. It has a number of slots, a queue
// and memory for a number of prompt tokens. When the memory runs out, the newest of the
// least urgent requests is preempted, also in the middle of its stream, and read in again
// once there is room.
type engine struct {
	id, address         string
	slots, queue        int
	memory              int
	readPerMS           int
	eventGap            time.Duration
	rec                 *record
	mu                  sync.Mutex
	running             []*job
	waiting             int
	freed               chan struct{}
	results             map[string]string
	refusals, preempted int
}

func newEngine(rec *record, id string, slots, queue, memory int) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{
		id: id, address: l.Addr().String(), slots: slots, queue: queue, memory: memory, readPerMS: 51, eventGap: 100 * time.Millisecond,
		rec: rec, freed: make(chan struct{}), results: map[string]string{},
	}
	go func() { _ = http.Serve(l, e) }()
	return e, nil
}

// used returns the tokens of the jobs that aren't preempted. The caller holds mu.
func (e *engine) used() int {
	sum := 0
	for _, j := range e.running {
		if !j.preempted {
			sum += j.tokens
		}
	}
	return sum
}

// admit waits for a slot. It returns false if slots and queue are full or the caller
// has left.
func (e *engine) admit(j *job, gone <-chan struct{}) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.running) >= e.slots && e.waiting >= e.queue {
		e.refusals++
		return false
	}
	for len(e.running) >= e.slots {
		e.waiting++
		freed := e.freed
		e.mu.Unlock()
		ok := true
		select {
		case <-freed:
		case <-gone:
			ok = false
		}
		e.mu.Lock()
		e.waiting--
		if !ok {
			return false
		}
	}
	j.begun = time.Now()
	e.running = append(e.running, j)
	for e.used() > e.memory {
		var victim *job
		for _, o := range e.running {
			if o == j || o.preempted {
				continue
			}
			if victim == nil || o.urgency > victim.urgency || (o.urgency == victim.urgency && o.begun.After(victim.begun)) {
				victim = o
			}
		}
		if victim == nil {
			break
		}
		victim.preempted, victim.resume = true, make(chan struct{})
		e.preempted++
		e.rec.add("engine %s: memory runs out, request %s is preempted", e.id, victim.id)
	}
	return true
}

// leave ends a job and lets preempted ones be read in again.
func (e *engine) leave(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for n, o := range e.running {
		if o == j {
			e.running = append(e.running[:n:n], e.running[n+1:]...)
			break
		}
	}
	for _, o := range e.running {
		if o.preempted && e.used()+o.tokens <= e.memory {
			o.preempted = false
			close(o.resume)
		}
	}
	close(e.freed)
	e.freed = make(chan struct{})
}

// pause waits for d, and while the job is preempted. It returns false if the caller has
// closed the connection.
func (e *engine) pause(j *job, d time.Duration, gone <-chan struct{}) bool {
	select {
	case <-gone:
		return false
	case <-time.After(d):
	}
	e.mu.Lock()
	preempted, resume := j.preempted, j.resume
	e.mu.Unlock()
	if !preempted {
		return true
	}
	select {
	case <-gone:
		return false
	case <-resume:
	}
	e.rec.add("engine %s: there is room again, request %s is read in", e.id, j.id)
	return e.pause(j, time.Duration(j.tokens/e.readPerMS)*time.Millisecond, gone)
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if r.Header.Get("Expect-Instance") != e.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(421)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", e.id)
		return
	}
	in, out, _ := strings.Cut(r.Header.Get("Token-Counts"), ",")
	tokens, _ := strconv.Atoi(in)
	events, _ := strconv.Atoi(out)
	urgency, err := strconv.Atoi(r.Header.Get("Request-Urgency"))
	if err != nil {
		urgency = 5
	}
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	j := &job{id: id, tokens: tokens, events: events, urgency: urgency}
	gone := r.Context().Done()
	if !e.admit(j, gone) {
		e.rec.add("engine %s: full, refuses request %s (Last-Event-Id %d)", e.id, id, first)
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(503)
		return
	}
	defer e.leave(j)
	e.rec.add("engine %s: runs request %s (Last-Event-Id %d)", e.id, id, first)
	result := "complete"
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Response-Seal", seal(e.id, id))
	wait := time.Duration(tokens/e.readPerMS) * time.Millisecond
	for n := first + 1; n <= events; n++ {
		if !e.pause(j, wait, gone) {
			result = fmt.Sprintf("its connection was closed before event %d of %d", n, events)
			break
		}
		wait = e.eventGap
		if _, err := fmt.Fprintf(w, "id: %d\ndata: part %d of %s\n\n", n, n, id); err != nil {
			result = fmt.Sprintf("its connection was closed at event %d of %d", n, events)
			break
		}
		_ = http.NewResponseController(w).Flush()
	}
	e.rec.add("engine %s: request %s ends: %s", e.id, id, result)
	e.mu.Lock()
	e.results[id] = result
	e.mu.Unlock()
}

// result returns how the run of a request ended, or "".
func (e *engine) result(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.results[id]
}

// countEvents returns the number of events in a stream.
func countEvents(body string) int { return strings.Count(body, "\n\n") }
