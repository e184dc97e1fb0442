// Package scene runs a whole fleet as separate processes on loopback: the
// platform, the runners and the routers. It starts, pauses and ends them by
// their ids, injects faults and reads the runners' records.
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
	// startLimit bounds the wait for a process to listen.
	startLimit = 20 * time.Second
	// stopLimit bounds the wait for a process to end by itself.
	stopLimit = 20 * time.Second
)

// Process is one running program.
type Process struct {
	endpoint.Ready
	// Log is the file with what the process writes to its standard error.
	Log string

	cmd   *exec.Cmd
	group errgroup.Group
	// ended is closed when the process has ended.
	ended chan struct{}
}

// StartProcess starts a program and waits until it says that it listens. Its
// log is written to name.log under dir.
func StartProcess(ctx context.Context, dir, name, program string, args ...string) (*Process, error) {
	p := &Process{Log: filepath.Join(dir, name+".log"), ended: make(chan struct{})}
	log, err := os.Create(p.Log)
	if err != nil {
		return nil, eris.Wrapf(err, "log of %s", name)
	}
	defer log.Close()
	p.cmd = exec.Command(program, args...)
	p.cmd.Stderr = log
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, eris.Wrapf(err, "output of %s", name)
	}
	if err := p.cmd.Start(); err != nil {
		return nil, eris.Wrapf(err, "start %s", name)
	}
	first := make(chan error, 1)
	p.group.Go(func() error {
		defer close(p.ended)
		first <- json.NewDecoder(stdout).Decode(&p.Ready)
		_, _ = io.Copy(io.Discard, stdout)
		return p.cmd.Wait()
	})
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	select {
	case err = <-first:
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

// Pid returns the process's number.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal; SIGSTOP pauses the process and SIGCONT resumes it.
func (p *Process) Signal(sig syscall.Signal) {
	// A process that has ended needs no signal.
	_ = p.cmd.Process.Signal(sig)
}

// Kill ends the process at once and waits until it is gone.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// Stop asks the process to end, waits, and returns an error when it does not
// end by itself with the exit code 0.
func (p *Process) Stop() error {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	select {
	case <-p.ended:
	case <-ctx.Done():
		p.Kill()
	}
	return eris.Wrapf(p.group.Wait(), "end of %s", p.Ready.Ready)
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

// control is the client for faults and records; each call has a connection of
// its own, so that silent ones do not matter.
var control = &http.Client{
	Timeout:   stopLimit,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// Fault puts faults in force at a stand-in, in place of those before.
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
	answer, err := control.Do(req)
	if err != nil {
		return eris.Wrapf(err, "%s of %s", path, p.Ready.Ready)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return eris.Errorf("%s of %s: status %d", path, p.Ready.Ready, answer.StatusCode)
	}
	if res == nil {
		return nil
	}
	return eris.Wrapf(json.NewDecoder(answer.Body).Decode(res), "%s of %s", path, p.Ready.Ready)
}
