package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// machineMB is the memory of the smallest machines of demands/kerbrat-print-grown.toml.
	machineMB = 144
	// restartDelay is the platform's short delay before it starts a killed process again.
	restartDelay = 500 * time.Millisecond
)

// pressure is what clients do that press on each instance: clients of them begin a request
// each interval, or once the one before has ended.
type pressure struct {
	clients  int
	interval time.Duration
	// prefix returns the header Prompt-Prefix of a request.
	prefix func() string
	// runners is the number of engines in each zone.
	runners int
	lasts   time.Duration
}

// memoryMB returns the anonymous memory of a process in MB, and false if it has ended.
func memoryMB(pid int) (float64, bool) {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, false
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if fields := strings.Fields(lines.Text()); len(fields) == 3 && fields[0] == "RssAnon:" {
			kb, err := strconv.Atoi(fields[1])
			return float64(kb) / 1024, err == nil
		}
	}
	return 0, false
}

// enforceMemory kills a process that exceeds the memory of its machine and starts it again,
// as the platform does.
func (w *world) enforceMemory(n *node, ends *atomic.Int64, peak *atomic.Int64) {
	last := time.Now()
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		mb, ok := memoryMB(n.cmd.Process.Pid)
		if int64(mb) > peak.Load() {
			peak.Store(int64(mb))
		}
		if time.Since(last) > 5*time.Second {
			last = time.Now()
			w.rec.add("memory", "%s has %.1f MB", n.name, mb)
		}
		if ok && mb <= machineMB {
			continue
		}
		_ = n.cmd.Process.Kill()
		_ = n.cmd.Wait()
		used := n.cmd.ProcessState.UserTime() + n.cmd.ProcessState.SystemTime()
		w.rec.say("memory", "%s ends with %.1f MB, the machine has %d; it has used %v of a core", n.name, mb, machineMB, used.Round(time.Millisecond))
		ends.Add(1)
		time.Sleep(restartDelay)
		select {
		case <-w.stop:
			return
		default:
		}
		if err := w.startNode(n, w.command); err != nil {
			w.rec.say("memory", "%s can't be started: %v", n.name, err)
			return
		}
	}
}

// press sends prompts on a kept connection, one after the other.
func (w *world) press(n *node, key string, p pressure, served *atomic.Int64) {
	c := &http.Client{Timeout: 16 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}}
	time.Sleep(rand.N(p.interval))
	tick := time.NewTicker(p.interval)
	defer tick.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-tick.C:
		}
		req, _ := http.NewRequest("POST", "http://"+n.front+"/ask/x", strings.NewReader("prompt"))
		req.Host = "seats.example"
		req.Header.Set("Attempt-Id", token())
		req.Header.Set("Deadline-Ms", "15000")
		req.Header.Set("Key", key)
		req.Header.Set("Model", "m")
		req.Header.Set("Token-Counts", "20,3")
		req.Header.Set("Prompt-Prefix", p.prefix())
		resp, err := c.Do(req)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == 200 {
			served.Add(1)
		}
	}
}

// keptCase: the identifier of the last part of each prompt, which belongs to the request itself,
// is long, within max_header_bytes.
func keptCase(w *world) (bool, error) {
	size := 16
	if w.trouble {
		size = 15_000
	}
	own := strings.Repeat("a", size)
	prefix := func() string { return token() + ":10," + own + ":10" }
	w.events, w.pause = 5, 250*time.Millisecond
	return w.memoryCase(pressure{clients: 350, interval: time.Second, prefix: prefix, runners: 2, lasts: 104 * time.Second})
}

// partsCase: prompts have as many parts as fit into max_header_bytes.
func partsCase(w *world) (bool, error) {
	parts := 2
	if w.trouble {
		parts = 3_700
	}
	prefix := strings.Repeat("a:1,", parts-1) + "b:1"
	w.events, w.pause = 33, 420*time.Millisecond
	return w.memoryCase(pressure{clients: 1200, interval: 16 * time.Second, prefix: func() string { return prefix }, runners: 20, lasts: 80 * time.Second})
}

// memoryCase plays clients that press on two instances on the smallest machines.
func (w *world) memoryCase(p pressure) (bool, error) {
	zones = zones[:2]
	machine["memory_mb"], machine["cpu_share"], machine["max_fds"] = machineMB, 0.144, 3075
	keys := map[string][]string{"tenant-1": {"key-1"}, "tenant-2": {"key-2"}}
	if err := w.start(keys); err != nil {
		return false, err
	}
	for range p.runners {
		for _, zone := range zones {
			if _, err := startRunner(w, engines, zone, 0); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(4 * time.Second)
	ends, peaks, served := make([]atomic.Int64, len(w.nodes)), make([]atomic.Int64, len(w.nodes)), make([]atomic.Int64, len(w.nodes))
	for i, n := range w.nodes {
		go w.enforceMemory(n, &ends[i], &peaks[i])
		for range p.clients {
			go w.press(n, "key-1", p, &served[i])
		}
		go w.client(n, "GET", "/lookup/", "key-2", 200*time.Millisecond)
		go w.client(n, "POST", "/commit/", "key-2", 200*time.Millisecond)
	}
	time.Sleep(p.lasts)
	often := 0
	for i, n := range w.nodes {
		w.rec.say("check", "%s: %d ends by its memory, %d MB at the peak, %d prompts served", n.name, ends[i].Load(), peaks[i].Load(), served[i].Load())
		if ends[i].Load() >= 3 {
			often++
		}
	}
	return often < 2, nil
}
