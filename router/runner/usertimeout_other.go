//go:build !linux

package runner

import (
	"net"
	"time"
)

// setUserTimeout does nothing where the option does not exist.
func setUserTimeout(*net.TCPConn, time.Duration) error { return nil }
