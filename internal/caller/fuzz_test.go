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

// fuzzed is a gateway that answers every request in the same way.
type fuzzed struct {
	status int32
	piece  []byte
	code   string
	served int
}

func (f *fuzzed) Serve(_ context.Context, r peer.Request, sink peer.Sink) *peerpb.End {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return refuse("bad-body", "read body", err.Error())
	}
	return f.answer(sink, 0)
}

func (f *fuzzed) Resume(_ context.Context, r *peerpb.Resume, sink peer.Sink) *peerpb.End {
	return f.answer(sink, r.Offset)
}

func (f *fuzzed) answer(sink peer.Sink, after uint64) *peerpb.End {
	if f.status == 0 {
		return refuse("overload", "choose", "refused")
	}
	f.served++
	if err := sink.Head(&peerpb.Head{Attempt: "a", Endpoint: "e", Status: f.status}); err != nil {
		return refuse("cancelled", "answer", err.Error())
	}
	if err := sink.Data(&peerpb.Data{Attempt: "a", Offset: after, Data: f.piece}); err != nil {
		return refuse("cancelled", "answer", err.Error())
	}
	return &peerpb.End{Outcome: string(fleet.OutcomeRan), Code: f.code}
}

// recorder is a response writer with the deadlines of a connection.
type recorder struct {
	*httptest.ResponseRecorder
}

func (recorder) SetReadDeadline(time.Time) error  { return nil }
func (recorder) SetWriteDeadline(time.Time) error { return nil }

// play answers one request as it stands on the wire, false when net/http would refuse it
// itself. A broken off answer counts as one.
func play(t *testing.T, s *Server, raw string) (answer *httptest.ResponseRecorder, aborted, ok bool) {
	t.Helper()
	request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
	if err != nil {
		return nil, false, false
	}
	w := recorder{httptest.NewRecorder()}
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

// FuzzRequest sends whole requests, as they stand on the wire. Each is served, refused
// with an error that says why, or redirected to the cleaned path; none keeps its place.
func FuzzRequest(f *testing.F) {
	const chat = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
	whole := `{"model":"m","messages":[{"role":"user","content":"x"}]}`
	sized := func(head, body string) string {
		return head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	}
	for _, raw := range []string{
		sized(chat, whole), sized(chat, `{"model":`), sized(chat, `{"model":1e999}`), sized(chat, "null"),
		sized(chat, strings.Replace(whole, "{", `{"stream":true,`, 1)),
		sized(chat+"Last-Event-ID: e/a/3\r\n", whole), sized(chat+"Last-Event-ID: e/a/-3\r\n", whole),
		sized(chat+"Chiveramp-Deadline: 9223372036854775807\r\n", whole),
		chat + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", sized(chat, whole)[:120],
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
		gateway := &fuzzed{status: status, piece: []byte(`{"choices":[]}`), code: code}
		s := New("i1", gateway, few{}, Limits{Body: 1 << 10, Streams: 1, Write: time.Minute, Keep: time.Minute})
		answer, aborted, ok := play(t, s, raw)
		if !ok {
			return
		}
		require.Empty(t, s.slots, "a place is kept")
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

// FuzzEvent passes one piece of an answer to a caller that reads events by their
// standard: it gets one event with the piece's lines, and the end marker.
func FuzzEvent(f *testing.F) {
	for _, piece := range []string{`{"choices":[]}`, "", "{\n}", "{\r\n}", "{\r}", "\n\n", "data: x", ":", "\r\n\r\nevent: error\n"} {
		f.Add([]byte(piece))
	}
	f.Fuzz(func(t *testing.T, piece []byte) {
		w := recorder{httptest.NewRecorder()}
		sink := newEvents(w, time.Minute)
		end := (&fuzzed{status: http.StatusOK, piece: piece}).answer(sink, 0)
		sink.close("r", end)
		want := [][]string{append(lines(string(piece)), "id"), {"[DONE]"}}
		require.Equal(t, want, received(w.Body.Bytes()))
	})
}

// lines splits a text as the standard of events does: at CR LF, LF and CR.
func lines(text string) []string {
	return strings.Split(strings.ReplaceAll(strings.ReplaceAll(text, "\r\n", "\n"), "\r", "\n"), "\n")
}

// received returns the data lines of each event, "id" last for one with a position.
func received(body []byte) [][]string {
	var all [][]string
	var data []string
	position := false
	for _, line := range lines(string(bytes.TrimSuffix(body, []byte("\n")))) {
		name, value, _ := strings.Cut(line, ":")
		switch {
		case line == "" && data != nil:
			if position {
				data = append(data, "id")
			}
			all = append(all, data)
			data, position = nil, false
		case name == "data":
			data = append(data, strings.TrimPrefix(value, " "))
		case name == "id":
			position = true
		}
	}
	return all
}
