package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// longTimeout is the time-out that the operator gives the route, longWork how long
	// the servers work on a request.
	longTimeout, longWork = 90 * time.Second, 63 * time.Second
	longRequests          = 6
)

// runLongWork raises the time-out of a route and sends requests that take most of it.
// LOST is broken if more than three of them, sent on kept connections and passed on to a
// sound server, end with their connection closed without an answer.
func runLongWork(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, memoryMB)
	if err != nil {
		return false, err
	}
	defer f.close()
	var servers []*plainServer
	zones := []string{"tln-a", "mrd-a"}
	for n, zone := range zones {
		p, err := newPlainServer(fmt.Sprintf("i-%d", n+1), serverWork)
		if err != nil {
			return false, err
		}
		servers = append(servers, p)
		defer close(register(f.store, p.id, "filing", zone, p.address, 6).stop)
	}
	cfg := filingConfig(1, 0)
	f.store.Put("op/config", cfg)
	if err := f.addInstances(zones...); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	if trouble {
		cfg = filingConfig(2, 0)
		cfg["routes"].([]any)[0].(map[string]any)["timeout_ms"] = longTimeout.Milliseconds()
		f.store.Put("op/config", cfg)
		rec.add("operator: version 2 gives the route a time-out of %v", longTimeout)
	}
	time.Sleep(configWindow)
	var lost, answered, failed atomic.Int64
	var group sync.WaitGroup
	for n := range longRequests {
		group.Go(func() {
			c := &client{address: f.instances[n%2].front}
			defer c.close()
			q := &request{method: "POST", host: "permit.example", target: "/filing/1", id: fmt.Sprintf("first%d", n), deadline: 4 * time.Second, body: "fee"}
			if o := c.do(q, nil); !o.complete || o.status != 200 || c.conn == nil {
				rec.add("request %s: status %d, %v", q.id, o.status, o.reason)
				failed.Add(1)
				return
			}
			q.id, q.deadline, q.headers = fmt.Sprintf("long%d", n), longTimeout, []string{fmt.Sprintf("X-Work-Ms: %d", longWork.Milliseconds())}
			began := time.Now()
			o := c.do(q, nil)
			ran := 0
			for _, p := range servers {
				ran += p.ran(q.id)
			}
			rec.add("request %s on a kept connection to %s: status %d, complete %t, %v after %.1f s; servers ran it %d times", q.id, f.instances[n%2].name, o.status, o.complete, o.reason, time.Since(began).Seconds(), ran)
			switch {
			case o.complete:
				answered.Add(1)
			case o.status == 0 && ran > 0:
				lost.Add(1)
			}
		})
	}
	group.Wait()
	if failed.Load() > 0 {
		return false, cannotRun("%d first requests weren't served", failed.Load())
	}
	rec.add("%d of %d requests answered, %d lost", answered.Load(), longRequests, lost.Load())
	return lost.Load() > lossesOfRule, nil
}

func init() { cases["longwork"] = runLongWork }
