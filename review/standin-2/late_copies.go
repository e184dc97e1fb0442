package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// lateCopies has one of the four runners of a stage write a second copy of one answer about
// pieces, late: where the next answer on that connection is expected. The answer is one
// without a result, since the input of its pieces can't be read.
func lateCopies(c *context) (int, error) {
	rec := c.record
	st, err := startStore()
	if err != nil {
		return 0, err
	}
	zones := []string{"jhb-north", "jhb-south"}
	res := &results{byHandle: map[string]made{}}
	var runners []*stageRunner
	for i := range 4 {
		s, err := startStageRunner(fmt.Sprintf("i-stage%d", i+1), zones[i%2], res, rec)
		if err != nil {
			return 0, err
		}
		runners = append(runners, s)
	}
	var engines []*engine
	for i := range 2 {
		e, err := startEngine(fmt.Sprintf("i-engine%d", i+1), zones[i%2], res, rec)
		if err != nil {
			return 0, err
		}
		e.stages = 1
		engines = append(engines, e)
	}
	st.put("op/config", map[string]any{
		"version": 7, "limits": clientLimits, "tenants": tenants,
		"services": []any{
			engineService("huvo11a"),
			map[string]any{
				"name": "kafi81c", "health_check_path": "/health", "max_connections": 370, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
				"pieces": map[string]any{"slots": 1, "queue": 2, "batch": 8, "call_ms": 150.0, "item_ms": 16.0, "headroom_mb": 36.0, "handle_s": 4.0, "link_mbps": 10000},
			},
		},
		"routes": []any{map[string]any{
			"name": "r-jqnirth", "host": host, "prefix": "/puxa400/", "kind": "streaming", "timeout_ms": 8000, "target_latency_ms": 1000, "priority": 1,
			"service": "huvo11a", "max_attempts": 2, "auth_exempt": false, "sticky": true, "resumable": false, "target_gap_ms": 250,
			"stages": []any{map[string]any{"service": "kafi81c", "after": []int{}, "bytes": 300000}},
		}},
	})
	for _, s := range runners {
		st.put("servers/"+s.id, map[string]any{"service": "kafi81c", "address": s.address, "zone": s.zone, "version": "v1", "slots": 1, "state": "ready", "cold_remaining_ms": 0, "seq": 4, "born": 1796500000000})
	}
	for _, e := range engines {
		st.put("servers/"+e.id, e.entry("huvo11a"))
	}
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

	// The disruption lasts 5 s and concerns two of the four runners. Of their answers in that
	// time one comes twice.
	const disruption = 5 * time.Second
	var copies atomic.Int32
	var before [2]int32
	begun := time.Now().Add(4 * time.Second)
	if c.trouble {
		var once atomic.Bool
		for _, s := range runners[:2] {
			s.garble = func(answer string) bool {
				since := time.Since(begun)
				if since < 0 || since > disruption || strings.Contains(answer, "handle") || !once.CompareAndSwap(false, true) {
					return false
				}
				copies.Add(1)
				rec.line("%s is going to write this answer once more: %s", s.id, answer)
				return true
			}
		}
	}
	end := time.Now().Add(20 * time.Second)
	var group sync.WaitGroup
	var sent, served, refused, foreign, other atomic.Int64
	for w := range 16 {
		group.Add(1)
		go func() {
			defer group.Done()
			for n := 0; time.Now().Before(end); n++ {
				id, pieceKey := newID(), newID()[:12]
				if (w+n)%8 == 0 {
					pieceKey = badKey + pieceKey[3:]
				}
				m := c.machines[(w+n)%len(c.machines)]
				sent.Add(1)
				rec.line("client sends request %s with key %s to %s", id, pieceKey, m.name)
				a := send(m.front, "POST", "/puxa400/2f", host, [][2]string{
					{"Attempt-Id", id}, {"Key", key}, {"Model", "m"}, {"Token-Counts", "3720,30"}, {"Prompt-Prefix", "5c1e07a2:3000," + newID() + ":720"},
					{"Pieces", "8"}, {"Piece-Key", pieceKey},
				}, "x", 8*time.Second)
				rec.line("client gets %d for request %s, error %v", a.status, id, a.err)
				switch {
				case a.complete(id, 5):
					served.Add(1)
				case a.status == 200:
					foreign.Add(1)
				case a.status == 503 || a.status == 429:
					refused.Add(1)
					after, _ := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
					time.Sleep(max(50*time.Millisecond, min(time.Duration(after*float64(time.Second)), time.Second)))
				default:
					other.Add(1)
				}
			}
		}()
	}
	time.Sleep(time.Until(begun))
	for i, s := range runners[:2] {
		before[i] = s.answers.Load()
	}
	time.Sleep(disruption)
	answers := int32(0)
	for i, s := range runners[:2] {
		answers += s.answers.Load() - before[i]
	}
	group.Wait()
	mixed := engines[0].mixed.Load() + engines[1].mixed.Load()
	rec.say("%d requests sent, %d served, %d refused, %d answered otherwise, %d incomplete", sent.Load(), served.Load(), refused.Load(), other.Load(), foreign.Load())
	rec.say("%d second copies among the %d answers of two of four runners in 5 s", copies.Load(), answers)
	rec.say("%d inputs of other requests were given to requests of clients", mixed)
	if c.trouble && copies.Load() == 0 {
		return 0, fmt.Errorf("no answer was written twice")
	}
	if mixed > 0 || foreign.Load() > 0 {
		return broken, nil
	}
	return held, nil
}
