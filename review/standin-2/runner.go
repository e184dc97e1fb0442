package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// made says for which piece a result was made.
type made struct {
	call         string
	stage, piece int
	maker        *stageRunner
}

// results are the results of all stage runners, by handle.
type results struct {
	mu       sync.Mutex
	byHandle map[string]made
	next     int
}

func (r *results) get(handle string) (made, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.byHandle[handle]
	return m, ok
}

// exchange is a request that a runner has read, and its connection.
type exchange struct {
	req  *http.Request
	body []byte
	conn net.Conn
	// gone is closed when the connection ends.
	gone <-chan struct{}
}

// serveConnections accepts connections and has their requests handled, one at a time on each.
func serveConnections(l net.Listener, handle func(state *connState, x exchange)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go serveConnection(c, handle)
	}
}

// connState is what a runner keeps of one connection.
type connState struct {
	// extra is an answer that is written once more, late, or nil.
	extra []byte
}

func serveConnection(c net.Conn, handle func(state *connState, x exchange)) {
	defer c.Close()
	gone := make(chan struct{})
	requests := make(chan exchange, 4)
	go func() {
		defer close(gone)
		defer close(requests)
		r := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body, err := io.ReadAll(req.Body)
			if err != nil {
				return
			}
			requests <- exchange{req: req, body: body, conn: c, gone: gone}
		}
	}()
	var state connState
	for x := range requests {
		handle(&state, x)
	}
}

// answerBytes returns an answer with a length.
func answerBytes(status int, header map[string]string, body []byte) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for k, v := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return []byte(b.String())
}

// stageRunner is a stand-in for a runner that makes pieces.
type stageRunner struct {
	id, address, zone string
	callTime          time.Duration
	pieceTime         time.Duration
	queue             int32
	record            *record
	results           *results
	// turn is held by the call that is worked on.
	turn    sync.Mutex
	waiting atomic.Int32
	running atomic.Int32
	// answers counts the answers.
	answers atomic.Int32
	// quiet leaves the single calls out of the record.
	quiet bool
	// garble is called with each answer about pieces, and reports whether its connection gets
	// a second copy later. It may be nil.
	garble func(answer string) bool
}

func startStageRunner(id, zone string, res *results, rec *record) (*stageRunner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &stageRunner{id: id, zone: zone, address: l.Addr().String(), callTime: 150 * time.Millisecond, pieceTime: 16 * time.Millisecond, queue: 2, record: rec, results: res}
	go serveConnections(l, s.handle)
	return s, nil
}

type pieceItem struct {
	ID        string   `json:"id"`
	Stage     int      `json:"stage"`
	Piece     int      `json:"piece"`
	Remaining float64  `json:"remaining_ms"`
	Key       string   `json:"key"`
	Inputs    []string `json:"inputs"`
}

type pieceResult struct {
	Handle string `json:"handle,omitempty"`
	Reason string `json:"reason,omitempty"`
}

func (s *stageRunner) load() string {
	return fmt.Sprintf("%d,%d,1", s.running.Load(), s.waiting.Load())
}

func (s *stageRunner) handle(state *connState, x exchange) {
	s.answers.Add(1)
	if state.extra != nil {
		// The second copy comes where the next answer is expected.
		s.record.line("%s writes a second copy of an earlier answer", s.id)
		_, _ = x.conn.Write(state.extra)
		state.extra = nil
	}
	if want := x.req.Header.Get("Expect-Instance"); want != "" && want != s.id {
		_, _ = x.conn.Write(answerBytes(421, map[string]string{"Instance-Id": s.id}, nil))
		return
	}
	switch {
	case x.req.Method == http.MethodPost && x.req.URL.Path == "/stage-run":
		s.run(state, x)
	case x.req.Method == http.MethodPost && x.req.URL.Path == "/stage-free":
		s.free(x)
	case x.req.URL.Path == "/report":
		body, _ := json.Marshal(map[string]any{"waiting": s.waiting.Load(), "busy": s.running.Load() > 0, "free_mb": 36})
		_, _ = x.conn.Write(answerBytes(200, map[string]string{"Content-Type": "application/json", "Server-Load": s.load()}, body))
	default:
		_, _ = x.conn.Write(answerBytes(200, map[string]string{"Instance-Id": s.id, "Server-Load": s.load()}, nil))
	}
}

// badKey is the beginning of the keys of inputs that no runner can read.
const badKey = "bad"

func (s *stageRunner) run(state *connState, x exchange) {
	var in struct {
		Items []pieceItem `json:"items"`
	}
	if err := json.Unmarshal(x.body, &in); err != nil || len(in.Items) == 0 {
		_, _ = x.conn.Write(answerBytes(400, map[string]string{"Not-Executed": "1"}, nil))
		return
	}
	if s.waiting.Add(1) > s.queue+1 {
		s.waiting.Add(-1)
		_, _ = x.conn.Write(answerBytes(503, map[string]string{"Not-Executed": "1", "Server-Load": s.load()}, nil))
		return
	}
	arrived := time.Now()
	s.turn.Lock()
	s.waiting.Add(-1)
	select {
	case <-x.gone:
		s.turn.Unlock()
		return
	default:
	}
	s.running.Add(1)
	out := make([]pieceResult, len(in.Items))
	for i, it := range in.Items {
		if time.Since(arrived) > time.Duration(it.Remaining*float64(time.Millisecond)) {
			out[i].Reason = "late"
		}
		if strings.HasPrefix(it.Key, badKey) {
			out[i].Reason = "error"
		}
		for _, h := range it.Inputs {
			if m, ok := s.results.get(h); !ok {
				out[i].Reason = "gone"
			} else if m.call != it.ID {
				s.record.line("MIXED: piece %d of stage %d of request %s is given the input %s, which was made for request %s", it.Piece, it.Stage, it.ID, h, m.call)
			}
		}
	}
	time.Sleep(s.callTime + time.Duration(len(in.Items))*s.pieceTime)
	s.results.mu.Lock()
	for i, it := range in.Items {
		if out[i].Reason == "" {
			s.results.next++
			out[i].Handle = s.address + "/" + strconv.FormatInt(int64(s.results.next)+0x91bd3f06000, 16)
			s.results.byHandle[out[i].Handle] = made{call: it.ID, stage: it.Stage, piece: it.Piece, maker: s}
		}
	}
	s.results.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"items": out})
	if !s.quiet {
		s.record.line("%s made %d pieces of %s: %s", s.id, len(in.Items), callsOf(in.Items), body)
	}
	s.running.Add(-1)
	s.turn.Unlock()
	answer := answerBytes(200, map[string]string{"Content-Type": "application/json", "Server-Load": s.load()}, body)
	if s.garble != nil && s.garble(string(body)) {
		state.extra = answer
	}
	_, _ = x.conn.Write(answer)
}

func callsOf(items []pieceItem) string {
	var out []string
	for _, it := range items {
		if len(out) == 0 || out[len(out)-1] != it.ID {
			out = append(out, it.ID)
		}
	}
	return strings.Join(out, ",")
}

func (s *stageRunner) free(x exchange) {
	var in struct {
		Handles []string `json:"handles"`
	}
	_ = json.Unmarshal(x.body, &in)
	s.results.mu.Lock()
	for _, h := range in.Handles {
		if m, ok := s.results.byHandle[h]; ok && m.maker == s {
			delete(s.results.byHandle, h)
		}
	}
	s.results.mu.Unlock()
	_, _ = x.conn.Write(answerBytes(200, map[string]string{"Server-Load": s.load()}, nil))
}

// engine is a stand-in for a model runner.
type engine struct {
	id, address, zone string
	record            *record
	results           *results
	// events and gap are the length of a stream and the time between its events.
	events int
	gap    time.Duration
	first  time.Duration
	slots  int32
	// stages is the number of stages of the route, or zero.
	stages  int
	running atomic.Int32
	ran     atomic.Int64
	mixed   atomic.Int64
	// quiet leaves the single runs out of the record.
	quiet bool
}

func startEngine(id, zone string, res *results, rec *record) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, zone: zone, address: l.Addr().String(), record: rec, results: res, events: 5, gap: 20 * time.Millisecond, first: 20 * time.Millisecond, slots: 64}
	go serveConnections(l, e.handle)
	return e, nil
}

func (e *engine) handle(_ *connState, x exchange) {
	id := x.req.Header.Get("Attempt-Id")
	refuse := func(status int) {
		_, _ = x.conn.Write(answerBytes(status, map[string]string{"Attempt-Id": id, "Not-Executed": "1"}, nil))
	}
	if want := x.req.Header.Get("Expect-Instance"); want != "" && want != e.id {
		_, _ = x.conn.Write(answerBytes(421, map[string]string{"Instance-Id": e.id}, nil))
		return
	}
	if x.req.Method == http.MethodGet {
		_, _ = x.conn.Write(answerBytes(200, map[string]string{"Instance-Id": e.id}, nil))
		return
	}
	if e.running.Add(1) > e.slots {
		e.running.Add(-1)
		refuse(503)
		return
	}
	defer e.running.Add(-1)
	if e.stages > 0 {
		handles := x.req.Header.Get("Inputs")
		if handles == "" {
			refuse(400)
			return
		}
		for h := range strings.SplitSeq(handles, ",") {
			m, ok := e.results.get(h)
			if !ok {
				e.record.line("%s refuses request %s: input %s is gone", e.id, id, h)
				refuse(409)
				return
			}
			if m.call != id {
				e.mixed.Add(1)
				e.record.line("MIXED: request %s is given the input %s, which was made for piece %d of request %s", id, h, m.piece, m.call)
			}
		}
	}
	e.ran.Add(1)
	if !e.quiet {
		e.record.line("%s runs request %s", e.id, id)
	}
	if !wait(e.first, x.gone) {
		return
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
	_, _ = io.WriteString(x.conn, head)
	for n := range e.events {
		if n > 0 && !wait(e.gap, x.gone) {
			return
		}
		event := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n+1, id, n+1)
		fmt.Fprintf(x.conn, "%x\r\n%s\r\n", len(event), event)
	}
	_, _ = io.WriteString(x.conn, "0\r\n\r\n")
}

// wait waits for a time and reports whether the connection is still open.
func wait(d time.Duration, gone <-chan struct{}) bool {
	select {
	case <-time.After(d):
		return true
	case <-gone:
		return false
	}
}
