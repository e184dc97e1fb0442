package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// deadlyPart is the part of a prompt that crashes each runner that begins an answer on it.
const deadlyPart = "dead0bad"

// fragileEngine is a model runner that crashes at the first event of an answer on the deadly
// part, and is back after some seconds as another incarnation.
type fragileEngine struct {
	index   int
	zone    string
	service string
	store   *store
	record  *record
	seen    func(id string)
	crashed func()

	mu    sync.Mutex
	id    string
	l     net.Listener
	conns map[net.Conn]struct{}
	born  int
}

const (
	// downTime is how long a crashed runner is away, entryLife how long its entry outlives
	// it: three heartbeats.
	downTime  = 3 * time.Second
	entryLife = 3600 * time.Millisecond
)

func (e *fragileEngine) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.born++
	e.l, e.conns, e.id = l, map[net.Conn]struct{}{}, fmt.Sprintf("i-engine%d-%d", e.index, e.born)
	id, cold := e.id, 0
	if e.born > 1 {
		cold = 3000
	}
	e.mu.Unlock()
	e.store.put("servers/"+id, map[string]any{
		"service": e.service, "address": l.Addr().String(), "zone": e.zone, "version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": cold,
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "seq": 1, "born": time.Now().UnixMilli(),
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[c] = struct{}{}
			e.mu.Unlock()
			go serveConnection(c, func(_ *connState, x exchange) { e.handle(id, x) })
		}
	}()
	return nil
}

// crash resets all connections of an incarnation and starts the next one later.
func (e *fragileEngine) crash(id string) {
	e.mu.Lock()
	if e.id != id {
		e.mu.Unlock()
		return
	}
	e.id = ""
	_ = e.l.Close()
	for c := range e.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	e.mu.Unlock()
	e.record.line("%s crashes", id)
	e.crashed()
	time.AfterFunc(downTime, func() { _ = e.start() })
	time.AfterFunc(entryLife, func() {
		e.store.mu.Lock()
		defer e.store.mu.Unlock()
		e.store.revision++
		e.store.drop("servers/" + id)
		e.store.wake()
	})
}

func (e *fragileEngine) handle(id string, x exchange) {
	call := x.req.Header.Get("Attempt-Id")
	if x.req.Method == http.MethodGet {
		_, _ = x.conn.Write(answerBytes(200, map[string]string{"Instance-Id": id}, nil))
		return
	}
	if want := x.req.Header.Get("Expect-Instance"); want != id {
		_, _ = x.conn.Write(answerBytes(421, map[string]string{"Instance-Id": id}, nil))
		return
	}
	deadly := strings.Contains(x.req.Header.Get("Prompt-Prefix"), deadlyPart)
	e.record.line("%s gets request %s, deadly %t", id, call, deadly)
	if deadly {
		e.seen(call)
	}
	if !wait(30*time.Millisecond, x.gone) {
		return
	}
	if deadly {
		e.crash(id)
		return
	}
	fmt.Fprintf(x.conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", call, call)
	for n := range 10 {
		if n > 0 && !wait(40*time.Millisecond, x.gone) {
			return
		}
		event := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n+1, call, n+1)
		fmt.Fprintf(x.conn, "%x\r\n%s\r\n", len(event), event)
	}
	_, _ = io.WriteString(x.conn, "0\r\n\r\n")
}

// deepPart has a share of the requests hold a part that crashes runners, behind many parts that
// they share with sound ones.
func deepPart(c *context) (int, error) {
	return playDeadlyPart(c, 40, 34)
}

// shallowPart is deepPart with few parts before the deadly one.
func shallowPart(c *context) (int, error) {
	return playDeadlyPart(c, 40, 2)
}

// playDeadlyPart plays requests with a number of shared parts. The deadly part takes the place
// of the one at a position.
func playDeadlyPart(c *context, parts, position int) (int, error) {
	const (
		contact = 3 * time.Second
		// perSecond is the rate of all requests. One in deadlyEvery of them is deadly, for
		// deadlyFor: a share below 0.05.
		perSecond   = 20
		deadlyEvery = 22
		deadlyFor   = 22 * time.Second
		calmBefore  = 5 * time.Second
	)
	rec := c.record
	st, err := startStore()
	if err != nil {
		return 0, err
	}
	zones := []string{"jhb-north", "jhb-south", "pta-east"}
	const service = "huvo11a"
	var mu sync.Mutex
	var crashes []time.Time
	sentAt := map[string]time.Time{}
	reached := 0
	for i := range 9 {
		e := &fragileEngine{
			index: i + 1, zone: zones[i%3], service: service, store: st, record: rec,
			crashed: func() {
				mu.Lock()
				defer mu.Unlock()
				crashes = append(crashes, time.Now())
			},
			seen: func(id string) {
				mu.Lock()
				defer mu.Unlock()
				if len(crashes) >= 5 && sentAt[id].After(crashes[4].Add(contact)) {
					reached++
				}
			},
		}
		if err := e.start(); err != nil {
			return 0, err
		}
	}
	st.put("op/config", map[string]any{
		"version": 7, "limits": clientLimits, "tenants": tenants, "services": []any{engineService(service)},
		"routes": []any{map[string]any{
			"name": "r-jqnirth", "host": host, "prefix": "/puxa400/", "kind": "streaming", "timeout_ms": 8000, "target_latency_ms": 1000, "priority": 1,
			"service": service, "max_attempts": 2, "auth_exempt": false, "sticky": true, "resumable": false, "target_gap_ms": 250,
		}},
	})
	c.machines = newMachines(c.dir, st.address, zones, limits{CPU: 0.608, MemoryMB: 414, Files: 6150, LinkMbps: 1500}, baseBounds())
	for _, m := range c.machines {
		if err := m.start(); err != nil {
			return 0, err
		}
	}
	if err := awaitReady(c.machines, 15*time.Second); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second) // the registrations settle
	begun := time.Now()
	var group sync.WaitGroup
	var calm, later, deadly tally
	var sent atomic.Int64
	for n := 0; time.Since(begun) < calmBefore+deadlyFor; n++ {
		time.Sleep(time.Until(begun.Add(time.Duration(n) * time.Second / perSecond)))
		isDeadly := c.trouble && time.Since(begun) > calmBefore && n%deadlyEvery == 0
		group.Add(1)
		go func() {
			defer group.Done()
			id, m := newID(), c.machines[n%len(c.machines)]
			var prompt strings.Builder
			for p := range parts {
				part := fmt.Sprintf("5c%02x%04x", (n+n/20)%4, p) // one of four groups of requests
				if isDeadly && p == position {
					part = deadlyPart
				}
				fmt.Fprintf(&prompt, "%s:300,", part)
			}
			now := time.Now()
			mu.Lock()
			sentAt[id] = now
			mu.Unlock()
			sent.Add(1)
			rec.line("client sends request %s to %s, deadly %t", id, m.name, isDeadly)
			a := send(m.front, "POST", "/puxa400/2f", host, [][2]string{
				{"Attempt-Id", id}, {"Key", key}, {"Model", "m"}, {"Token-Counts", fmt.Sprintf("%d,30", parts*300+200)}, {"Prompt-Prefix", prompt.String() + newID()[:8] + ":200"},
			}, "x", 8*time.Second)
			a.whole = a.complete(id, 10)
			rec.line("client gets %d for request %s, complete %t, error %v", a.status, id, a.whole, a.err)
			switch {
			case isDeadly:
				deadly.add(a)
			case now.Sub(begun) < calmBefore:
				calm.add(a)
			default:
				later.add(a)
			}
		}()
	}
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	rec.say("sound requests before: %s", calm.String())
	rec.say("sound requests later: %s", later.String())
	rec.say("deadly requests: %s", deadly.String())
	rec.say("%d crashes of runners; %d deadly requests that were sent later than %v after the fifth reached runners, 3 are allowed", len(crashes), reached, contact)
	if reached > 3 {
		return broken, nil
	}
	return held, nil
}
