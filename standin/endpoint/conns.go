package endpoint

import (
	"net"
	"sync"
	"sync/atomic"
)

// conns is a listener whose open connections can be made silent: what arrives
// is thrown away and nothing is answered, while new connections work.
type conns struct {
	net.Listener
	mu   sync.Mutex
	open map[*conn]struct{}
}

type conn struct {
	net.Conn
	silent atomic.Bool
	owner  *conns
}

func newConns(l net.Listener) *conns {
	return &conns{Listener: l, open: map[*conn]struct{}{}}
}

func (l *conns) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, owner: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return c, nil
}

// silence makes the connections that are open now silent for good, but for
// the one that asks.
func (l *conns) silence(except any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.silent.Store(c != except)
	}
}

func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *conn) Close() error {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	delete(c.owner.open, c)
	return c.Conn.Close()
}
