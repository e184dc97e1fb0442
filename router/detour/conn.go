package detour

import (
	"net"
	"sync"
	"syscall"
)

// tcpConn has the methods of a TCP connection that the pool uses.
type tcpConn interface {
	net.Conn
	syscall.Conn
	SetLinger(sec int) error
	CloseWrite() error
}

// watched is a connection to a runner, direct or through another instance.
type watched struct {
	net.Conn
	dialer *dialer
	// cuts is how often the instance had been cut off when the connection was opened.
	cuts int64
	// direct is whether it was opened by this instance, through the instance that opened it
	// otherwise.
	direct  bool
	through string
	// ended is called when the connection is closed. Only the first call has an effect.
	ended func()
}

// watchedTCP adds the methods of TCP.
type watchedTCP struct {
	*watched
	tcp tcpConn
}

// wrap returns a connection that tells the dialer what it needs to know of it.
func (d *dialer) wrap(nc net.Conn, through string, ended func()) net.Conn {
	w := &watched{Conn: nc, dialer: d, cuts: d.cuts.Load(), direct: through == "", through: through, ended: sync.OnceFunc(ended)}
	if tcp, ok := nc.(tcpConn); ok {
		return watchedTCP{watched: w, tcp: tcp}
	}
	return w
}

func (w *watched) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	if n > 0 && w.direct {
		w.dialer.silence.heard()
	}
	return n, err
}

func (w *watched) Write(p []byte) (int, error) {
	if w.direct {
		w.dialer.silence.sent(w.dialer.elapsed())
	}
	return w.Conn.Write(p)
}

func (w *watched) Close() error {
	defer w.ended()
	return w.Conn.Close()
}

// Usable reports whether the connection may carry a further exchange. A direct one may
// have been lost if the instance was cut off since it was opened. One through another
// instance isn't needed any longer than that, and ends with that instance, which ends its
// registration when it leaves.
func (w *watched) Usable() bool {
	if w.direct {
		return !w.dialer.detours || w.cuts == w.dialer.cuts.Load()
	}
	_, registered := w.dialer.current.Load().Instances[w.through]
	return registered && w.dialer.cutOff.Load()
}

func (w watchedTCP) SyscallConn() (syscall.RawConn, error) { return w.tcp.SyscallConn() }

func (w watchedTCP) SetLinger(sec int) error { return w.tcp.SetLinger(sec) }

func (w watchedTCP) CloseWrite() error { return w.tcp.CloseWrite() }
