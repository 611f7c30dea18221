// Package tcp dials connections that notice a silent other side.
package tcp

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// probePause and probes find a silent connection in about three seconds, less
	// than the time within which a change has to be in force.
	probePause = time.Second
	probes     = 2
	// unacknowledged bounds how long sent bytes may wait for their acknowledgement.
	unacknowledged = 2 * time.Second
)

// NewDialer returns a dialer whose connections fail when the other side is silent.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probePause, Interval: probePause, Count: probes},
		Control:         control,
	}
}

func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
