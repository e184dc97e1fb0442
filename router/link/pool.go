// Package link pools connections to runners and makes single HTTP/1.1 exchanges
// over them. It never retries: errors state whether any byte was sent, and
// callers decide whether to send the request again.
package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/clock"
)

// Pool dials connections to addresses and keeps idle ones for reuse.
type Pool interface {
	// Exchange sends one request and returns its response, which the caller
	// closes. Errors are *Error. The context bounds the whole exchange,
	// including the reading of the body.
	Exchange(ctx context.Context, address string, req *Request) (*Response, error)
	// Accepts reports whether an address accepts a connection, which is kept for the
	// next exchange.
	Accepts(ctx context.Context, address string) bool
	// CloseIdle closes the idle connections to an address.
	CloseIdle(address string)
	// CloseExpired closes the connections that exceeded their idle timeout.
	CloseExpired()
	// Close closes all idle connections.
	Close()
	// DialCount returns the number of connections dialed so far.
	DialCount() int64
	// Open returns the number of open connections, Refused how many exchanges failed
	// because there were too many.
	Open() int64
	Refused() int64
}

// Option configures a pool.
type Option func(*config)

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

type config struct {
	clk clock.Clock
	// dial is that of NewDialer unless WithDialer sets another.
	dial              Dialer
	dialTimeout       time.Duration
	idleTimeout       time.Duration
	maxIdlePerAddress int
	// probeInterval is the time between the keepalive probes of TCP.
	probeInterval time.Duration
	// maxConnections is zero if the number of connections isn't bounded.
	maxConnections int
}

const (
	// defaultIdleTimeout is shorter than the usual idle timeouts of servers, and
	// detects a path that lost its connection state long before them.
	defaultIdleTimeout = 4 * time.Second
	// defaultMaxIdlePerAddress bounds the idle connections to one address.
	defaultMaxIdlePerAddress = 8
	// defaultDialTimeout allows several round trips. It doesn't cover a lost SYN,
	// which is retransmitted only after a second.
	defaultDialTimeout = 700 * time.Millisecond
	// defaultProbeInterval and probeCount detect an unreachable peer within a few
	// seconds.
	defaultProbeInterval = time.Second
	probeCount           = 3
)

func defaults() config {
	return config{clk: clock.System(), dialTimeout: defaultDialTimeout, idleTimeout: defaultIdleTimeout, maxIdlePerAddress: defaultMaxIdlePerAddress, probeInterval: defaultProbeInterval}
}

// NewDialer returns a dialer of TCP connections with the timeout and the keepalive probes
// of opts. Other options have no effect.
func NewDialer(opts ...Option) Dialer {
	c := defaults()
	for _, opt := range opts {
		opt(&c)
	}
	d := net.Dialer{
		Timeout:         c.dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: c.probeInterval, Interval: c.probeInterval, Count: probeCount},
	}
	return func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
}

// WithDialer sets the dialer of connections in place of that of NewDialer.
func WithDialer(d Dialer) Option { return func(c *config) { c.dial = d } }

// WithClock sets the clock.
func WithClock(clk clock.Clock) Option { return func(c *config) { c.clk = clk } }

// WithIdleTimeout sets how long an idle connection is kept at most.
func WithIdleTimeout(d time.Duration) Option { return func(c *config) { c.idleTimeout = d } }

// WithMaxIdlePerAddress bounds the idle connections to one address.
func WithMaxIdlePerAddress(n int) Option { return func(c *config) { c.maxIdlePerAddress = n } }

// WithDialTimeout bounds the dialing of a connection.
func WithDialTimeout(d time.Duration) Option { return func(c *config) { c.dialTimeout = d } }

// WithProbeInterval sets the time between the keepalive probes of TCP. A connection
// fails after four such times without the peer.
func WithProbeInterval(d time.Duration) Option {
	return func(c *config) { c.probeInterval = d }
}

// WithMaxConnections bounds the number of open connections to all addresses; zero means
// no bound. At the bound, idle connections are closed for new ones, and if there are none
// the exchange fails with ErrTooManyConnections.
func WithMaxConnections(n int) Option { return func(c *config) { c.maxConnections = n } }

// NewPool returns a pool with the package defaults, modified by opts.
func NewPool(opts ...Option) Pool {
	p := &pool{config: defaults(), idle: make(map[string][]*conn)}
	for _, opt := range opts {
		opt(&p.config)
	}
	if p.dial == nil {
		p.dial = NewDialer(opts...)
	}
	return p
}

type pool struct {
	config

	mu sync.Mutex
	// idle holds the connections without an exchange by address, the most
	// recently used one last.
	idle      map[string][]*conn
	dialCount int64
	// openCount counts the connections that are open or being dialed, refused the exchanges
	// that failed because there were too many.
	openCount, refused atomic.Int64
}

func (p *pool) Open() int64 { return p.openCount.Load() }

func (p *pool) Refused() int64 { return p.refused.Load() }

// reserve takes a place for a new connection. At the bound it closes the idle connection
// that was used least recently, and fails if there is none.
func (p *pool) reserve() error {
	if p.openCount.Add(1) <= int64(p.maxConnections) || p.maxConnections <= 0 || p.closeOldestIdle() {
		return nil
	}
	p.openCount.Add(-1)
	p.refused.Add(1)
	return ErrTooManyConnections
}

// closeOldestIdle reports whether there was an idle connection.
func (p *pool) closeOldestIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest *conn
	for _, list := range p.idle {
		if oldest == nil || list[0].idleSince.Before(oldest.idleSince) {
			oldest = list[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.setIdle(oldest.address, p.idle[oldest.address][1:])
	oldest.close()
	return true
}

func (p *pool) DialCount() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialCount
}

// getIdle removes and returns the most recently used idle connection that is
// still reusable, or nil. It closes those that are not.
func (p *pool) getIdle(address string, maxIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clk.Now()
	for {
		list := p.idle[address]
		if len(list) == 0 {
			return nil
		}
		c := list[len(list)-1]
		p.setIdle(address, list[:len(list)-1])
		idle := now.Sub(c.idleSince)
		if idle < min(maxIdle, c.idleTimeout) && c.reusable() {
			return c
		}
		c.close()
	}
}

// putIdle stores a connection for the next exchange, or closes it if the address
// has enough. The caller must not use it afterwards.
func (p *pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.address]
	if len(list) >= p.maxIdlePerAddress {
		c.close()
		return
	}
	c.idleSince = p.clk.Now()
	p.idle[c.address] = append(list, c)
}

// setIdle replaces the idle connections of an address. The caller holds mu.
func (p *pool) setIdle(address string, list []*conn) {
	if len(list) == 0 {
		delete(p.idle, address)
		return
	}
	p.idle[address] = list
}

func (p *pool) Accepts(ctx context.Context, address string) bool {
	c, err := p.open(ctx, address)
	if errors.Is(err, ErrTooManyConnections) {
		return true // says nothing about the address
	}
	if err != nil {
		return false
	}
	p.putIdle(c)
	return true
}

func (p *pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.close()
	}
	delete(p.idle, address)
}

func (p *pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clk.Now()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < c.idleTimeout {
				kept = append(kept, c)
				continue
			}
			c.close()
		}
		p.setIdle(address, kept)
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

// open dials and counts a new connection.
func (p *pool) open(ctx context.Context, address string) (*conn, error) {
	if err := p.reserve(); err != nil {
		return nil, err
	}
	nc, err := p.dial(ctx, address)
	if err != nil {
		p.openCount.Add(-1)
		return nil, err
	}
	p.mu.Lock()
	p.dialCount++
	p.mu.Unlock()
	c := newConn(nc, address, p.idleTimeout)
	c.closed = sync.OnceFunc(func() { p.openCount.Add(-1) })
	return c, nil
}
