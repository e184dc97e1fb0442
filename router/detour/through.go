package detour

import (
	"context"
	"net"
	"time"

	"cicadawell.dev/fleet/fault"
)

// dialThrough opens a connection through another instance.
func (d *dialer) dialThrough(ctx context.Context, address string) (net.Conn, error) {
	if !d.cutOff.Load() || !d.Reachable() {
		return nil, ErrCutOff
	}
	tried := make(map[string]bool)
	unable := true
	var last error
	for attempts, refusals := 0, 0; attempts < maxCarriers && refusals < maxRefusals; {
		name := d.takeCarrier(d.self.Zone, tried)
		if name == "" {
			break
		}
		nc, err := d.tunnel(ctx, name, address)
		if err == nil {
			d.throughCount.Add(1)
			return nc, nil
		}
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		last = err
		unable = unable && !isRunnersFault(err)
		if refusedAtOnce(err) {
			refusals++
		} else {
			attempts++
		}
	}
	d.failedCount.Add(1)
	if !unable {
		return nil, last
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unreachableUntil = d.clk.Now().Add(returnInterval)
	d.log.Warn("no other instance reaches the runners", "asked", len(tried), "error", last)
	return nil, ErrCutOff
}

// isRunnersFault reports whether another instance tried to reach a runner and couldn't.
func isRunnersFault(err error) bool { return fault.Is(err, fault.NoRunner) }

// refusedAtOnce reports whether another instance refused without trying to reach the runner.
func refusedAtOnce(err error) bool {
	return fault.Is(err, fault.NotReady) || fault.Is(err, fault.Overloaded) || fault.Is(err, fault.NotFound)
}

// takeCarrier chooses an instance that wasn't tried yet, of a zone before others unless that
// is empty, and counts a connection to it, or returns "".
func (d *dialer) takeCarrier(zone string, tried map[string]bool) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	name := chooseCarrier(d.self.Name, zone, d.current.Load().Instances, d.carriers, tried, d.clk.Now(), d.random)
	if name == "" {
		return ""
	}
	tried[name] = true
	c := d.carriers[name]
	if c == nil {
		c = &carrier{}
		d.carriers[name] = c
	}
	c.open++
	return name
}

// tunnel opens a connection through the instance that takeCarrier chose.
func (d *dialer) tunnel(ctx context.Context, name, address string) (net.Conn, error) {
	timed, cancel := context.WithTimeout(ctx, throughTimeout)
	defer cancel()
	nc, err := d.tunnels.Tunnel(timed, name, address)
	if err != nil {
		d.returnCarrier(name, avoidance(err, ctx.Err() != nil))
		return nil, err
	}
	return d.wrap(nc, name, func() { d.returnCarrier(name, 0) }), nil
}

// avoidance returns for how long an instance isn't asked after an error.
func avoidance(err error, callEnded bool) time.Duration {
	switch {
	case callEnded || isRunnersFault(err) || fault.Is(err, fault.BadRequest): // a runner that it doesn't know yet
		return 0
	case fault.Is(err, fault.Overloaded):
		return avoidFull
	case fault.Is(err, fault.NotFound):
		return avoidUnknown
	}
	return avoidUnable
}

// avoid has an instance not asked for a time.
func (d *dialer) avoid(name string, avoid time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.carriers[name]
	if c == nil {
		c = &carrier{}
		d.carriers[name] = c
	}
	c.avoidUntil = d.clk.Now().Add(avoid)
}

// returnCarrier takes back the count of a connection, and avoids the instance for a time.
func (d *dialer) returnCarrier(name string, avoid time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.carriers[name]
	if c == nil {
		return
	}
	c.open--
	if avoid > 0 {
		c.avoidUntil = d.clk.Now().Add(avoid)
	}
	if c.open == 0 && !d.clk.Now().Before(c.avoidUntil) {
		delete(d.carriers, name)
	}
}
