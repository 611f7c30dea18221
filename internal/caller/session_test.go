package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/coretest"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

func TestMain(m *testing.M) {
	coretest.Main(m)
}

// scriptedGateway is a gateway that answers as the session file says and records its calls.
type scriptedGateway struct {
	fields []string // the next answer
	calls  []string
	after  uint64 // number of events that the caller received before
}

func (s *scriptedGateway) Serve(_ context.Context, r peer.Request, sink peer.Sink) *peerpb.End {
	body, err := io.ReadAll(r.Body)
	s.after = 0
	s.record("serve", "profile", r.Profile, "model", r.Model, "service", r.Service, "key", r.Key,
		"method", r.Method, "path", r.Path, "stream", strconv.FormatBool(r.Stream),
		"tokens", strconv.Itoa(int(r.Tokens)), "deadline", describeDeadline(r.Deadline), "body", string(body))
	if err != nil {
		return refusal("bad-body", "read body", err.Error())
	}
	return s.answer(sink)
}

// describeDeadline says whether a deadline is in the future, since its exact value differs
// between runs.
func describeDeadline(milliseconds int64) string {
	switch {
	case milliseconds == 0:
		return ""
	case time.UnixMilli(milliseconds).After(time.Now()):
		return "ahead"
	default:
		return "past"
	}
}

func (s *scriptedGateway) Resume(_ context.Context, r *peerpb.Resume, sink peer.Sink) *peerpb.End {
	s.after = r.Offset
	s.record("resume", "endpoint", r.Endpoint, "attempt", r.Attempt, "offset", strconv.FormatUint(r.Offset, 10))
	return s.answer(sink)
}

func (s *scriptedGateway) record(step string, pairs ...string) {
	line := "to gateway: " + step
	for pair := range slices.Chunk(pairs, 2) {
		if pair[1] != "" && pair[1] != "0" && pair[1] != "false" {
			line += " " + pair[0] + "=" + pair[1]
		}
	}
	s.calls = append(s.calls, line)
}

// answer writes the scripted answer from fields such as "head=200", "data=text" and
// "end=code,outcome,milliseconds".
func (s *scriptedGateway) answer(sink peer.Sink) *peerpb.End {
	end := &peerpb.End{Outcome: string(fleet.OutcomeRan)}
	for i, field := range s.fields {
		name, value, _ := strings.Cut(field, "=")
		var err error
		switch name {
		case "head":
			status, _ := strconv.Atoi(value)
			err = sink.Head(&peerpb.Head{Attempt: "a1", Dispatcher: "i2", Endpoint: "e1", Status: int32(status)})
		case "data":
			err = sink.Data(&peerpb.Data{Attempt: "a1", Offset: s.after + uint64(i-1), Data: []byte(value)})
		case "end":
			parts := strings.Split(value, ",")
			retry, _ := strconv.Atoi(parts[2])
			end = &peerpb.End{Code: parts[0], Outcome: parts[1], Step: "answer", Message: "as scripted", Retry: uint32(retry)}
		}
		if err != nil {
			return refusal("cancelled", "answer", err.Error())
		}
	}
	return end
}

// fixedFleet is a fleet of two entries and one model, without entries for profile none.
type fixedFleet struct{}

func (fixedFleet) Entries(profile, _ string) []Entry {
	if profile == "none" {
		return []Entry{}
	}
	return []Entry{
		{Address: "10.1.1.11:7080", Region: "south", DataCentre: "south-1", Instance: "i1"},
		{Address: "10.1.2.11:7080", Region: "south", DataCentre: "south-2", Instance: "i2"},
	}
}

func (fixedFleet) Models(string) []string { return []string{"m"} }

// Compares complete HTTP exchanges between a caller and an instance with the session files:
// the status, headers, body and trailers, and the calls to the gateway.
func TestSessions(t *testing.T) {
	coretest.Run(t, "*.session", func() coretest.Handler {
		gateway := &scriptedGateway{}
		handler := New("i1", gateway, fixedFleet{}, Limits{MaxBody: 256, MaxInFlight: 1, WriteTimeout: time.Minute, EntriesMaxAge: 30 * time.Second}).Handler()
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		return func(_ time.Time, e coretest.Event) []string {
			if e.Verb == "gateway" {
				gateway.fields = e.Fields
				return nil
			}
			gateway.calls = nil
			answer := sendRequest(t, server, e)
			return append(gateway.calls, answer...)
		}
	})
}

// sendRequest sends the request of an event and returns the formatted answer. The fields
// after the path are headers such as "Name:value" and the body as "body=text".
func sendRequest(t *testing.T, server *httptest.Server, e coretest.Event) []string {
	t.Helper()
	var body string
	headers := http.Header{}
	for _, field := range e.Fields[1:] {
		if text, found := strings.CutPrefix(field, "body="); found {
			body = expandValue(t, text)
			continue
		}
		name, value, _ := strings.Cut(field, ":")
		headers.Set(name, expandValue(t, value))
	}
	request, err := http.NewRequestWithContext(t.Context(), e.Verb, server.URL+e.Fields[0], strings.NewReader(body))
	require.NoError(t, err)
	request.Header = headers
	response, err := server.Client().Do(request)
	require.NoError(t, err)
	defer func() { assert.NoError(t, response.Body.Close()) }()
	answer, err := io.ReadAll(response.Body)
	return formatAnswer(response, answer, err)
}

// expandValue replaces a value "bytes=N" by N letters.
func expandValue(t *testing.T, value string) string {
	t.Helper()
	count, found := strings.CutPrefix(value, "bytes=")
	if !found {
		return value
	}
	n, err := strconv.Atoi(count)
	require.NoError(t, err)
	return strings.Repeat("x", n)
}

// formatAnswer returns an answer as lines: the status, the headers without the date, the
// body and the trailers. A generated request id is replaced by a fixed text.
func formatAnswer(response *http.Response, body []byte, err error) []string {
	lines := []string{fmt.Sprintf("status %d", response.StatusCode)}
	lines = append(lines, headerLines("", response.Header)...)
	for line := range strings.Lines(strings.TrimRight(string(body), "\n")) {
		lines = append(lines, "| "+strings.TrimRight(line, "\n"))
	}
	if err != nil {
		return append(lines, "broken off: "+err.Error())
	}
	return append(lines, headerLines("trailer ", response.Trailer)...)
}

func headerLines(prefix string, header http.Header) []string {
	var lines []string
	for name, values := range header {
		switch {
		case name == "Date":
		case name == HeaderRequest && len(values[0]) == len("00000000-0000-0000-0000-000000000000"):
			lines = append(lines, prefix+name+": (made)")
		default:
			lines = append(lines, prefix+name+": "+strings.Join(values, ", "))
		}
	}
	slices.Sort(lines)
	return lines
}
