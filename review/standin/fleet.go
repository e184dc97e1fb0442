package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is what was sent, answered and run, in order.
type record struct {
	mu    sync.Mutex
	start time.Time
	lines []string
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f  %s", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...)))
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}

// errCannotRun is the error of a case that couldn't be put to the test.
type errCannotRun struct{ reason string }

func (e errCannotRun) Error() string { return "the case couldn't run: " + e.reason }

func cannotRun(format string, args ...any) error { return errCannotRun{fmt.Sprintf(format, args...)} }

// fleet is a small deployment on loopback addresses.
type fleet struct {
	dir       string
	rec       *record
	store     *store
	memoryMB  int
	instances []*instance
}

// instance is one machine of the system with its process.
type instance struct {
	fleet                 *fleet
	name, zone            string
	front, ready, control string
	settings              string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	stopped bool
}

// addresses gives out free ports of one loopback address. No connection has that address
// as its own end by chance, so that a port stays free until its process listens.
type addresses struct {
	ip   string
	used map[string]bool
}

func newAddresses() *addresses {
	return &addresses{ip: fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 2+rand.IntN(250)), used: map[string]bool{}}
}

func (a *addresses) next() (string, error) {
	for {
		l, err := net.Listen("tcp", a.ip+":0")
		if err != nil {
			return "", err
		}
		address := l.Addr().String()
		_ = l.Close()
		if !a.used[address] {
			a.used[address] = true
			return address, nil
		}
	}
}

func newFleet(rec *record, memoryMB int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	return &fleet{dir: dir, rec: rec, store: s, memoryMB: memoryMB}, nil
}

// bounds are those of the sheet of lk-lubafoto.
var bounds = map[string]any{
	"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
	"loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "strict_revocation": true,
	"revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 52, "cold_overage": 1.5, "cold_slack": 5,
	"evacuate_ms": 5000, "recover_s": 12, "pass_ms": 120, "reuse_window_s": 10,
}

// addInstances creates instances, one for each zone, and starts them.
func (f *fleet) addInstances(zones ...string) error {
	regions, free := map[string]string{}, newAddresses()
	var seeds []string
	for n, z := range zones {
		regions[z] = "r"
		i := &instance{fleet: f, name: fmt.Sprintf("edge-%s-%d", z, n+1), zone: z}
		for _, a := range []*string{&i.front, &i.ready, &i.control} {
			address, err := free.next()
			if err != nil {
				return err
			}
			*a = address
		}
		seeds = append(seeds, i.control)
		f.instances = append(f.instances, i)
	}
	for _, i := range f.instances {
		i.settings = filepath.Join(f.dir, i.name+".json")
		data, err := json.MarshalIndent(map[string]any{
			"node": i.name, "role": "router", "machine_class": "edge", "serves": []string{"edge", "control_plane"}, "ip": free.ip,
			"zone": i.zone, "region": "r", "zones": regions, "listen": map[string]string{"front": i.front, "ready": i.ready, "control": i.control},
			"internal_port_range": []int{0, 0}, "seeds": seeds[:min(3, len(seeds))], "bootstrap": true, "in_fault_budget": false,
			"limits":   map[string]any{"cpu_share": 0.8, "cores": 1, "memory_mb": f.memoryMB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
			"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
			"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform", "stages"},
			"fault_tolerance": map[string]any{"machines": 1, "zones": 1, "regions": 0}, "bounds": bounds,
			"platform": map[string]any{"address": f.store.address, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
		}, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(i.settings, data, 0o644); err != nil {
			return err
		}
		if err := i.start(); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process with the command of deploy/system.toml, and starts it
// again half a second after it ends, as the platform does.
func (i *instance) start() error {
	log, err := os.OpenFile(filepath.Join(i.fleet.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/cicadawell", "run")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "CICADAWELL_CONFIG=" + i.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	i.mu.Lock()
	i.cmd, i.exited = cmd, exited
	i.mu.Unlock()
	i.fleet.rec.add("%s: process started", i.name)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		i.fleet.rec.add("%s: process ended: %v", i.name, err)
		close(exited)
		i.mu.Lock()
		stopped := i.stopped
		i.mu.Unlock()
		if !stopped {
			time.Sleep(500 * time.Millisecond)
			i.mu.Lock()
			stopped = i.stopped
			i.mu.Unlock()
			if stopped {
				return
			}
			if err := i.start(); err != nil {
				i.fleet.rec.add("%s: not started: %v", i.name, err)
			}
		}
	}()
	return nil
}

func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.fleet.rec.add("%s: gets signal %v", i.name, s)
	_ = i.cmd.Process.Signal(s)
}

// residentMB returns the resident memory of the process in MB.
func (i *instance) residentMB() int {
	i.mu.Lock()
	pid := i.cmd.Process.Pid
	i.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n / 1024
		}
	}
	return 0
}

// isReady asks the readiness probe.
func (i *instance) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + i.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == 200
}

// awaitReady waits until all instances are ready and registered.
func (f *fleet) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := f.store.Has("cicadawell/instances/") == len(f.instances)
		for _, i := range f.instances {
			ready = ready && i.isReady()
		}
		if ready {
			f.rec.add("all instances are ready and registered")
			return nil
		}
	}
	return cannotRun("the instances weren't ready within 15 s")
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	for _, i := range f.instances {
		i.mu.Lock()
		i.stopped = true
		cmd, exited := i.cmd, i.exited
		i.mu.Unlock()
		_ = cmd.Process.Kill()
		<-exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}
