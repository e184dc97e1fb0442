package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engines is the service of model engines.
const engines = "cicada-pool"

const heartbeat = 1200 * time.Millisecond

// runner is a stand-in for a runner of a plain service.
type runner struct {
	id, service, zone, address string
	born                       time.Time
	cold                       time.Duration
	work                       time.Duration
	// events is the number of events of a stream, with pauses between them.
	events int
	pause  time.Duration
	st     *store
	rec    *record
	runs   *runs

	// deadly is the part of prompts that crashes the runner once it has written the first event
	// of its answer, or "".
	deadly string
	// early has it crash before that, with EARLY set.
	early   bool
	crashes *crashes

	mu       sync.Mutex
	draining bool
	seq      int64
	// server serves the current incarnation, nil while the runner is down.
	server *http.Server
}

// crashes has the times of the crashes of runners.
type crashes struct {
	mu sync.Mutex
	at []time.Time
}

// downTime is how long a runner that crashed is away.
const downTime = 3 * time.Second

// serve serves one incarnation.
func (r *runner) serve(l net.Listener) {
	srv := &http.Server{Handler: r}
	r.mu.Lock()
	r.server, r.born, r.seq = srv, time.Now(), 0
	r.mu.Unlock()
	_ = srv.Serve(l)
}

// crash resets all connections and starts the runner again after downTime.
func (r *runner) crash() {
	r.mu.Lock()
	srv := r.server
	r.server = nil
	r.mu.Unlock()
	if srv == nil {
		return
	}
	now := time.Now()
	r.crashes.mu.Lock()
	r.crashes.at = append(r.crashes.at, now)
	r.crashes.mu.Unlock()
	r.rec.add("crash", "runner %s zone %s", r.id, r.zone)
	_ = srv.Close()
	time.Sleep(downTime)
	for {
		if l, err := net.Listen("tcp", r.address); err == nil {
			r.serve(l)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func token() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// startRunner starts a runner, which is cold for a time.
func startRunner(w *world, service, zone string, cold time.Duration) (*runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{id: "i-" + token()[:8], service: service, zone: zone, address: l.Addr().String(), born: time.Now(), cold: cold, work: 15 * time.Millisecond, events: w.events, pause: w.pause, st: w.store, rec: w.rec, runs: w.runs}
	r.deadly, r.early, r.crashes = w.deadly, os.Getenv("EARLY") != "", w.crashes
	go r.serve(l)
	time.Sleep(time.Millisecond)
	go r.describe()
	return r, nil
}

// describe keeps the runner's entry in the store: at once, and at each heartbeat. The entry
// changes when more than seq changes. While the store is away it tries again soon.
func (r *runner) describe() {
	for {
		for !r.write() {
			time.Sleep(10 * time.Millisecond)
		}
		for next := time.Now().Add(heartbeat); time.Now().Before(next); time.Sleep(5 * time.Millisecond) {
			if r.st.isAway() {
				break // it writes again once the store is back
			}
		}
	}
}

func (r *runner) write() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.server == nil {
		return true // it is down
	}
	left := max(0, r.cold-time.Since(r.born)).Milliseconds()
	state := "ready"
	if r.draining {
		state = "draining"
	}
	body := func(seq int64) []byte {
		data, _ := json.Marshal(map[string]any{
			"service": r.service, "address": r.address, "zone": r.zone, "version": "1", "slots": 6, "state": state,
			"cold_remaining_ms": left, "seq": seq, "born": r.born.UnixMilli(),
		})
		return data
	}
	if current, ok := r.st.value("servers/" + r.id); ok {
		var old struct {
			Seq int64 `json:"seq"`
		}
		if json.Unmarshal(current, &old) == nil && string(body(old.Seq)) == string(current) {
			return !r.st.isAway()
		}
	}
	r.seq++
	return r.st.put("servers/"+r.id, body(r.seq))
}

func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	id := q.Header.Get("Attempt-Id")
	if id != "" {
		w.Header().Set("Attempt-Id", id)
	}
	refuse := func(status int) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(status)
	}
	if e := q.Header.Get("Expect-Instance"); e != "" && e != r.id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	if q.URL.Path == "/health" {
		w.Header().Set("Instance-Id", r.id)
		return
	}
	if id == "" {
		refuse(http.StatusBadRequest)
		return
	}
	if r.service != engines || r.deadly != "" {
		r.runs.add(run{id: id, runner: r, at: time.Now(), tenant: q.Header.Get("Tenant")})
		r.rec.add("run", "request %s at runner %s zone %s service %s tenant %q", id, r.id, r.zone, r.service, q.Header.Get("Tenant"))
	}
	time.Sleep(r.work)
	w.Header().Set("Response-Seal", fmt.Sprintf("%s.%s", r.id, id))
	if r.service == engines {
		w.Header().Set("Content-Type", "text/event-stream")
		doomed := r.deadly != "" && strings.Contains(q.Header.Get("Prompt-Prefix"), r.deadly+":")
		if doomed && r.early {
			go r.crash()
			<-q.Context().Done()
			return
		}
		for n := range r.events {
			if n > 0 {
				time.Sleep(r.pause)
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: token\n\n", n+1)
			_ = http.NewResponseController(w).Flush()
			if n == 0 && doomed {
				time.Sleep(5 * time.Millisecond)
				go r.crash()
				<-q.Context().Done()
				return
			}
		}
		return
	}
	answer := "answer to " + id + " of " + strconv.Itoa(len(body)) + " bytes"
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// run is one run of a request at a runner.
type run struct {
	id     string
	runner *runner
	at     time.Time
	tenant string
}

type runs struct {
	mu   sync.Mutex
	list []run
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, x)
}

func (r *runs) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.list...)
}
