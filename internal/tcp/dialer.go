// Package tcp dials connections that detect an unresponsive peer quickly.
package tcp

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveInterval and keepAliveProbes detect a dead connection in about three seconds,
	// less than the time within which a change has to be in force.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// userTimeout is how long sent data may stay unacknowledged (TCP_USER_TIMEOUT).
	userTimeout = 2 * time.Second
)

// NewDialer returns a dialer whose connections fail if the other side stops responding.
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
