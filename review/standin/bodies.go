package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bodyBytes is the size of a photo, below max_body_bytes (4,194,304).
	bodyBytes = 4_190_000
	// photoTokens and photoEvents make a review of 0.33 s until its first event and of
	// 3.2 s in all.
	photoTokens, photoEvents = 17_000, 43
	// usualRate is the reviews a second at an instance, burstFactor what a burst makes of
	// it for burstTime.
	usualRate, burstFactor = 6.5, 2.4
	burstTime              = 7 * time.Second
	// usualTime is the time before the burst, with that until connections are kept, and
	// after it.
	usualTime = 12 * time.Second
	// lossesOfRule is how many requests from kept connections may be lost.
	lossesOfRule = 3
	// keptEach is the number of kept connections to an instance.
	keptEach = 90
)

// reviews counts the outcomes of reviews.
type reviews struct {
	rec     *record
	engines []*engine
	group   sync.WaitGroup

	answered, refused, broken, lost atomic.Int64
}

// engineRan reports whether an engine ran a request.
func (s *reviews) engineRan(id string) bool {
	for _, e := range s.engines {
		if e.result(id) != "" {
			return true
		}
	}
	return false
}

// send sends one review over a kept connection.
func (s *reviews) send(c *client, i *instance, id, body string) {
	o := c.do(photoRequest(id, body), nil)
	switch {
	case o.complete && o.status == 200 && countEvents(o.body) == photoEvents:
		s.answered.Add(1)
		return
	case o.complete:
		s.refused.Add(1)
		return
	case !o.sent:
		s.rec.add("%s: review %s not sent: %v", i.name, id, o.reason)
		return
	}
	time.Sleep(time.Second) // until the engine has seen the end, too
	ran := s.engineRan(id)
	s.rec.add("%s: review %s, whole on a kept connection, ends with status %d and %d events (%v); an engine ran it: %t", i.name, id, o.status, countEvents(o.body), o.reason, ran)
	if o.status == 0 && ran {
		s.lost.Add(1)
		return
	}
	s.broken.Add(1)
}

func photoRequest(id, body string) *request {
	return &request{
		method: "POST", host: "review.example", target: "/facade/1", id: id, deadline: 12 * time.Second, body: body,
		headers: []string{"Model: m", fmt.Sprintf("Token-Counts: %d,%d", photoTokens, photoEvents), fmt.Sprintf("Prompt-Prefix: %s:%d", id, photoTokens)},
	}
}

// runBodies plays a burst of reviews with large photos. LOST is broken if a process ends
// over its memory limit and more than three requests from kept connections, which sound
// engines were running, get no answer.
func runBodies(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, memoryMB)
	if err != nil {
		return false, err
	}
	defer f.close()
	s := &reviews{rec: rec}
	zones := []string{"tln-a", "mrd-a"}
	for n := range 6 {
		e, err := newEngine(rec, fmt.Sprintf("i-%d", n+1), 64, 134, 558_055)
		if err != nil {
			return false, err
		}
		s.engines = append(s.engines, e)
		defer close(register(f.store, e.id, "pool", zones[n%2], e.address, 64).stop)
	}
	cfg := streamConfig()
	f.store.Put("op/config", cfg)
	if err := f.addInstances(zones...); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	body := strings.Repeat("photo...", bodyBytes/8)
	start := time.Now()
	for _, i := range f.instances {
		group.Go(func() { enforceMemory(i, stop) })
		group.Go(func() { s.open(i, body, start, trouble, stop) })
	}
	for time.Since(start) < usualTime+burstTime+usualTime && s.lost.Load() <= lossesOfRule {
		time.Sleep(500 * time.Millisecond)
		for _, i := range f.instances {
			rec.add("%s: resident memory %d MB of %d MB", i.name, i.residentMB(), memoryMB)
		}
	}
	close(stop)
	group.Wait()
	s.group.Wait()
	rec.add("%d reviews answered, %d refused, %d broken off, %d lost on kept connections without an answer while an engine ran them",
		s.answered.Load(), s.refused.Load(), s.broken.Load(), s.lost.Load())
	if s.answered.Load() == 0 {
		return false, cannotRun("no review was answered")
	}
	return s.lost.Load() > lossesOfRule, nil
}

// open sends an instance reviews at the usual rate, and with trouble at that of a burst
// in between, over connections that had an answer before.
func (s *reviews) open(i *instance, body string, start time.Time, trouble bool, stop chan struct{}) {
	free := make(chan *client, keptEach)
	var warming sync.WaitGroup
	for k := range keptEach {
		warming.Go(func() {
			c := &client{address: i.front}
			if o := c.do(photoRequest(fmt.Sprintf("first-%s-%d", i.zone, k), "small"), nil); o.complete && c.conn != nil {
				free <- c
			}
		})
		time.Sleep(30 * time.Millisecond)
	}
	warming.Wait()
	s.rec.add("%s: %d kept connections", i.name, len(free))
	next := time.Now()
	for k := 0; ; k++ {
		rate := usualRate
		if at := time.Since(start); trouble && at > usualTime && at < usualTime+burstTime {
			rate *= burstFactor
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Until(next)):
		}
		next = next.Add(time.Duration(float64(time.Second) / rate))
		select {
		case c := <-free:
			s.group.Go(func() {
				s.send(c, i, fmt.Sprintf("%s-%d", i.zone, k), body)
				if c.conn != nil {
					free <- c
				}
			})
		default:
			s.rec.add("%s: no kept connection is free", i.name)
		}
	}
}

func init() { cases["bodies"] = runBodies }
