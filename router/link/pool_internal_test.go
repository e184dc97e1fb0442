package link

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

func TestLostPathFailsConnectionAfterFourProbeIntervals(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	p, ok := NewPool(WithProbeInterval(5 * time.Second)).(*pool)
	is.True(ok)
	c, err := p.open(t.Context(), l.Addr().String())
	is.NoErr(err)
	defer c.close()
	tcp, ok := c.Conn.(*net.TCPConn)
	is.True(ok)
	raw, err := tcp.SyscallConn()
	is.NoErr(err)
	seconds := 0
	is.NoErr(raw.Control(func(fd uintptr) {
		option := func(name int) int {
			v, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name)
			is.NoErr(err)
			return v
		}
		seconds = option(unix.TCP_KEEPIDLE) + option(unix.TCP_KEEPCNT)*option(unix.TCP_KEEPINTVL)
	}))
	is.Equal(seconds, 20)
}
