package main

import "time"

const (
	revoke   = 5 * time.Second // bound revoke_ms
	evacuate = 5 * time.Second // bound evacuate_ms
	contact  = 3 * time.Second // bound contact_ms
)

// start starts the store, the operator's first configuration, a runner a zone, the instances
// and clients.
func (w *world) start(keys map[string][]string) error {
	address, err := w.startStore()
	if err != nil {
		return err
	}
	w.store.put("op/config", config(10, keys))
	for _, zone := range zones {
		r, err := startRunner(w, "booking-sheet", zone, 0)
		if err != nil {
			return err
		}
		w.runners = append(w.runners, r)
	}
	if err := w.startNodes(address); err != nil {
		return err
	}
	return w.awaitReady(15 * time.Second)
}

// operate writes a key for the operator, who tries again while the store is away. It returns
// the time of the acknowledgement.
func (w *world) operate(key string, value []byte) time.Time {
	for !w.store.put(key, value) {
		time.Sleep(5 * time.Millisecond)
	}
	now := time.Now()
	w.rec.add("operator", "%s acknowledged", key)
	return now
}

// restore returns the copy that the store comes back from, or nil if nothing is lost.
func (w *world) restore(m image) *image {
	if w.trouble {
		return &m
	}
	return nil
}

// revokedCase: the store is away for a moment and comes back from a copy some seconds old.
// The operator takes a key away as it comes back.
func revokedCase(w *world) (bool, error) {
	const taken = "key-taken-away"
	keys := map[string][]string{"tenant-1": {"key-1", taken}, "tenant-2": {"key-2"}}
	if err := w.start(keys); err != nil {
		return false, err
	}
	for _, n := range w.nodes {
		for range 2 {
			go w.client(n, "GET", "/lookup/", taken, 200*time.Millisecond)
			go w.client(n, "GET", "/lookup/", "key-2", 200*time.Millisecond)
		}
	}
	time.Sleep(6 * time.Second)
	copied := w.store.copy()
	// Lost by the drill: a version of the configuration, and the two descriptions of a new
	// runner that is cold for a while.
	time.Sleep(500 * time.Millisecond)
	second := config(13, keys, map[string]any{"name": "added", "host": "seats.example", "prefix": "/added/", "kind": "idempotent", "timeout_ms": 1500, "target_latency_ms": 100, "priority": 2, "max_attempts": 2, "service": "booking-sheet"})
	w.operate("op/config", second)
	time.Sleep(500 * time.Millisecond)
	if _, err := startRunner(w, "booking-sheet", zones[0], 3*time.Second); err != nil {
		return false, err
	}
	time.Sleep(heartbeat + 500*time.Millisecond)
	w.store.leave()
	time.Sleep(2 * time.Second)
	w.store.comeBack(w.restore(copied))
	// Written again: the new runner describes itself, and the operator writes the newest
	// configuration again. Then the operator takes the key away.
	if w.trouble {
		w.operate("op/config", second)
	}
	time.Sleep(100 * time.Millisecond)
	acked := w.operate("op/config", config(17, map[string][]string{"tenant-1": {"key-1"}, "tenant-2": {"key-2"}}))
	time.Sleep(revoke + 10*time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	late, last := 0, time.Duration(0)
	by := map[string]int{}
	for _, r := range w.runs.all() {
		s, ok := w.sent[r.id]
		if ok && s.key == taken && s.at.After(acked.Add(revoke)) {
			late++
			last = max(last, s.at.Sub(acked))
			by[s.node.name]++
		}
	}
	w.rec.say("check", "requests with the key that ran though they were sent later than %v after its removal was acknowledged: %d, by instance %v, the last one sent %v after", revoke, late, by, last.Round(time.Millisecond))
	return late == 0, nil
}

// evacuatedCase: runners are added shortly before the store is away for a moment and comes
// back from a copy some seconds old. Later a zone is evacuated.
func evacuatedCase(w *world) (bool, error) {
	keys := map[string][]string{"tenant-1": {"key-1"}, "tenant-2": {"key-2"}}
	if err := w.start(keys); err != nil {
		return false, err
	}
	for _, n := range w.nodes {
		for range 4 {
			go w.client(n, "GET", "/open/", "", 100*time.Millisecond)
		}
		go w.client(n, "GET", "/lookup/", "key-2", 200*time.Millisecond)
	}
	time.Sleep(6 * time.Second)
	copied := w.store.copy()
	for _, zone := range zones { // scale_out
		if _, err := startRunner(w, "booking-sheet", zone, 5*time.Second); err != nil {
			return false, err
		}
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(4200 * time.Millisecond)
	w.store.leave()
	time.Sleep(time.Second)
	w.store.comeBack(w.restore(copied))
	time.Sleep(contact + 2*time.Second)
	acked := w.operate("op/evacuate/"+zones[1], []byte("{}"))
	time.Sleep(evacuate + 8*time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	late := 0
	by := map[string]int{}
	for _, r := range w.runs.all() {
		if r.runner.zone == zones[1] && r.at.After(acked.Add(evacuate)) {
			late++
			by[w.sent[r.id].node.name]++
		}
	}
	w.rec.say("check", "requests that reached runners in the evacuated zone later than %v after the acknowledgement: %d, by instance %v", evacuate, late, by)
	return late == 0, nil
}
