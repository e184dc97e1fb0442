package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine is one machine of the system with its process.
type machine struct {
	name, zone, dir       string
	front, ready, control string
	settings              string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	// starts counts the starts of the process.
	starts int
}

// limits are those of a machine class of a sheet.
type limits struct {
	CPU      float64
	MemoryMB int
	Files    int
	LinkMbps float64
}

// freeAddresses returns n addresses with free ports on a loopback address of its own, whose
// ports no outgoing connection takes.
func freeAddresses(n int) []string {
	host := fmt.Sprintf("127.%d.%d.%d", 16+rand.IntN(200), rand.IntN(250), 2+rand.IntN(250))
	var out []string
	var open []net.Listener
	for range n {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			panic(err)
		}
		open = append(open, l)
		out = append(out, l.Addr().String())
	}
	for _, l := range open {
		_ = l.Close()
	}
	return out
}

// newMachines writes the settings of a machine for each zone of the list.
func newMachines(dir, storeAddress string, zones []string, lim limits, bounds map[string]any) []*machine {
	var out []*machine
	var seeds []string
	for i, z := range zones {
		a := freeAddresses(3)
		m := &machine{name: fmt.Sprintf("edge-%s-%d", z, i+1), zone: z, dir: dir, front: a[0], ready: a[1], control: a[2]}
		out = append(out, m)
		if len(seeds) < 3 {
			seeds = append(seeds, m.control)
		}
	}
	zoneTable := map[string]string{}
	for _, z := range zones {
		zoneTable[z] = "region"
	}
	for _, m := range out {
		s := map[string]any{
			"node": m.name, "role": "router", "machine_class": "edge", "serves": []string{"edge", "control_plane"}, "ip": strings.Split(m.front, ":")[0],
			"zone": m.zone, "region": "region", "zones": zoneTable,
			"listen": map[string]string{"front": m.front, "ready": m.ready, "control": m.control},
			"seeds":  seeds, "bootstrap": true,
			"limits":    map[string]any{"cpu_share": lim.CPU, "cores": 1, "memory_mb": lim.MemoryMB, "max_fds": lim.Files, "link_mbps": lim.LinkMbps, "disk_mb": 0},
			"discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
			"fault_tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
			"bounds":          bounds,
			"platform": map[string]any{
				"address": storeAddress, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1 << 20, "ttl_min_ms": 1000,
			},
		}
		data, err := json.MarshalIndent(s, "", "  ")
		if err != nil {
			panic(err)
		}
		m.settings = filepath.Join(dir, m.name+".json")
		if err := os.WriteFile(m.settings, data, 0o600); err != nil {
			panic(err)
		}
	}
	return out
}

// runCommand returns the words of the run line of the deploy file.
func runCommand() ([]string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, errors.New("no run line in deploy/system.toml")
}

func (m *machine) start() error {
	words, err := runCommand()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CICADAWELL_CONFIG=" + m.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.ended = cmd, ended
	m.starts++
	m.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// kill ends the process and waits until it is gone.
func (m *machine) kill() {
	m.mu.Lock()
	cmd, ended := m.cmd, m.ended
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-ended
}

func (m *machine) pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd.Process.Pid
}

// hasEnded reports whether the process has ended.
func (m *machine) hasEnded() bool {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	select {
	case <-ended:
		return true
	default:
		return false
	}
}

var probeClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (m *machine) isReady() bool {
	r, err := probeClient.Get("http://" + m.ready + "/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func awaitReady(machines []*machine, timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for _, m := range machines {
		for !m.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s isn't ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// heldBytes returns the memory of the process without what is mapped from its file.
func (m *machine) heldBytes() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.pid()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			var kilobytes int64
			_, _ = fmt.Sscan(text, &kilobytes)
			return kilobytes << 10
		}
	}
	return 0
}
