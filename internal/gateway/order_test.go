package gateway_test

import (
	"cmp"
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/platform/standin"
)

const (
	streamHead = "HTTP/1.1 200 OK\r\nRequest-Id: REQUEST\r\nServer-Seal: SEAL\r\nContent-Type: text/event-stream\r\n"
	errorBody  = `{"error":"out of memory"}`
)

// chunked returns a body in one chunk, with its end if that is set.
func chunked(body string, end bool) string {
	text := "Transfer-Encoding: chunked\r\n\r\n"
	if body != "" {
		text += fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	}
	if end {
		text += "0\r\n\r\n"
	}
	return text
}

// What a faulty endpoint writes into a stream doesn't reach the caller out of order, twice or as
// something else than events; the rest comes from another endpoint.
func TestFaultyEventsDoNotReachTheCaller(t *testing.T) {
	const head = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\n"
	tests := []struct {
		name  string
		first string // body of the first endpoint's answer
		after string // the last event that the caller has, empty for none
		want  string // what the caller gets, the complete stream if empty
		runs  int    // 2 if 0
	}{
		{name: "repeated", first: events("1", "2", "2", "3", "4")},
		{name: "restarted", first: events("1", "2", "1", "2", "3", "4")},
		{name: "lower", first: events("1", "2", "3", "2", "3", "4")},
		{name: "skipped", first: events("1", "2", "4")},
		{name: "not a number in a numbered stream", first: events("1", "2", "x", "4")},
		{name: "no id in a numbered stream", first: events("1", "2", "", "3", "4")},
		{name: "two ids in one event", first: events("1") + "id: 2\nid: 3\ndata: piece 3\n\n"},
		{name: "a head", first: events("1", "2") + head + "id: 3\ndata: piece 3\n\n"},
		{name: "a head before the first event", first: head + events("1", "2", "3", "4")},
		{name: "JSON", first: events("1", "2") + errorBody + "\n\n"},
		{name: "JSON before the first event", first: errorBody + "\n\n" + events("1", "2", "3", "4")},
		{name: "a line of text", first: events("1", "2") + "overloaded\n\n" + events("3", "4")},
		{name: "another field inside an event", first: events("1", "2") + "id: 3\nmodel: m\ndata: piece 3\n\n"},
		{name: "taken up, begins anew", after: "2", first: events("1", "2", "3", "4"), want: events("3", "4")},
		{name: "taken up, repeats the last event", after: "2", first: events("2", "3", "4"), want: events("3", "4")},
		{name: "taken up, events without ids", after: "2", first: events("", ""), want: events("3", "4")},
		{name: "a field that the configuration allows", first: "weight-versions: 3\n" + events("1", "2", "3", "4"), want: "weight-versions: 3\n" + completeStream, runs: 1},
		{name: "comments", first: ": a\n\n" + events("1", "2") + ": b\n\n" + events("3", "4") + ": c\n\n", want: ": a\n\n" + events("1", "2") + ": b\n\n" + events("3", "4") + ": c\n\n", runs: 1},
		{name: "a time to reconnect", first: "retry: 900\n\n" + events("1", "2", "3", "4"), want: "retry: 900\n\n" + completeStream, runs: 1},
		{name: "ids with gaps", first: events("10", "20", "25", "40"), want: events("10", "20", "25", "40"), runs: 1},
		{name: "ids from 0", first: events("0", "1", "2"), want: events("0", "1", "2"), runs: 1},
		{name: "ids that aren't numbers", first: events("c", "a", "b"), want: events("c", "a", "b"), runs: 1},
		{name: "no ids", first: events("", "", ""), want: events("", "", ""), runs: 1},
		{name: "an event without id before the first one with one", first: events("", "1", "2"), want: events("", "1", "2"), runs: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, catalog.KindStream, standin.BehaviourNone, standin.BehaviourNone)
			f.runners[0].SetRaw(standin.RawAnswer{Text: streamHead + chunked(tt.first, true)})
			header := map[string]string{"Model": "m"}
			if tt.after != "" {
				header["Last-Event-Id"] = tt.after
			}
			answer, err := send(t, serve(t, f), http.MethodPost, header, "")
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, answer.status)
			if tt.want == "" {
				tt.want = completeStream
			}
			assert.Equal(t, tt.want, answer.body)
			assert.Equal(t, cmp.Or(tt.runs, 2), f.runs())
			assert.Empty(t, f.interrupted, "it is no sign of a crash")
		})
	}
}

// The rest of a stream from another endpoint begins after the last event that the caller has, or the
// answer breaks off.
func TestRestOfAStreamBeginsAfterItsLastEvent(t *testing.T) {
	tests := []struct {
		name        string
		first, rest string
		third       string // body of the third endpoint's answer, the sound rest if empty
		want        string
		broken      bool
	}{
		{name: "begins anew", first: events("1", "2"), rest: events("1", "2", "3", "4"), want: completeStream},
		{name: "repeats the last event", first: events("1", "2"), rest: events("2", "3", "4"), want: completeStream},
		{name: "skips", first: events("1", "2"), rest: events("4"), want: completeStream},
		{name: "a head", first: events("1", "2"), rest: "HTTP/1.1 200 OK\r\n\r\n" + events("3", "4"), want: completeStream},
		{name: "begins anew at each endpoint", first: events("1", "2"), rest: events("1", "2"), third: events("1", "2"), want: events("1", "2"), broken: true},
		{name: "ids with gaps go on with one", first: events("10", "20"), rest: events("35", "40"), want: events("10", "20", "35", "40")},
		{name: "ids that aren't numbers, begins anew", first: events("c", "a"), rest: events("c", "a", "b"), third: events("b"), want: events("c", "a", "b")},
		{name: "no ids: can't go on", first: events("", ""), rest: events("", "", ""), want: events("", ""), broken: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, catalog.KindStream, standin.BehaviourNone, standin.BehaviourNone, standin.BehaviourNone)
			f.route.Attempts = 3
			f.runners[0].SetRaw(standin.RawAnswer{Text: streamHead + chunked(tt.first, false)})
			f.runners[1].SetRaw(standin.RawAnswer{Text: streamHead + chunked(tt.rest, true)})
			if tt.third != "" {
				f.runners[2].SetRaw(standin.RawAnswer{Text: streamHead + chunked(tt.third, true)})
			}
			answer, err := send(t, serve(t, f), http.MethodPost, map[string]string{"Model": "m"}, "")
			assert.Equal(t, tt.broken, err != nil)
			assert.Equal(t, tt.want, answer.body)
		})
	}
}

// A stream that a caller takes up goes on without a gap where streams of its service have none.
func TestTakenUpStreamsHaveNoGap(t *testing.T) {
	for _, seen := range []string{events("1", "2", "3"), events("1", "5", "9")} {
		f := newFleet(t, catalog.KindStream, standin.BehaviourNone, standin.BehaviourNone)
		url := serve(t, f)
		f.runners[0].SetRaw(standin.RawAnswer{Text: streamHead + chunked(seen, true)})
		answer, err := send(t, url, http.MethodPost, map[string]string{"Model": "m"}, "")
		require.NoError(t, err)
		assert.Equal(t, seen, answer.body)
		f.runners[0].SetRaw(standin.RawAnswer{Text: streamHead + chunked(events("4"), true)})
		answer, err = send(t, url, http.MethodPost, map[string]string{"Model": "m", "Last-Event-Id": "2"}, "")
		require.NoError(t, err)
		if seen == events("1", "2", "3") {
			assert.Equal(t, events("3", "4"), answer.body)
		} else {
			assert.Equal(t, events("4"), answer.body)
		}
	}
}
