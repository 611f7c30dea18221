package endpoint

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

const benchEvent = "id: 1\ndata: {\"id\":\"chatcmpl-1\",\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":\"m\"," +
	"\"choices\":[{\"index\":0,\"delta\":{\"content\":\" token\"},\"finish_reason\":null}]}\n\n"

// serveFixedAnswer serves the same answer to each request with almost no allocations, so
// that a benchmark counts those of the client. It returns the address.
func serveFixedAnswer(b *testing.B, events int) string {
	b.Helper()
	body := strings.Repeat(benchEvent, events) + "data: [DONE]\n\n"
	answer := []byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: " +
		strconv.Itoa(len(body)) + "\r\n\r\n" + body)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	var group errgroup.Group
	group.Go(func() error {
		for {
			c, err := listener.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error { return answerConn(c, answer) })
		}
	})
	b.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// answerConn answers each request on a connection and skips the body by its
// Content-Length.
func answerConn(c net.Conn, answer []byte) error {
	defer func() { _ = c.Close() }()
	lines := bufio.NewReader(c)
	for {
		length := 0
		for {
			line, err := lines.ReadSlice('\n')
			if err != nil {
				return nil
			}
			if name, value, ok := bytes.Cut(line, []byte(": ")); ok && string(name) == "Content-Length" {
				length, _ = strconv.Atoi(string(bytes.TrimSpace(value)))
			}
			if len(line) == 2 {
				break
			}
		}
		_, _ = lines.Discard(length)
		if _, err := c.Write(answer); err != nil {
			return nil
		}
	}
}

var benchBody = []byte(`{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}`)

// BenchmarkStream reads complete answers of different lengths. The cost of one event is
// the difference between two of them, divided by the number of events between.
func BenchmarkStream(b *testing.B) {
	for _, events := range []int{1, 101, 1001} {
		b.Run(fmt.Sprintf("events=%d", events), func(b *testing.B) {
			addr := serveFixedAnswer(b, events)
			client := New()
			defer client.Close()
			b.ReportAllocs()
			for b.Loop() {
				s, err := client.Start(b.Context(), addr, Call{Attempt: "a", Body: benchBody, Priority: 1})
				require.NoError(b, err)
				count := 0
				for _, err = s.Next(); err == nil; _, err = s.Next() {
					count++
				}
				require.ErrorIs(b, err, io.EOF)
				require.Equal(b, events, count)
				_ = s.Close()
			}
		})
	}
}

// BenchmarkNetHTTP is the baseline: it sends the same request with net/http alone and
// reads the bytes without parsing events.
func BenchmarkNetHTTP(b *testing.B) {
	for _, events := range []int{1, 101, 1001} {
		b.Run(fmt.Sprintf("events=%d", events), func(b *testing.B) {
			addr := serveFixedAnswer(b, events)
			client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
			defer client.CloseIdleConnections()
			b.ReportAllocs()
			for b.Loop() {
				request, err := http.NewRequestWithContext(b.Context(), http.MethodPost, "http://"+addr+PathChat, bytes.NewReader(benchBody))
				require.NoError(b, err)
				response, err := client.Do(request)
				require.NoError(b, err)
				_, err = io.Copy(io.Discard, response.Body)
				require.NoError(b, err)
				_ = response.Body.Close()
			}
		})
	}
}
