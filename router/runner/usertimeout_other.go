//go:build !linux

package runner

import (
	"net"
	"time"
)

// setUserTimeout does nothing: TCP_USER_TIMEOUT is set on Linux only.
func setUserTimeout(*net.TCPConn, time.Duration) error { return nil }
