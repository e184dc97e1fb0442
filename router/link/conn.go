package link

import (
	"bufio"
	"bytes"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// readBuffer holds the head of an answer and most bodies of plain calls.
const readBuffer = 4 << 10

// conn is one connection with at most one exchange at a time.
type conn struct {
	net.Conn
	r       *bufio.Reader
	source  *headReader
	address string
	// out has the request that is being written. Only the writer of the
	// exchange in progress uses it.
	out bytes.Buffer
	// used is set once an exchange ended on it.
	used      bool
	idleSince time.Time
	// idleLimit is the pool's, or less if the server announced less.
	idleLimit time.Duration
}

func newConn(nc net.Conn, address string, idleLimit time.Duration) *conn {
	source := newHeadReader(nc)
	return &conn{Conn: nc, r: bufio.NewReaderSize(source, readBuffer), source: source, address: address, idleLimit: idleLimit}
}

func (c *conn) close() { _ = c.Close() }

// quiet reports whether the connection is open and no byte waits on it. Bytes
// that arrive between two exchanges belong to no request.
func (c *conn) quiet() bool {
	if c.r.Buffered() > 0 {
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
	quiet := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
