package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// fixedGateway is a gateway that gives every request the same answer, or refuses it when
// status is 0.
type fixedGateway struct {
	status int32
	piece  []byte
	code   string
	served int
}

func (f *fixedGateway) Serve(_ context.Context, r peer.Request, sink peer.Sink) *peerpb.End {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return refusal("bad-body", "read body", err.Error())
	}
	return f.answer(sink, 0)
}

func (f *fixedGateway) Resume(_ context.Context, r *peerpb.Resume, sink peer.Sink) *peerpb.End {
	return f.answer(sink, r.Offset)
}

func (f *fixedGateway) answer(sink peer.Sink, after uint64) *peerpb.End {
	if f.status == 0 {
		return refusal("overload", "choose", "refused")
	}
	f.served++
	if err := sink.Head(&peerpb.Head{Attempt: "a", Endpoint: "e", Status: f.status}); err != nil {
		return refusal("cancelled", "answer", err.Error())
	}
	if err := sink.Data(&peerpb.Data{Attempt: "a", Offset: after, Data: f.piece}); err != nil {
		return refusal("cancelled", "answer", err.Error())
	}
	return &peerpb.End{Outcome: string(fleet.OutcomeRan), Code: f.code}
}

// deadlineRecorder is a ResponseRecorder that accepts connection deadlines.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
}

func (deadlineRecorder) SetReadDeadline(time.Time) error  { return nil }
func (deadlineRecorder) SetWriteDeadline(time.Time) error { return nil }

// serveRaw parses and serves one raw HTTP request. ok is false when net/http itself would
// refuse the request; aborted reports that the handler aborted the connection.
func serveRaw(t *testing.T, s *Server, raw string) (answer *httptest.ResponseRecorder, aborted, ok bool) {
	t.Helper()
	request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
	if err != nil {
		return nil, false, false
	}
	w := deadlineRecorder{httptest.NewRecorder()}
	func() {
		defer func() {
			if end := recover(); end != nil {
				require.Equal(t, http.ErrAbortHandler, end)
				aborted = true
			}
		}()
		s.Handler().ServeHTTP(w, request.WithContext(t.Context()))
	}()
	return w.ResponseRecorder, aborted, true
}

// FuzzRequest serves raw HTTP requests. Each must be served, refused with an error body,
// or redirected to the cleaned path, and must release its request slot.
func FuzzRequest(f *testing.F) {
	const chat = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
	valid := `{"model":"m","messages":[{"role":"user","content":"x"}]}`
	withLength := func(head, body string) string {
		return head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	}
	for _, raw := range []string{
		withLength(chat, valid), withLength(chat, `{"model":`), withLength(chat, `{"model":1e999}`), withLength(chat, "null"),
		withLength(chat, strings.Replace(valid, "{", `{"stream":true,`, 1)),
		withLength(chat+"Last-Event-ID: e/a/3\r\n", valid), withLength(chat+"Last-Event-ID: e/a/-3\r\n", valid),
		withLength(chat+"Chiveramp-Deadline: 9223372036854775807\r\n", valid),
		chat + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", withLength(chat, valid)[:120],
		"GET /services/kit/../../v1/models HTTP/1.1\r\n\r\n", "DELETE /services/%2f/%00?a=%zz HTTP/1.1\r\n\r\n",
		"POST /services/kit/order HTTP/1.1\r\nIdempotency-Key: k\r\nContent-Length: 3\r\n\r\nkit",
		"GET /v1/entries?profile=%ff&key= HTTP/1.1\r\n\r\n", "CONNECT x:1 HTTP/1.1\r\n\r\n", "OPTIONS * HTTP/1.1\r\n\r\n",
	} {
		f.Add(raw, int32(200), "")
		f.Add(raw, int32(0), "")
		f.Add(raw, int32(200), "endpoint-lost")
	}
	f.Fuzz(func(t *testing.T, raw string, status int32, code string) {
		if status != 0 && (status < http.StatusOK || status > 599) {
			status = http.StatusOK
		}
		gateway := &fixedGateway{status: status, piece: []byte(`{"choices":[]}`), code: code}
		s := New("i1", gateway, fixedFleet{}, Limits{MaxBody: 1 << 10, MaxInFlight: 1, WriteTimeout: time.Minute, EntriesMaxAge: time.Minute})
		answer, aborted, ok := serveRaw(t, s, raw)
		if !ok {
			return
		}
		require.Empty(t, s.slots, "a request slot was not released")
		if aborted || gateway.served > 0 || answer.Code < http.StatusBadRequest {
			return
		}
		var p Problem
		require.NoError(t, json.Unmarshal(answer.Body.Bytes(), &p), "%d %q", answer.Code, answer.Body)
		require.NotEmpty(t, p.Error.Code)
		require.NotEmpty(t, p.Error.Message)
		require.Equal(t, string(fleet.OutcomeNotRun), p.Error.Outcome)
	})
}

// FuzzEvent writes one piece of an answer and parses the output by the server-sent events
// standard. That must give one event with the piece's lines, and the end marker.
func FuzzEvent(f *testing.F) {
	for _, piece := range []string{`{"choices":[]}`, "", "{\n}", "{\r\n}", "{\r}", "\n\n", "data: x", ":", "\r\n\r\nevent: error\n"} {
		f.Add([]byte(piece))
	}
	f.Fuzz(func(t *testing.T, piece []byte) {
		w := deadlineRecorder{httptest.NewRecorder()}
		sink := newEventSink(w, time.Minute)
		end := (&fixedGateway{status: http.StatusOK, piece: piece}).answer(sink, 0)
		sink.finish("r", end)
		want := [][]string{append(splitLines(string(piece)), "id"), {"[DONE]"}}
		require.Equal(t, want, parseEvents(w.Body.Bytes()))
	})
}

// splitLines splits a text at CR LF, LF and CR, as the server-sent events standard does.
func splitLines(text string) []string {
	return strings.Split(strings.ReplaceAll(strings.ReplaceAll(text, "\r\n", "\n"), "\r", "\n"), "\n")
}

// parseEvents returns the data lines of each event, followed by "id" if the event has one.
func parseEvents(body []byte) [][]string {
	var all [][]string
	var data []string
	hasID := false
	for _, line := range splitLines(string(bytes.TrimSuffix(body, []byte("\n")))) {
		name, value, _ := strings.Cut(line, ":")
		switch {
		case line == "" && data != nil:
			if hasID {
				data = append(data, "id")
			}
			all = append(all, data)
			data, hasID = nil, false
		case name == "data":
			data = append(data, strings.TrimPrefix(value, " "))
		case name == "id":
			hasID = true
		}
	}
	return all
}
