package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// registration keeps a runner's entry in the store, written every heartbeat.
type registration struct {
	mu    sync.Mutex
	entry map[string]any
	store *store
	id    string
	stop  chan struct{}
}

func register(s *store, id, service, zone, address string, slots int) *registration {
	g := &registration{store: s, id: id, stop: make(chan struct{}), entry: map[string]any{
		"service": service, "address": address, "zone": zone, "version": "1", "slots": slots, "state": "ready",
		"cold_remaining_ms": 0, "seq": 0, "born": time.Now().UnixMilli(),
	}}
	g.write()
	go func() {
		t := time.NewTicker(1200 * time.Millisecond)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				g.write()
			case <-g.stop:
				return
			}
		}
	}()
	return g
}

// write writes the entry with the next count.
func (g *registration) write() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.entry["seq"] = g.entry["seq"].(int) + 1
	g.store.Put("servers/"+g.id, g.entry)
}

// plainServer runs requests of a service, each for the time of work.
type plainServer struct {
	id      string
	address string
	work    time.Duration
	mu      sync.Mutex
	runs    map[string]int
}

func newPlainServer(id string, work time.Duration) (*plainServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &plainServer{id: id, address: l.Addr().String(), work: work, runs: map[string]int{}}
	go func() { _ = http.Serve(l, p) }()
	return p, nil
}

func (p *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != p.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(421)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", p.id)
		w.WriteHeader(200)
		return
	}
	p.mu.Lock()
	p.runs[id]++
	p.mu.Unlock()
	work := p.work
	if ms, err := strconv.Atoi(r.Header.Get("X-Work-Ms")); err == nil {
		work = time.Duration(ms) * time.Millisecond
	}
	time.Sleep(work)
	body := answerOf(id)
	w.Header().Set("Response-Seal", seal(p.id, id))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = fmt.Fprint(w, body)
}

func seal(server, request string) string { return server + "." + request }

func answerOf(request string) string { return "answer of " + request }

// ran returns how often a request ran.
func (p *plainServer) ran(request string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[request]
}
