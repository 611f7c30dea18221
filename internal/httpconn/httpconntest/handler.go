// Package httpconntest has handlers for tests of what clients make of answers that no net/http server writes.
package httpconntest

import (
	"io"
	"net"
	"net/http"
	"time"
)

// resetDelay is how long Reset waits, so that its client reads the answer and fills the connection with its upload.
const resetDelay = 20 * time.Millisecond

// Raw reads the request, writes a text as the answer and closes the connection.
func Raw(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		write(w, text, func(net.Conn) {})
	}
}

// Reset writes a text as the answer, and resets the connection while the request's body is still being written.
// The body has to be longer than the connection's buffers, some MB.
func Reset(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		write(w, text, func(c net.Conn) {
			time.Sleep(resetDelay)
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		})
	}
}

// write takes over the connection, and closes it after a text and what is to be done then.
func write(w http.ResponseWriter, text string, then func(net.Conn)) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = connection.Close() }()
	_, _ = io.WriteString(connection, text)
	then(connection)
}
