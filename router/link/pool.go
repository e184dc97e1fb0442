// Package link keeps connections to runners and makes single exchanges of
// HTTP/1.1 over them. Nothing is ever sent twice: what may be repeated is
// decided by callers, who learn whether any byte left.
package link

import (
	"context"
	"net"
	"sync"
	"time"

	"cicadawell.dev/fleet/clock"
)

// Pool opens connections to addresses and keeps idle ones.
type Pool interface {
	// Exchange sends one request and returns its answer, whose body the caller
	// closes. Errors are *Error. The context bounds the whole exchange,
	// together with the body.
	Exchange(ctx context.Context, address string, req *Request) (*Answer, error)
	// Forget closes the idle connections to an address.
	Forget(address string)
	// Sweep closes the connections that were idle for too long.
	Sweep()
	// Close closes all idle connections.
	Close()
	// Dialled returns how many connections were opened.
	Dialled() int64
}

// Option changes a default of a pool.
type Option func(*config)

type config struct {
	clk       clock.Clock
	dialLimit time.Duration
	idleLimit time.Duration
	idlePer   int
}

const (
	// defaultIdleLimit is shorter than the idle timeouts that servers commonly
	// have, and tells long before that if a path lost its state.
	defaultIdleLimit = 4 * time.Second
	// defaultIdlePer bounds the idle connections to one address.
	defaultIdlePer = 8
	// dialTimeout is several round trips, and one lost opening packet is sent
	// again only after a second.
	dialTimeout = 700 * time.Millisecond
	// keepAliveIdle, keepAliveEvery and keepAliveCount find a peer that went
	// silent within a few seconds.
	keepAliveIdle  = time.Second
	keepAliveEvery = time.Second
	keepAliveCount = 3
)

func defaults() config {
	return config{clk: clock.System(), dialLimit: dialTimeout, idleLimit: defaultIdleLimit, idlePer: defaultIdlePer}
}

func (c *config) dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         c.dialLimit,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveEvery, Count: keepAliveCount},
	}
	return d.DialContext(ctx, "tcp", address)
}

// WithClock sets the clock.
func WithClock(clk clock.Clock) Option { return func(c *config) { c.clk = clk } }

// WithIdleLimit sets for how long an idle connection is kept at most.
func WithIdleLimit(d time.Duration) Option { return func(c *config) { c.idleLimit = d } }

// WithIdlePer sets how many idle connections to one address are kept at most.
func WithIdlePer(n int) Option { return func(c *config) { c.idlePer = n } }

// WithDialTimeout bounds the opening of a connection.
func WithDialTimeout(d time.Duration) Option { return func(c *config) { c.dialLimit = d } }

// NewPool returns a pool with the defaults of this package changed by opts.
func NewPool(opts ...Option) Pool {
	p := &pool{config: defaults(), idle: make(map[string][]*conn)}
	for _, opt := range opts {
		opt(&p.config)
	}
	return p
}

type pool struct {
	config

	mu sync.Mutex
	// idle has the connections without an exchange, the last used one last.
	idle    map[string][]*conn
	dialled int64
}

func (p *pool) Dialled() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialled
}

// take returns an idle connection that still looks sound, or nil.
func (p *pool) take(address string, maxIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clk.Now()
	for {
		list := p.idle[address]
		if len(list) == 0 {
			return nil
		}
		c := list[len(list)-1]
		p.keep(address, list[:len(list)-1])
		idle := now.Sub(c.idleSince)
		if idle < min(maxIdle, c.idleLimit) && c.quiet() {
			return c
		}
		c.close()
	}
}

// put keeps a connection for the next exchange. The caller is done with it.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.address]
	if len(list) >= p.idlePer {
		c.close()
		return
	}
	c.idleSince = p.clk.Now()
	p.idle[c.address] = append(list, c)
}

// keep stores the idle connections of an address. The caller holds mu.
func (p *pool) keep(address string, list []*conn) {
	if len(list) == 0 {
		delete(p.idle, address)
		return
	}
	p.idle[address] = list
}

func (p *pool) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.close()
	}
	delete(p.idle, address)
}

func (p *pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clk.Now()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < c.idleLimit {
				kept = append(kept, c)
				continue
			}
			c.close()
		}
		p.keep(address, kept)
	}
}

func (p *pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			c.close()
		}
	}
	clear(p.idle)
}

// open makes a new connection.
func (p *pool) open(ctx context.Context, address string) (*conn, error) {
	nc, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.dialled++
	p.mu.Unlock()
	return newConn(nc, address, p.idleLimit), nil
}
