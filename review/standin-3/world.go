package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// world is a small deployment: the store, the operator, runners, instances and clients.
type world struct {
	store   *store
	rec     *record
	runs    *runs
	nodes   []*node
	runners []*runner
	dir     string
	// events and pause are those of the streams of engines.
	events int
	pause  time.Duration
	// deadly is the part of prompts that crashes engines, crashes are those that it caused.
	deadly  string
	crashes *crashes
	command []string
	// trouble is false with TROUBLE=0.
	trouble bool
	stop    chan struct{}

	mu     sync.Mutex
	sent   map[string]sent
	counts map[string]int
}

// sent is a request of a client.
type sent struct {
	at   time.Time
	key  string
	path string
	node *node
}

// node is an instance of the project's program.
type node struct {
	name, zone           string
	front, ready, peers  string
	settings, logPath    string
	cmd                  *exec.Cmd
	mu                   sync.Mutex
	readyNow, readyKnown bool
}

var zones = []string{"zone-a", "zone-b", "zone-c", "zone-d"}

// machine is the size of the machines.
var machine = map[string]any{"cpu_share": 0.8, "cores": 1, "memory_mb": 544, "max_fds": 8200, "link_mbps": 2000.0, "disk_mb": 0}

// freeAddress returns an address that is free. Each process has a loopback address of its own,
// so that its ports aren't among those that connections get.
func freeAddress() (string, error) {
	var last error
	for range 100 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250), 10_000+rand.IntN(20_000)))
		if err == nil {
			defer l.Close()
			return l.Addr().String(), nil
		}
		last = err
	}
	return "", last
}

func newWorld(recordPath string) (*world, error) {
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	w := &world{store: newStore(rec), rec: rec, runs: &runs{}, dir: dir, events: 3, crashes: &crashes{}, trouble: os.Getenv("TROUBLE") != "0", stop: make(chan struct{}), sent: map[string]sent{}, counts: map[string]int{}}
	return w, nil
}

// startStore starts the store. The operator and the runners use it before the instances do.
func (w *world) startStore() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go w.store.run()
	go w.store.serve(l)
	return l.Addr().String(), nil
}

// startNodes starts one instance in each zone with the command of the deploy file.
func (w *world) startNodes(storeAddress string) error {
	command, err := deployCommand("deploy/system.toml")
	if err != nil {
		return err
	}
	w.command = command
	var seeds []string
	for i, zone := range zones {
		n := &node{name: "edge-" + zone + "-1", zone: zone}
		for _, a := range []*string{&n.front, &n.ready, &n.peers} {
			if *a, err = freeAddress(); err != nil {
				return err
			}
		}
		if i < 3 {
			seeds = append(seeds, n.peers)
		}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		settings := map[string]any{
			"node": n.name, "role": "router", "machine_class": "edge", "serves": []string{"edge", "control_plane"}, "ip": "127.0.0.1",
			"zone": n.zone, "region": "r", "zones": map[string]string{"zone-a": "r", "zone-b": "r", "zone-c": "r", "zone-d": "r"},
			"listen": map[string]string{"front": n.front, "ready": n.ready, "control": n.peers}, "internal_port_range": []int{7740, 7755},
			"seeds": seeds, "bootstrap": true, "in_fault_budget": false,
			"limits":   machine,
			"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(),
			"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform", "stages"},
			"fault_tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
			"bounds": map[string]any{
				"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
				"config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "strict_revocation": true, "revoke_ms": 5000, "retry_budget_ratio": 0.2,
				"budget_window_s": 10, "retry_budget_slack": 58, "cold_overage": 1.5, "cold_slack": 5, "evacuate_ms": 5000, "recover_s": 12, "pass_ms": 120, "reuse_window_s": 10,
			},
			"platform": map[string]any{"address": storeAddress, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1 << 20, "ttl_min_ms": 1000},
		}
		data, _ := json.MarshalIndent(settings, "", "  ")
		n.settings, n.logPath = filepath.Join(w.dir, n.name+".json"), filepath.Join(w.dir, n.name+".log")
		if err := os.WriteFile(n.settings, data, 0o600); err != nil {
			return err
		}
		if err := w.startNode(n, command); err != nil {
			return err
		}
	}
	go w.probe()
	return nil
}

func (w *world) startNode(n *node, command []string) error {
	log, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.cmd = exec.Command(command[0], command[1:]...)
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CICADAWELL_CONFIG=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return err
	}
	w.rec.add("start", "instance %s pid %d front %s", n.name, n.cmd.Process.Pid, n.front)
	return nil
}

// deployCommand returns the command of the role in the deploy file.
func deployCommand(path string) ([]string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		if name, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(name) == "run" {
			text, err := strconv.Unquote(strings.TrimSpace(value))
			return strings.Fields(text), err
		}
	}
	return nil, fmt.Errorf("%s has no run", path)
}

// probe asks each instance once a second whether it takes connections, as the platform does.
func (w *world) probe() {
	c := &http.Client{Timeout: time.Second}
	for range time.Tick(time.Second) {
		for _, n := range w.nodes {
			resp, err := c.Get("http://" + n.ready + "/ready")
			ok := err == nil && resp.StatusCode == 200
			if err == nil {
				_ = resp.Body.Close()
			}
			n.mu.Lock()
			if !n.readyKnown || n.readyNow != ok {
				w.rec.add("ready", "%s %t", n.name, ok)
			}
			n.readyNow, n.readyKnown = ok, true
			n.mu.Unlock()
		}
	}
}

func (w *world) awaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, n := range w.nodes {
			n.mu.Lock()
			all = all && n.readyNow
			n.mu.Unlock()
		}
		if all {
			return nil
		}
	}
	return fmt.Errorf("the instances are not ready")
}

// client sends requests to one instance on kept connections until the world stops.
func (w *world) client(n *node, method, path, key string, every time.Duration) {
	c := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}}
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-tick.C:
		}
		id := token()
		req, _ := http.NewRequestWithContext(context.Background(), method, "http://"+n.front+path+"x", nil)
		req.Host = "seats.example"
		req.Header.Set("Attempt-Id", id)
		req.Header.Set("Deadline-Ms", "1500")
		if key != "" {
			req.Header.Set("Key", key)
		}
		at := time.Now()
		w.mu.Lock()
		w.sent[id] = sent{at: at, key: key, path: path, node: n}
		w.mu.Unlock()
		w.rec.add("send", "request %s to %s path %s key %q", id, n.name, path, key)
		status := "error"
		if resp, err := c.Do(req); err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			status = strconv.Itoa(resp.StatusCode)
			if err != nil {
				status = "cut"
			}
		}
		w.rec.add("answer", "request %s status %s", id, status)
		w.mu.Lock()
		w.counts[fmt.Sprintf("%s key %q status %s", path, key, status)]++
		w.mu.Unlock()
	}
}

// close ends all that was started. It keeps the logs if keep is set.
func (w *world) close(keep bool) {
	close(w.stop)
	for _, n := range w.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Kill()
			_ = n.cmd.Wait()
		}
	}
	w.mu.Lock()
	for what, n := range w.counts {
		w.rec.add("count", "%s: %d", what, n)
	}
	w.mu.Unlock()
	w.rec.close()
	if !keep {
		_ = os.RemoveAll(w.dir)
	}
}

// config returns the operator's configuration.
func config(version int, keys map[string][]string, extra ...map[string]any) []byte {
	routes := []map[string]any{
		{"name": "lookup", "host": "seats.example", "prefix": "/lookup/", "kind": "idempotent", "timeout_ms": 1500, "target_latency_ms": 100, "priority": 2, "max_attempts": 2, "service": "booking-sheet"},
		{"name": "commit", "host": "seats.example", "prefix": "/commit/", "kind": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 100, "priority": 2, "max_attempts": 2, "service": "booking-sheet"},
		{"name": "open", "host": "seats.example", "prefix": "/open/", "kind": "idempotent", "timeout_ms": 1500, "target_latency_ms": 100, "priority": 2, "max_attempts": 2, "service": "booking-sheet", "auth_exempt": true},
	}
	routes = append(routes, map[string]any{
		"name": "ask", "host": "seats.example", "prefix": "/ask/", "kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 1400, "target_gap_ms": 250,
		"priority": 2, "max_attempts": 2, "service": engines, "sticky": true, "resumable": true,
	})
	routes = append(routes, extra...)
	var tenants []map[string]any
	for _, name := range []string{"tenant-1", "tenant-2"} {
		tenants = append(tenants, map[string]any{"name": name, "api_keys": keys[name]})
	}
	data, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "tenants": tenants,
		"services": []map[string]any{
			{"name": "booking-sheet", "health_check_path": "/health", "max_connections": 110, "cold_start_s": 3, "cold_per_s": 20},
			{"name": engines, "health_check_path": "/health", "max_connections": 370, "cold_start_s": 3, "cold_per_s": 9.1, "engine": map[string]any{"slots": 64, "kv_capacity_tokens": 541797}},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return data
}
