// Package scene runs a whole fleet as separate processes on loopback: the
// platform, the runners and the routers. It starts, pauses and ends the processes
// by process ID, injects faults and reads the runners' records.
package scene

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"cicadawell.dev/standin/endpoint"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

const (
	// startTimeout bounds the wait for a process to listen.
	startTimeout = 20 * time.Second
	// stopTimeout bounds the wait for a process to end by itself.
	stopTimeout = 20 * time.Second
)

// Process is a running program.
type Process struct {
	endpoint.Ready
	// Log is the path of the file that receives the process's standard error.
	Log string

	cmd   *exec.Cmd
	group errgroup.Group
	// ended is closed when the process has ended.
	ended chan struct{}
}

// StartProcess starts a program and waits until it reports that it listens. Its
// standard error is written to name.log under dir.
func StartProcess(ctx context.Context, dir, name, program string, args ...string) (*Process, error) {
	p := &Process{Log: filepath.Join(dir, name+".log"), ended: make(chan struct{})}
	log, err := os.Create(p.Log)
	if err != nil {
		return nil, eris.Wrapf(err, "create the log of %s", name)
	}
	defer log.Close()
	p.cmd = exec.Command(program, args...)
	p.cmd.Stderr = log
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, eris.Wrapf(err, "open the standard output of %s", name)
	}
	if err := p.cmd.Start(); err != nil {
		return nil, eris.Wrapf(err, "start %s", name)
	}
	ready := make(chan error, 1)
	p.group.Go(func() error {
		defer close(p.ended)
		ready <- json.NewDecoder(stdout).Decode(&p.Ready)
		_, _ = io.Copy(io.Discard, stdout)
		return p.cmd.Wait()
	})
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	select {
	case err = <-ready:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		p.Kill()
		text, _ := os.ReadFile(p.Log)
		return nil, eris.Wrapf(err, "%s did not listen; its log: %.2000s", name, text)
	}
	return p, nil
}

// Pid returns the process ID.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal; SIGSTOP pauses the process and SIGCONT resumes it.
func (p *Process) Signal(sig syscall.Signal) {
	// The error is ignored: it means that the process has already ended.
	_ = p.cmd.Process.Signal(sig)
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// Stop sends SIGTERM and waits for the process to end. It returns an error unless
// the process ends by itself, in time and with exit code 0. A paused process is
// resumed first.
func (p *Process) Stop() error {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	select {
	case <-p.ended:
	case <-ctx.Done():
		p.Kill()
	}
	return eris.Wrapf(p.group.Wait(), "stop %s", p.Ready.Ready)
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// controlClient is the HTTP client for setting faults and reading records. Each call
// opens its own connection, so that connections silenced by a fault do not affect it.
var controlClient = &http.Client{
	Timeout:   stopTimeout,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// Fault sets the active faults of a stand-in to f, replacing the previous ones.
func (p *Process) Fault(ctx context.Context, f endpoint.Faults) error {
	data, err := json.Marshal(f)
	if err != nil {
		return eris.Wrap(err, "encode faults")
	}
	return p.control(ctx, http.MethodPost, endpoint.PathFaults, data, nil)
}

// Record decodes the record of a stand-in into rec.
func (p *Process) Record(ctx context.Context, rec any) error {
	return p.control(ctx, http.MethodGet, endpoint.PathRecord, nil, rec)
}

func (p *Process) control(ctx context.Context, method, path string, body []byte, res any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.Address+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, path)
	}
	response, err := controlClient.Do(req)
	if err != nil {
		return eris.Wrapf(err, "%s of %s", path, p.Ready.Ready)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("%s of %s: status %d", path, p.Ready.Ready, response.StatusCode)
	}
	if res == nil {
		return nil
	}
	return eris.Wrapf(json.NewDecoder(response.Body).Decode(res), "%s of %s", path, p.Ready.Ready)
}
