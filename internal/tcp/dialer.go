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

// Option configures a dialer.
type Option func(*net.Dialer)

// WithQueue has connections outlive the time that what they carry may wait on a full link, each way.
func WithQueue(wait time.Duration) Option {
	return func(d *net.Dialer) {
		d.KeepAliveConfig.Interval += wait
		d.Control = control(userTimeout + 2*wait)
	}
}

// NewDialer returns a dialer whose connections fail if the other side stops responding.
func NewDialer(timeout time.Duration, options ...Option) *net.Dialer {
	d := &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         control(userTimeout),
	}
	for _, o := range options {
		o(d)
	}
	return d
}

// control returns a function that sets for how long data of a new socket may stay unacknowledged.
func control(userTimeout time.Duration) func(_, _ string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, userTimeout) }
}

func setUserTimeout(raw syscall.RawConn, d time.Duration) error {
	var errOption error
	err := raw.Control(func(fd uintptr) {
		errOption = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return errOption
}

// SetUserTimeout sets for how long data of a connection may stay unacknowledged. Other connections than those
// of TCP are left as they are.
func SetUserTimeout(c net.Conn, d time.Duration) error {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(raw, d)
}
