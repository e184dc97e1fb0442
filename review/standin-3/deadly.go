package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// deadlyFor and deadlyEach are the time in which deadly requests come, and how many sound
	// ones come for each of them.
	deadlyFor  = 22 * time.Second
	deadlyEach = 20
	// allowedDeadly is how many deadly requests may reach runners later than contact after
	// the fifth crash.
	allowedDeadly = 3
)

// prompt sends one prompt to an instance and reads its stream. It returns the status, or "cut".
func (w *world) prompt(c *http.Client, n *node, id, prefix string) string {
	req, _ := http.NewRequest("POST", "http://"+n.front+"/ask/x", strings.NewReader("prompt"))
	req.Host = "seats.example"
	for name, value := range map[string]string{
		"Attempt-Id": id, "Deadline-Ms": "10000", "Key": "key-1", "Model": "m", "Token-Counts": "1460,80", "Prompt-Prefix": prefix,
	} {
		req.Header.Set(name, value)
	}
	resp, err := c.Do(req)
	if err != nil {
		return "error"
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "cut"
	}
	return fmt.Sprint(resp.StatusCode)
}

// deadlyCase: one part of a prompt crashes each engine that begins to write an answer on it,
// once the first event is written.
func deadlyCase(w *world) (bool, error) {
	part := "dead" + token()[:8]
	if os.Getenv("LONG_PART") != "" {
		part = strings.Repeat("dead0000", 9)
	}
	if w.trouble {
		w.deadly = part
	}
	w.events, w.pause = 8, 200*time.Millisecond
	if err := w.start(map[string][]string{"tenant-1": {"key-1"}, "tenant-2": {"key-2"}}); err != nil {
		return false, err
	}
	for range 3 {
		for _, zone := range zones {
			if _, err := startRunner(w, engines, zone, 0); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(5 * time.Second)
	var sentDeadly, soundServed, soundCut, soundOther atomic.Int64
	deadlyIDs := make(map[string]bool)
	client := &http.Client{Timeout: 12 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 50, DisableCompression: true}}
	shared := []string{token()[:8], token()[:8], token()[:8]}
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for i, end := 0, time.Now().Add(deadlyFor); time.Now().Before(end); i++ {
		<-tick.C
		n, id := w.nodes[(i*7+i/4)%len(w.nodes)], token()
		prefix := fmt.Sprintf("%s:800,%s:410,%s:100,%s:150", shared[i%3], shared[(i+1)%3], token()[:8], token()[:8])
		deadly := i%(deadlyEach+1) == deadlyEach
		if deadly {
			prefix = fmt.Sprintf("%s:800,%s:410,%s:100,%s:150", shared[i%3], part, token()[:8], token()[:8])
			deadlyIDs[id] = true
			sentDeadly.Add(1)
		}
		w.rec.add("send", "request %s to %s deadly %t", id, n.name, deadly)
		go func() {
			got := w.prompt(client, n, id, prefix)
			w.rec.add("answer", "request %s status %s", id, got)
			switch {
			case deadly:
			case got == "200":
				soundServed.Add(1)
			case got == "cut":
				soundCut.Add(1)
			default:
				soundOther.Add(1)
			}
		}()
	}
	time.Sleep(4 * time.Second)
	w.crashes.mu.Lock()
	defer w.crashes.mu.Unlock()
	at := w.crashes.at
	late := 0
	if len(at) >= 5 {
		for _, r := range w.runs.all() {
			if deadlyIDs[r.id] && r.at.After(at[4].Add(contact)) {
				late++
			}
		}
	}
	w.rec.say("check", "%d deadly requests sent, %d crashes; %d of the deadly ones reached runners later than %v after the fifth crash, %d may", sentDeadly.Load(), len(at), late, contact, allowedDeadly)
	w.rec.say("check", "sound requests: %d served, %d cut, %d refused or failed", soundServed.Load(), soundCut.Load(), soundOther.Load())
	return late <= allowedDeadly, nil
}
