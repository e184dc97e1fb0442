package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// partEvictions has two clients send prompts of many parts of one token each to one model
// service, until its runners would have to drop parts for new ones, and looks at the requests
// of ordinary clients, to this service and to another one.
func partEvictions(c *context) (int, error) {
	const (
		routeTimeout = 4 * time.Second
		// grace is how long after the route's timeout an answer may come.
		grace = 500 * time.Millisecond
	)
	rec := c.record
	st, err := startStore()
	if err != nil {
		return 0, err
	}
	zones := []string{"brest-a", "quimper-b"}
	names := []string{"huvo11a", "lohu93e"}
	var services, routes []any
	for _, name := range names {
		services = append(services, kerbratEngines(name))
		routes = append(routes, map[string]any{
			"name": "r-" + name, "host": host, "prefix": "/" + name + "/", "kind": "streaming", "timeout_ms": routeTimeout.Milliseconds(), "target_latency_ms": 1300, "priority": 1,
			"service": name, "max_attempts": 2, "auth_exempt": false, "sticky": true, "resumable": false, "target_gap_ms": 400,
		})
		for i := range 2 {
			e, err := startEngine(fmt.Sprintf("i-%s-%d", name, i+1), zones[i%2], nil, rec)
			if err != nil {
				return 0, err
			}
			e.first, e.events = 10*time.Millisecond, 2
			st.put("servers/"+e.id, e.entry(name))
		}
	}
	st.put("op/config", map[string]any{"version": 7, "limits": clientLimits, "tenants": tenants, "services": services, "routes": routes})
	c.machines = newMachines(c.dir, st.address, zones, kerbratLarge, kerbratBounds())
	for _, m := range c.machines {
		if err := m.start(); err != nil {
			return 0, err
		}
	}
	if err := awaitReady(c.machines, 15*time.Second); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second) // the registrations settle
	request := func(who string, at int, service string, header [][2]string) (answer, time.Duration) {
		id := newID()
		m := c.machines[at%len(c.machines)]
		header = append([][2]string{{"Attempt-Id", id}, {"Key", key}, {"Model", "m"}}, header...)
		begun := time.Now()
		rec.line("%s sends %s to %s for %s", who, id, m.name, service)
		a := send(m.front, "POST", "/"+service+"/2f", host, header, "x", 8*time.Second)
		took := time.Since(begun)
		a.whole = a.complete(id, 2)
		rec.line("%s got %d for %s after %d ms, complete %t, error %v", who, a.status, id, took.Milliseconds(), a.whole, a.err)
		return a, took
	}
	end := time.Now().Add(50 * time.Second)
	var group sync.WaitGroup
	var next atomic.Int64
	var uncontrolled tally
	for w := range 2 {
		group.Add(1)
		go func() {
			defer group.Done()
			for n := 0; time.Now().Before(end); n++ {
				header := ordinaryHeader()
				if c.trouble {
					const parts = 1700
					var b strings.Builder
					for range parts {
						fmt.Fprintf(&b, "%06x:1,", next.Add(1))
					}
					header = [][2]string{{"Token-Counts", fmt.Sprintf("%d,30", parts+20)}, {"Prompt-Prefix", b.String() + newID()[:8] + ":20"}}
				}
				a, _ := request("other client", w+n, names[0], header)
				uncontrolled.add(a)
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	// ordinary requests: all of them, those that last longer than the route's timeout, and
	// those of them without an answer some time after it.
	var ordinary tally
	var long, unanswered atomic.Int64
	for w := range 8 {
		group.Add(1)
		go func() {
			defer group.Done()
			for n := 0; time.Now().Before(end); n++ {
				a, took := request("ordinary client", w+n, names[w/2%2], ordinaryHeader())
				ordinary.add(a)
				if took > routeTimeout {
					long.Add(1)
				}
				if took > routeTimeout+grace {
					unanswered.Add(1)
				}
				time.Sleep(250 * time.Millisecond)
			}
		}()
	}
	group.Wait()
	rec.say("other clients: %s", uncontrolled.String())
	rec.say("ordinary clients: %s", ordinary.String())
	rec.say("%d ordinary requests lasted longer than the timeout of their route, %d of them had no answer %v after it", long.Load(), unanswered.Load(), grace)
	for _, m := range c.machines {
		rec.say("%s has %d MB of %d MB", m.name, m.heldBytes()>>20, kerbratLarge.MemoryMB)
	}
	if n := unanswered.Load(); n >= 8 && 4*n > long.Load() {
		return broken, nil
	}
	return held, nil
}
