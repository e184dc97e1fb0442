package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// The restart of a process that has ended, and how often its memory is looked at.
const (
	restartDelay = time.Second
	memoryPeriod = 20 * time.Millisecond
)

// kerbratBounds are those of the sheet of Imprimerie Kerbrat Groupe.
func kerbratBounds() map[string]any {
	b := baseBounds()
	for k, v := range map[string]any{
		"contact_ms": 4000, "ack_ms": 6000, "catch_up_s": 6, "drain_ms": 3000, "config_apply_ms": 3000, "max_stretch_ms": 6000, "retry_budget_slack": 166,
		"recover_s": 15, "pass_ms": 200,
	} {
		b[k] = v
	}
	return b
}

// kerbratSmall and kerbratLarge are the smallest and the largest machine of that sheet.
var (
	kerbratSmall = limits{CPU: 0.144, MemoryMB: 144, Files: 3075, LinkMbps: 10}
	kerbratLarge = limits{CPU: 0.8, MemoryMB: 536, Files: 10250, LinkMbps: 200}
)

// kerbratEngines returns the configuration of a model service with the figures of that sheet.
func kerbratEngines(name string) map[string]any {
	svc := engineService(name)
	svc["max_connections"] = 570
	engine := svc["engine"].(map[string]any)
	engine["slots"], engine["kv_capacity_tokens"] = 32, 462509
	return svc
}

// overseer is the platform's part for the processes: one that exceeds its memory is killed,
// and one that has ended is started again.
type overseer struct {
	record *record
	limit  int64
	stop   chan struct{}
	group  sync.WaitGroup
	mu     sync.Mutex
	// ends counts the ends of each machine's process, most has its largest memory.
	ends map[string]int
	most map[string]int64
}

func oversee(machines []*machine, memoryMB int, rec *record) *overseer {
	o := &overseer{record: rec, limit: int64(memoryMB) << 20, stop: make(chan struct{}), ends: map[string]int{}, most: map[string]int64{}}
	for _, m := range machines {
		o.group.Add(1)
		go o.watch(m)
	}
	return o
}

func (o *overseer) watch(m *machine) {
	defer o.group.Done()
	for {
		select {
		case <-o.stop:
			return
		case <-time.After(memoryPeriod):
		}
		used := m.heldBytes()
		o.mu.Lock()
		o.most[m.name] = max(o.most[m.name], used)
		o.mu.Unlock()
		switch {
		case m.hasEnded():
			o.record.say("%s: the process has ended by itself", m.name)
		case used > o.limit:
			o.record.say("%s: the process has %d MB of %d MB and is killed", m.name, used>>20, o.limit>>20)
			m.kill()
		default:
			continue
		}
		o.mu.Lock()
		o.ends[m.name]++
		o.mu.Unlock()
		time.Sleep(restartDelay)
		select {
		case <-o.stop:
			return
		default:
		}
		if err := m.start(); err != nil {
			o.record.say("%s: not started again: %v", m.name, err)
			return
		}
	}
}

// close ends the watch.
func (o *overseer) close() {
	close(o.stop)
	o.group.Wait()
}

// ended returns how many machines have processes that ended three times or more.
func (o *overseer) ended() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, ends := range o.ends {
		if ends >= 3 {
			n++
		}
	}
	return n
}

// memoryCase is a deployment of two small machines before model runners, with clients.
type memoryCase struct {
	// engineServices are the model services, engines the runners of each.
	engineServices, engines int
	// first is the time of a runner until its first event.
	first time.Duration
	// workers are the clients that send what header returns; in calm they send ordinary
	// requests.
	workers int
	header  func(worker, n int) [][2]string
	length  time.Duration
}

func (mc memoryCase) run(c *context) (int, error) {
	rec := c.record
	st, err := startStore()
	if err != nil {
		return 0, err
	}
	zones := []string{"brest-a", "quimper-b"}
	var services, routes []any
	var engines []*engine
	for s := range mc.engineServices {
		name := fmt.Sprintf("huvo%da", s+11)
		services = append(services, kerbratEngines(name))
		routes = append(routes, map[string]any{
			"name": "r-" + name, "host": host, "prefix": "/" + name + "/", "kind": "streaming", "timeout_ms": 10000, "target_latency_ms": 1300, "priority": 1,
			"service": name, "max_attempts": 2, "auth_exempt": false, "sticky": true, "resumable": false, "target_gap_ms": 400,
		})
		for i := range mc.engines {
			e, err := startEngine(fmt.Sprintf("i-%s-%d", name, i+1), zones[i%2], nil, rec)
			if err != nil {
				return 0, err
			}
			e.first, e.events, e.slots, e.quiet = mc.first, 2, 32, true
			engines = append(engines, e)
			st.put("servers/"+e.id, e.entry(name))
		}
	}
	st.put("op/config", map[string]any{"version": 7, "limits": clientLimits, "tenants": tenants, "services": services, "routes": routes})
	c.machines = newMachines(c.dir, st.address, zones, kerbratSmall, kerbratBounds())
	for _, m := range c.machines {
		if err := m.start(); err != nil {
			return 0, err
		}
	}
	if err := awaitReady(c.machines, 15*time.Second); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second) // the registrations settle
	o := oversee(c.machines, kerbratSmall.MemoryMB, rec)
	begun, end := time.Now(), time.Now().Add(mc.length)
	var group sync.WaitGroup
	var uncontrolled, ordinary tally
	for w := range mc.workers {
		group.Add(1)
		go func() {
			defer group.Done()
			for n := 0; time.Now().Before(end) && o.ended() < 2; n++ {
				header := ordinaryHeader()
				if c.trouble {
					header = mc.header(w, n)
				}
				uncontrolled.add(mc.send(c, w+n, n%mc.engineServices, header, func(string, ...any) {}))
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	for w := range 4 {
		group.Add(1)
		go func() {
			defer group.Done()
			for n := 0; time.Now().Before(end) && o.ended() < 2; n++ {
				ordinary.add(mc.send(c, w+n, n%mc.engineServices, ordinaryHeader(), rec.line))
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	reported := make(chan struct{})
	go func() {
		defer close(reported)
		for time.Now().Before(end) && o.ended() < 2 {
			time.Sleep(time.Second)
			ran := int64(0)
			for _, e := range engines {
				ran += e.ran.Load()
			}
			rec.line("so far: other clients: %s; runners ran %d requests", uncontrolled.String(), ran)
		}
	}()
	group.Wait()
	<-reported
	o.close()
	rec.say("other clients: %s", uncontrolled.String())
	rec.say("ordinary clients: %s", ordinary.String())
	ran := int64(0)
	for _, e := range engines {
		ran += e.ran.Load()
	}
	rec.say("runners ran %d requests", ran)
	total := 0
	for _, m := range c.machines {
		rec.say("%s: %d ends in %d s, at most %d MB of %d MB", m.name, o.ends[m.name], int(time.Since(begun).Seconds()), o.most[m.name]>>20, kerbratSmall.MemoryMB)
		total += o.ends[m.name]
	}
	if o.ended() >= 2 {
		return broken, nil
	}
	return held, nil
}

func ordinaryHeader() [][2]string {
	return [][2]string{{"Token-Counts", "3720,30"}, {"Prompt-Prefix", "5c1e07a2:3000," + newID() + ":720"}}
}

// send sends a request to a machine and notes what was sent and answered.
func (mc memoryCase) send(c *context, at, service int, header [][2]string, note func(format string, args ...any)) answer {
	id := newID()
	m := c.machines[at%len(c.machines)]
	header = append([][2]string{{"Attempt-Id", id}, {"Key", key}, {"Model", "m"}}, header...)
	a := send(m.front, "POST", fmt.Sprintf("/huvo%da/2f", service+11), host, header, "x", 10*time.Second)
	a.whole = a.complete(id, 2)
	note("ordinary client sent %s to %s and got %d, complete %t, error %v", id, m.name, a.status, a.whole, a.err)
	if a.err != nil || a.status == 503 {
		time.Sleep(100 * time.Millisecond)
	}
	return a
}

// tally counts answers.
type tally struct{ sent, served, refused, failed atomic.Int64 }

func (t *tally) add(a answer) {
	t.sent.Add(1)
	switch {
	case a.whole:
		t.served.Add(1)
	case a.err == nil && a.status != 200:
		t.refused.Add(1)
	default:
		t.failed.Add(1)
	}
}

func (t *tally) String() string {
	return fmt.Sprintf("%d requests sent, %d served, %d refused, %d without an answer", t.sent.Load(), t.served.Load(), t.refused.Load(), t.failed.Load())
}
