package instance

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// tunnelBufferBytes is the size of the buffer of each direction.
	tunnelBufferBytes = 8 << 10
	// probeInterval and probeCount make a leg fail about four seconds after its path was
	// lost.
	probeInterval = time.Second
	probeCount    = 3
)

// tunnel is a tunnel that is open here for another instance.
type tunnel struct {
	caller, target leg
	// failed is true once a direction has ended otherwise than by the end that its sender
	// sent. Both legs are reset then, so that nobody takes it for such an end.
	failed atomic.Bool
}

// run passes bytes in both directions until both have ended or the tunnel has failed.
func (t *tunnel) run() {
	var back sync.WaitGroup
	back.Go(func() {
		if err := pass(&t.caller, &t.target); err != nil {
			t.fail()
		}
	})
	if err := pass(&t.target, &t.caller); err != nil {
		t.failed.Store(true)
		// What the target sent before it closed is still passed on.
		if !t.target.broken() {
			t.fail()
		}
	}
	back.Wait()
	if t.failed.Load() {
		t.fail()
		return
	}
	for _, l := range []*leg{&t.caller, &t.target} {
		setLinger(l.Conn, -1)
		_ = l.Close()
	}
}

func (t *tunnel) fail() {
	t.failed.Store(true)
	reset(t.caller.Conn)
	reset(t.target.Conn)
}

// leg is one of the two connections of a tunnel.
type leg struct {
	net.Conn
	// writing is held during each write.
	writing sync.Mutex
	// writeFailed is true once a write has failed. It is guarded by writing.
	writeFailed bool
	// givesUp is set if the other side resets the connection to give up what it sent.
	givesUp bool
}

// tunnelBuffers holds buffers of type *[tunnelBufferBytes]byte.
var tunnelBuffers = sync.Pool{New: func() any { return new([tunnelBufferBytes]byte) }}

// pass writes what arrives from one leg to the other, and its end as well. It returns nil
// if there was such an end.
func pass(to, from *leg) error {
	buf := tunnelBuffers.Get().(*[tunnelBufferBytes]byte)
	defer tunnelBuffers.Put(buf)
	for {
		n, err := from.Read(buf[:])
		if n > 0 && from.givesUp && from.isReset() {
			return syscall.ECONNRESET
		}
		if n > 0 {
			if err := to.write(buf[:n]); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF) && from.broken():
			return io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return to.closeWrite()
		case err != nil:
			return err
		}
	}
}

// write writes all of p. It goes on after broken has interrupted it.
func (l *leg) write(p []byte) error {
	for {
		l.writing.Lock()
		n, err := l.Write(p)
		if err == nil {
			l.writing.Unlock()
			return nil
		}
		interrupted := errors.Is(err, os.ErrDeadlineExceeded)
		l.writeFailed = l.writeFailed || !interrupted
		l.writing.Unlock()
		if !interrupted {
			return err
		}
		p = p[n:]
	}
}

// broken reports whether a write has failed. The kernel reports a reset once: if a write
// was told of it, a read finds an ordinary end. So broken waits for the write in progress,
// which it interrupts.
func (l *leg) broken() bool {
	_ = l.SetWriteDeadline(longAgo)
	l.writing.Lock()
	defer l.writing.Unlock()
	_ = l.SetWriteDeadline(time.Time{})
	return l.writeFailed
}

// isReset reports whether the other side has reset the connection. It doesn't look while a
// write is in progress, which fails by itself then.
func (l *leg) isReset() bool {
	if !l.writing.TryLock() {
		return false
	}
	defer l.writing.Unlock()
	l.control(func(fd int) {
		// As in broken, no read finds the reset after this.
		errno, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
		l.writeFailed = l.writeFailed || err == nil && errno != 0
	})
	return l.writeFailed
}

// isLost reports whether the other side has acknowledged nothing for as long as the probes
// take, though data or a probe was sent to it repeatedly.
func (l *leg) isLost() bool {
	lost := false
	l.control(func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		lost = err == nil && max(info.Retransmits, info.Probes) >= probeCount &&
			time.Duration(info.Last_ack_recv)*time.Millisecond >= (probeCount+1)*probeInterval
	})
	return lost
}

// control calls look with the file descriptor, if there is one.
func (l *leg) control(look func(fd int)) {
	c, ok := l.Conn.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := c.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { look(int(fd)) })
	}
}

// closeWrite sends the end of this direction. A connection that can't do that is closed.
func (l *leg) closeWrite() error {
	c, ok := l.Conn.(interface{ CloseWrite() error })
	if !ok {
		return l.Close()
	}
	err := c.CloseWrite()
	if err != nil {
		l.writing.Lock()
		l.writeFailed = true
		l.writing.Unlock()
	}
	return err
}

// checkTunnels ends the tunnels whose caller has reset its connection, and those with
// a leg whose path is lost. A direction that waits for the other leg, or has ended, doesn't
// notice the former, and the kernel sends no probes while data is unacknowledged.
func (n *network) checkTunnels() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for t := range n.relayed {
		if t.caller.isReset() || t.caller.isLost() || t.target.isLost() {
			t.fail()
		}
	}
}

// reset closes conn so that the other side doesn't take it for an ordinary end.
func reset(conn net.Conn) {
	setLinger(conn, 0)
	_ = conn.Close()
}

func setLinger(conn net.Conn, seconds int) {
	if c, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		_ = c.SetLinger(seconds)
	}
}

// probe makes the kernel notice that the path of an idle connection is lost.
func probe(conn net.Conn) {
	if c, ok := conn.(interface {
		SetKeepAliveConfig(net.KeepAliveConfig) error
	}); ok {
		_ = c.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount})
	}
}
