package endpoint

import (
	"net"
	"sync"
	"sync/atomic"
)

// faultListener is a listener that can silence its open connections: they discard
// all data in both directions but stay open, while new connections work.
type faultListener struct {
	net.Listener
	mu   sync.Mutex
	open map[*faultConn]struct{}
}

type faultConn struct {
	net.Conn
	silent   atomic.Bool
	listener *faultListener
}

func newFaultListener(l net.Listener) *faultListener {
	return &faultListener{Listener: l, open: map[*faultConn]struct{}{}}
}

func (l *faultListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &faultConn{Conn: nc, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return c, nil
}

// silenceOpen silences all connections that are open now for good, except the
// connection of the control call.
func (l *faultListener) silenceOpen(except any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.silent.Store(c != except)
	}
}

func (c *faultConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

func (c *faultConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *faultConn) Close() error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	delete(c.listener.open, c)
	return c.Conn.Close()
}
