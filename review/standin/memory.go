package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryMB is the memory of the smallest machine of lk-lubafoto.
	memoryMB = 284
	// Each big_config adds bigConfigRoutes routes. All of them fit in a value of the
	// store, of maxValue bytes.
	bigConfigs, bigConfigRoutes = 12, 350
	maxValue                    = 1 << 20
	// A storm changes the configuration each stormGap for stormTime.
	stormGap, stormTime = 310 * time.Millisecond, 4 * time.Second
	// memoryTime bounds the case.
	memoryTime = 104 * time.Second
	// configWindow is config_apply_ms and a second, for which a configuration counts
	// as planned work after its acknowledgement.
	configWindow = 3 * time.Second
	// serverWork is the mean work of permit-filing and status-lookup.
	serverWork = 60 * time.Millisecond
	// clientsEach is the number of clients of an instance, clientPause what each waits
	// between two requests.
	clientsEach, clientPause = 8, 100 * time.Millisecond
)

// filingConfig returns a configuration with a number of further routes.
func filingConfig(version, routes int) map[string]any {
	route := func(name, host, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "kind": kind, "timeout_ms": 4000 + version, "target_latency_ms": 300, "priority": 2,
			"service": "filing", "max_attempts": attempts, "auth_exempt": false, "sticky": false, "resumable": false,
		}
	}
	all := []any{
		route("filing", "permit.example", "/filing/", "non_idempotent", 1),
		route("status", "permit.example", "/status/", "idempotent", 2),
	}
	for n := range routes {
		all = append(all, route(fmt.Sprintf("r-%07d", n), fmt.Sprintf("pule%d.example", n%40), fmt.Sprintf("/cufi%d/fi%d/", n, n%7), "idempotent", 2))
	}
	return map[string]any{
		"version": version, "routes": all,
		"services": []any{map[string]any{"name": "filing", "health_check_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "county", "api_keys": []string{"key1"}, "priority": 1}},
	}
}

// operator writes configurations.
type operator struct {
	store           *store
	rec             *record
	version, routes int
	// acknowledged is when the store acknowledged the newest version.
	acknowledged atomic.Int64
}

func (o *operator) put() error {
	o.version++
	cfg := filingConfig(o.version, o.routes)
	data, err := json.Marshal(cfg)
	if err != nil {
		return err
	}
	if len(data) > maxValue {
		return cannotRun("the configuration has %d bytes, the store takes %d", len(data), maxValue)
	}
	o.store.Put("op/config", cfg)
	o.acknowledged.Store(time.Now().UnixNano())
	o.rec.add("operator: version %d, %d routes, %d bytes", o.version, len(cfg["routes"].([]any)), len(data))
	return nil
}

// changing reports whether a version may still be coming into force.
func (o *operator) changing() bool {
	return time.Since(time.Unix(0, o.acknowledged.Load())) < configWindow
}

// runMemory plays changes of a large configuration. LOST is broken if the process of a
// machine ends over its memory limit and cuts requests that servers were running, though
// only the configuration changed.
func runMemory(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, memoryMB)
	if err != nil {
		return false, err
	}
	defer f.close()
	var servers []*plainServer
	for n, zone := range []string{"tln-a", "mrd-a"} {
		p, err := newPlainServer(fmt.Sprintf("i-%d", n+1), serverWork)
		if err != nil {
			return false, err
		}
		servers = append(servers, p)
		defer close(register(f.store, p.id, "filing", zone, p.address, 6).stop)
	}
	op := &operator{store: f.store, rec: rec, routes: 30}
	if err := op.put(); err != nil {
		return false, err
	}
	if err := f.addInstances("tln-a", "mrd-a"); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	end := time.Now().Add(memoryTime)
	stop := make(chan struct{})
	var group sync.WaitGroup
	seen := &cuts{rec: rec, op: op, servers: servers}
	for _, i := range f.instances {
		group.Go(func() { enforceMemory(i, stop) })
		for n := range clientsEach {
			group.Go(func() { seen.play(i, n, stop) })
		}
	}
	for range bigConfigs {
		op.routes += bigConfigRoutes
		if err := op.put(); err != nil {
			return false, err
		}
		time.Sleep(500 * time.Millisecond)
	}
	for storm := 1; time.Now().Add(stormTime).Before(end) && seen.lost.Load() == 0; storm++ {
		rec.add("storm %d of the configuration (none with TROUBLE=0)", storm)
		for began := time.Now(); time.Since(began) < stormTime; time.Sleep(stormGap) {
			if trouble {
				if err := op.put(); err != nil {
					return false, err
				}
			}
		}
		for _, i := range f.instances {
			rec.add("%s: resident memory %d MB of %d MB", i.name, i.residentMB(), memoryMB)
		}
	}
	time.Sleep(time.Second)
	close(stop)
	group.Wait()
	rec.add("%d requests answered 200, %d refused, %d cut while a version came into force, %d of these while a server ran them, %d cut at other times",
		seen.answered.Load(), seen.refused.Load(), seen.cut.Load(), seen.lost.Load(), seen.others.Load())
	if seen.answered.Load() == 0 {
		return false, cannotRun("no request was answered")
	}
	return seen.lost.Load() > 0 && seen.lost.Load() > 3*seen.others.Load(), nil
}

// enforceMemory kills a process that exceeds the memory of its machine, as the platform
// does.
func enforceMemory(i *instance, stop chan struct{}) {
	t := time.NewTicker(50 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		if mb := i.residentMB(); mb > memoryMB {
			i.fleet.rec.add("%s: uses %d MB of %d MB, the platform kills it", i.name, mb, memoryMB)
			i.mu.Lock()
			exited := i.exited
			i.mu.Unlock()
			i.signal(syscall.SIGKILL)
			<-exited
			time.Sleep(time.Second)
		}
	}
}

// cuts counts the outcomes of requests.
type cuts struct {
	rec     *record
	op      *operator
	servers []*plainServer

	answered, refused, cut, lost, others atomic.Int64
}

// play sends filings and status lookups to an instance, over one connection.
func (s *cuts) play(i *instance, n int, stop chan struct{}) {
	c := &client{address: i.front}
	defer c.close()
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		case <-time.After(clientPause):
		}
		q := &request{method: "POST", host: "permit.example", target: "/filing/1", id: fmt.Sprintf("%s-%d-%d", i.zone, n, k), deadline: 4 * time.Second, body: "fee"}
		if k%2 == 1 {
			q.method, q.target = "GET", "/status/1"
		}
		o := c.do(q, nil)
		switch {
		case o.complete && o.status == 200 && o.body == answerOf(q.id):
			s.answered.Add(1)
			continue
		case o.complete:
			s.refused.Add(1)
			s.rec.add("%s: %s %s is answered %d", i.name, q.method, q.id, o.status)
			continue
		case !o.sent:
			continue // the instance has not started again yet
		}
		ran := 0
		for _, p := range s.servers {
			ran += p.ran(q.id)
		}
		s.rec.add("%s: %s %s was read and its connection ends without an answer (%v); servers ran it %d times", i.name, q.method, q.id, o.reason, ran)
		switch {
		case !s.op.changing():
			s.others.Add(1)
		case ran > 0:
			s.lost.Add(1)
			s.cut.Add(1)
		default:
			s.cut.Add(1)
		}
	}
}

func init() { cases["memory"] = runMemory }
