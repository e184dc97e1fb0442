package runner

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is the socket option of RFC 5482 on Linux.
const tcpUserTimeout = 0x12

// setUserTimeout makes the kernel give a connection up whose bytes are not
// acknowledged within d, also while this process is stopped.
func setUserTimeout(conn *net.TCPConn, d time.Duration) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
