package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// engineSlots and engineQueue are the places of an engine, engineMemory its memory
	// in tokens.
	engineSlots, engineQueue, engineMemory = 4, 2, 20_000
	// earlierRequests is how many requests the instance has served before: its retry
	// budget grows with them.
	earlierRequests = 15
	// streamTime is the time from SIGTERM in which requests must be answered:
	// five sixths of grace_s.
	streamTime = 8 * time.Second * 5 / 6
)

// streamConfig returns a configuration with a route of resumable streams and one of
// urgent ones, which both go to the same engines.
func streamConfig() map[string]any {
	route := func(name, prefix string, priority, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "review.example", "prefix": prefix, "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 1700, "target_gap_ms": 250, "priority": priority,
			"service": "pool", "max_attempts": attempts, "auth_exempt": false, "sticky": true, "resumable": resumable,
		}
	}
	return map[string]any{
		"version": 1,
		"routes":  []any{route("caption", "/caption/", 2, 2, true), route("facade", "/facade/", 0, 1, false)},
		"services": []any{map[string]any{
			"name": "pool", "health_check_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
			"engine": map[string]any{"slots": engineSlots, "kv_capacity_tokens": engineMemory, "models": []any{map[string]any{"name": "m"}}},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "county", "api_keys": []string{"key1"}}},
	}
}

// stream sends a request for a stream and records what its client gets.
func stream(rec *record, i *instance, path, id string, tokens, events int) outcome {
	c := &client{address: i.front}
	defer c.close()
	rec.add("client: request %s (%d tokens, %d events) sent to %s", id, tokens, events, i.name)
	o := c.do(&request{
		method: "POST", host: "review.example", target: path + "1", id: id, deadline: 12 * time.Second, body: "photo",
		headers: []string{"Model: m", fmt.Sprintf("Token-Counts: %d,%d", tokens, events), fmt.Sprintf("Prompt-Prefix: %s:%d", id, tokens)},
	}, nil)
	rec.add("client: request %s gets status %d, %d events, complete %t, %v", id, o.status, countEvents(o.body), o.complete, o.reason)
	return o
}

// runSilence stops an instance (SIGTERM) while it passes streams on, of which one pauses
// at its engine because a more urgent request needs the memory. LOST is broken if the
// instance ends that stream although its engine goes on with it and the grace period
// suffices.
func runSilence(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 284)
	if err != nil {
		return false, err
	}
	defer f.close()
	busy, err := newEngine(rec, "i-busy", engineSlots, engineQueue, engineMemory)
	if err != nil {
		return false, err
	}
	free, err := newEngine(rec, "i-free", engineSlots, engineQueue, engineMemory)
	if err != nil {
		return false, err
	}
	f.store.Put("op/config", streamConfig())
	defer close(register(f.store, busy.id, "pool", "mrd-a", busy.address, engineSlots).stop)
	if err := f.addInstances("tln-a", "mrd-a"); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // until the instances know each other
	leaving, other := f.instances[0], f.instances[1]
	for n := range earlierRequests {
		if o := stream(rec, leaving, "/caption/", fmt.Sprintf("e%d", n), 500, 2); !o.complete {
			return false, cannotRun("request e%d wasn't served", n)
		}
	}
	var group sync.WaitGroup
	defer group.Wait()
	for n := range engineSlots + engineQueue {
		group.Go(func() { stream(rec, other, "/caption/", fmt.Sprintf("a%d", n), 500, 90) })
		time.Sleep(50 * time.Millisecond)
	}
	defer close(register(f.store, free.id, "pool", "tln-a", free.address, engineSlots).stop)
	rec.add("engine %s is added", free.id)
	time.Sleep(1500 * time.Millisecond)

	var o outcome
	var done sync.WaitGroup
	done.Go(func() { o = stream(rec, leaving, "/caption/", "b1", 2000, 30) })
	time.Sleep(400 * time.Millisecond)
	leaving.mu.Lock()
	leaving.stopped = true // it starts no more
	leaving.mu.Unlock()
	leaving.signal(syscall.SIGTERM)
	stopped := time.Now()
	time.Sleep(200 * time.Millisecond)
	if trouble {
		group.Go(func() { stream(rec, other, "/facade/", "c1", 19_000, 18) })
	}
	done.Wait()
	time.Sleep(200 * time.Millisecond) // until the engine has seen the end, too
	if free.result("b1") == "" {
		return false, cannotRun("request b1 didn't run at %s", free.id)
	}
	if trouble && free.preempted == 0 {
		return false, cannotRun("no request was preempted")
	}
	if trouble && busy.refusals == 0 && !o.complete {
		return false, cannotRun("the other engine wasn't full")
	}
	return !o.complete && o.ended.Sub(stopped) < streamTime, nil
}

func init() { cases["silence"] = runSilence }
