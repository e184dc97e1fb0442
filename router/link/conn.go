package link

import (
	"bufio"
	"bytes"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// readBufferBytes fits the head of a response and most bodies that are not
// streamed.
const readBufferBytes = 4 << 10

// conn is a connection that carries at most one exchange at a time.
type conn struct {
	net.Conn
	r       *bufio.Reader
	source  *boundedReader
	address string
	// writeBuf holds the request that is being written. Only the writer of the
	// current exchange uses it.
	writeBuf bytes.Buffer
	// used is true once an exchange has completed on the connection.
	used      bool
	idleSince time.Time
	// idleTimeout is the pool's, or less if the server's Keep-Alive header
	// requires it; 0 if the connection can't be reused.
	idleTimeout time.Duration
	// closed records the end of the connection. Only the first call has an effect.
	closed func()
}

func newConn(nc net.Conn, address string, idleTimeout time.Duration) *conn {
	source := newBoundedReader(nc)
	return &conn{Conn: nc, r: bufio.NewReaderSize(source, readBufferBytes), source: source, address: address, idleTimeout: idleTimeout}
}

func (c *conn) close() {
	_ = c.Close()
	c.closed()
}

func (c *conn) reset() {
	Reset(c.Conn)
	c.closed()
}

// Reset closes a connection and discards what the kernel hasn't sent of a request that
// was given up. Otherwise it would still send that once a lost path is back.
func Reset(nc net.Conn) {
	if tcp, ok := nc.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = nc.Close()
}

// reusable reports whether the connection is open, has no unread data, and is usable by
// the word of its dialer. Data that arrives between two exchanges belongs to no request.
func (c *conn) reusable() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	if u, ok := c.Conn.(interface{ Usable() bool }); ok && !u.Usable() {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = err == unix.EAGAIN
		return true
	})
	return err == nil && reusable
}
