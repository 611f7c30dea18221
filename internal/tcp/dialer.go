// Package tcp dials connections that notice a silent other side.
package tcp

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveInterval and probes find a silent connection in about three seconds, less
	// than the time within which a change has to be in force.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// userTimeout bounds how long sent bytes may wait for their acknowledgement.
	userTimeout = 2 * time.Second
)

// NewDialer returns a dialer whose connections fail when the other side is silent.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         setUserTimeout,
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var errOption error
	err := raw.Control(func(fd uintptr) {
		errOption = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return errOption
}
