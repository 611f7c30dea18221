package tcp

import (
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// failures are the errors of a connection over which nothing comes any more.
var failures = []error{unix.ECONNRESET, unix.ECONNABORTED, unix.EPIPE, unix.ETIMEDOUT, unix.ENOTCONN, unix.EHOSTUNREACH, unix.ENETUNREACH}

// Ended reports whether a connection has failed or was closed here, or whether the other side has closed it, at
// least for sending, and all that it had sent was read. It asks the kernel, and neither waits nor reads anything, so
// it may run beside a read. Where that is not known, it returns false.
func Ended(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	var n int
	var failure error
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, failure = unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return true // closed here
	case failure == nil:
		return n == 0
	}
	return slices.Contains(failures, failure)
}

// SinceReceived returns how long ago the kernel received the last data of a connection, 0 if that is not known.
func SinceReceived(c syscall.Conn) time.Duration {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	var since time.Duration
	err = raw.Control(func(fd uintptr) {
		if info, failure := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); failure == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	if err != nil {
		return 0
	}
	return since
}

// Lingerer is a connection whose Close can drop what was not sent yet: after SetLinger(0) it resets the connection.
type Lingerer interface{ SetLinger(seconds int) error }
