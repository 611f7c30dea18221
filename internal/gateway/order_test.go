package gateway_test

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/internal/gossip"
	"github.com/chiveramp/chiveramp/platform"
	"github.com/chiveramp/chiveramp/platform/standin"
)

const (
	streamHead = "HTTP/1.1 200 OK\r\nRequest-Id: REQUEST\r\nServer-Seal: SEAL\r\nContent-Type: text/event-stream\r\n"
	jsonHead   = "HTTP/1.1 200 OK\r\nRequest-Id: REQUEST\r\nServer-Seal: SEAL\r\nContent-Type: application/json\r\n"
	errorHead  = "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: REQUEST\r\nServer-Seal: SEAL\r\nContent-Type: application/json\r\n"
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

func withLength(body string) string {
	return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

func untilClose(body string) string { return "Connection: close\r\n\r\n" + body }

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
		{name: "taken up, starts over", after: "2", first: events("1", "2", "3", "4"), want: events("3", "4")},
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
		{name: "starts over", first: events("1", "2"), rest: events("1", "2", "3", "4"), want: completeStream},
		{name: "repeats the last event", first: events("1", "2"), rest: events("2", "3", "4"), want: completeStream},
		{name: "skips", first: events("1", "2"), rest: events("4"), want: completeStream},
		{name: "a head", first: events("1", "2"), rest: "HTTP/1.1 200 OK\r\n\r\n" + events("3", "4"), want: completeStream},
		{name: "starts over at each endpoint", first: events("1", "2"), rest: events("1", "2"), third: events("1", "2"), want: events("1", "2"), broken: true},
		{name: "ids with gaps go on with one", first: events("10", "20"), rest: events("35", "40"), want: events("10", "20", "35", "40")},
		{name: "ids that aren't numbers, starts over", first: events("c", "a"), rest: events("c", "a", "b"), third: events("b"), want: events("c", "a", "b")},
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

// Log lines distinguish an endpoint that repeats its own events from one that continues another's stream at the
// wrong event.
func TestBadEventsAreLoggedWithTheirEndpoints(t *testing.T) {
	tests := []struct {
		name        string
		first, rest string
		end         bool // the first answer ends in order
		want        string
	}{
		{name: "repeats itself", first: events("1", "2", "2"), end: true, want: `step="bad event" endpoint=i-0 fault=repeated event=2 after=2 by=i-0 began= id=r1`},
		{name: "starts over", first: events("1", "2"), rest: events("1"), want: `step="bad event" endpoint=i-1 fault=lower event=1 after=2 by=i-0 began=2 id=r1`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, catalog.KindStream, standin.BehaviourNone, standin.BehaviourNone, standin.BehaviourNone)
			f.route.Attempts = 3
			f.runners[0].SetRaw(standin.RawAnswer{Text: streamHead + chunked(tt.first, tt.end)})
			if tt.rest != "" {
				f.runners[1].SetRaw(standin.RawAnswer{Text: streamHead + chunked(tt.rest, true)})
			}
			var lines bytes.Buffer
			g := gateway.New(fleet.Place{}, platform.CallerCodec{}, platform.NewEndpointClient(), f, time.Now,
				gateway.WithLogger(log.NewSyncLogger(log.NewLogfmtLogger(&lines))))
			server := httptest.NewServer(g)
			answer, err := send(t, server.URL, http.MethodPost, map[string]string{"Model": "m"}, "")
			server.Close()
			require.NoError(t, err)
			assert.Equal(t, completeStream, answer.body)
			assert.Contains(t, lines.String(), tt.want)
		})
	}
}

// badAnswer is an answer to the rest of a stream, after its second event.
type badAnswer struct {
	name     string
	answer   standin.RawAnswer
	complete bool   // it ends the stream
	passed   string // what the caller gets of it
}

func badAnswers() []badAnswer {
	return []badAnswer{
		{name: "failure with a length", answer: standin.RawAnswer{Text: errorHead + withLength(errorBody)}},
		{name: "failure in chunks", answer: standin.RawAnswer{Text: errorHead + chunked(errorBody, true)}},
		{name: "failure until its connection ends", answer: standin.RawAnswer{Text: errorHead + untilClose(errorBody)}},
		{name: "failure with the text of events", answer: standin.RawAnswer{Text: errorHead + withLength(events("3", "4"))}},
		{name: "early failure", answer: standin.RawAnswer{Text: errorHead + withLength(errorBody), Early: true}},
		{name: "failure, reset", answer: standin.RawAnswer{Text: errorHead + untilClose(errorBody), Reset: true}},
		{name: "refusal", answer: standin.RawAnswer{Text: "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: REQUEST\r\nNot-Run: 1\r\n" + withLength(errorBody)}},
		{name: "refusal of a bad request", answer: standin.RawAnswer{Text: "HTTP/1.1 400 Bad Request\r\n" + withLength(errorBody)}},
		{name: "no receipt", answer: standin.RawAnswer{Text: "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + withLength(events("3", "4"))}},
		{name: "another content type", answer: standin.RawAnswer{Text: jsonHead + withLength(errorBody)}},
		{name: "another content type, ending like an event", answer: standin.RawAnswer{Text: jsonHead + withLength(errorBody+"\n\n")}},
		{name: "another content type, empty", answer: standin.RawAnswer{Text: jsonHead + withLength("")}},
		{name: "empty until its connection ends", answer: standin.RawAnswer{Text: streamHead + untilClose("")}},
		{name: "empty, reset", answer: standin.RawAnswer{Text: streamHead + untilClose(""), Reset: true}},
		{name: "comments until its connection ends", answer: standin.RawAnswer{Text: streamHead + untilClose(": a\n\n")}},
		{name: "JSON instead of events", answer: standin.RawAnswer{Text: streamHead + withLength(errorBody)}},
		{name: "JSON instead of events, ending like one", answer: standin.RawAnswer{Text: streamHead + withLength(errorBody+"\n\n")}},
		{name: "an event, then reset", answer: standin.RawAnswer{Text: streamHead + untilClose(events("3")), Reset: true}, passed: events("3")},
		{name: "an event, then the end of the connection in chunks", answer: standin.RawAnswer{Text: streamHead + chunked(events("3"), false)}, passed: events("3")},
		{name: "the rest, then a second answer", answer: standin.RawAnswer{Text: streamHead + untilClose(events("3", "4")+"HTTP/1.1 200 OK\r\n\r\n"+events("1"))}, passed: events("3", "4")},
		{name: "an event, then a second answer without events", answer: standin.RawAnswer{Text: streamHead + untilClose(events("3")+"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\n{}")}, passed: events("3")},
		{name: "an event less than its length", answer: standin.RawAnswer{Text: streamHead + "Content-Length: 999\r\n\r\n" + events("3")}, passed: events("3")},
		// The endpoint has said that nothing follows.
		{name: "empty with a length", answer: standin.RawAnswer{Text: streamHead + withLength("")}, complete: true},
		{name: "empty in chunks", answer: standin.RawAnswer{Text: streamHead + chunked("", true)}, complete: true},
		// Can't be told from the end of the stream.
		{name: "an event, then the end of the connection", answer: standin.RawAnswer{Text: streamHead + untilClose(events("3"))}, complete: true, passed: events("3")},
	}
}

// An endpoint that can't go on with a stream has the caller's connection broken off, or another one
// asked: its answer isn't part of the stream, and doesn't end it.
func TestBadAnswersToTheRestOfAStream(t *testing.T) {
	type way struct {
		name  string
		third bool // a third endpoint is sound
		serve func(*testing.T, *fakeFleet) string
	}
	for _, tt := range badAnswers() {
		for _, w := range []way{{"alone", false, serve}, {"with a third", true, serve}, {"relayed", false, serveRelayed}} {
			t.Run(tt.name+", "+w.name, func(t *testing.T) {
				t.Parallel()
				f := newFleet(t, catalog.KindStream, standin.BehaviourNone, standin.BehaviourNone, standin.BehaviourNone)
				f.route.Attempts = 3
				if !w.third {
					f.runners = f.runners[:2]
				}
				f.runners[0].SetRaw(standin.RawAnswer{Text: streamHead + chunked(events("1", "2"), false)})
				f.runners[1].SetRaw(tt.answer)
				answer, err := send(t, w.serve(t, f), http.MethodPost, map[string]string{"Model": "m"}, "body")
				assert.Equal(t, http.StatusOK, answer.status)
				assert.Equal(t, "i-0.r1", standin.Receipt(answer.header))
				switch {
				case w.third && !tt.complete:
					require.NoError(t, err)
					assert.Equal(t, completeStream, answer.body)
				default:
					assert.Equal(t, !tt.complete, err != nil, "it must look complete only if its endpoint says so")
					assert.Equal(t, events("1", "2")+tt.passed, answer.body)
				}
			})
		}
	}
}

// A bad answer beside an endpoint that only pauses leaves the stream to that endpoint.
func TestBadAnswersBesideASilentEndpoint(t *testing.T) {
	for _, tt := range badAnswers() {
		if tt.passed != "" {
			continue
		}
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, catalog.KindStream, standin.BehaviourPause, standin.BehaviourNone)
			f.route.MaxEventGap = 50 * time.Millisecond
			f.runners[1].SetRaw(tt.answer)
			answer, err := send(t, serve(t, f), http.MethodPost, map[string]string{"Model": "m"}, "body")
			require.NoError(t, err)
			assert.Equal(t, completeStream, answer.body)
			assert.Equal(t, "i-0.r1", standin.Receipt(answer.header))
			assert.Equal(t, 2, f.runs())
		})
	}
}

// relayPeer relays connections to the endpoints at their addresses.
type relayPeer struct{ gossip.Handler }

func (relayPeer) Relay(ctx context.Context, r *gossip.Relay) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", string(r.Endpoint))
}

// serveRelayed serves a fleet whose endpoints are reached through a peer only.
func serveRelayed(t *testing.T, f *fakeFleet) string {
	t.Helper()
	var lc net.ListenConfig
	listener, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	peer, client := gossip.NewServer(relayPeer{}), gossip.NewClient()
	var group errgroup.Group
	group.Go(func() error { return peer.Serve(listener) })
	t.Cleanup(func() { client.Close(); peer.Stop() })
	dial := func(ctx context.Context, _ fleet.Endpoint, _ int64, address string) (net.Conn, error) {
		return client.Relay(ctx, listener.Addr().String(), &gossip.Relay{Endpoint: fleet.Endpoint(address), Born: 1})
	}
	server := httptest.NewServer(gateway.New(fleet.Place{}, platform.CallerCodec{}, platform.NewEndpointClient(platform.WithEndpointDialer(dial)), f, time.Now))
	t.Cleanup(server.Close)
	return server.URL
}

// The first answer to a stream is one as well, or the caller gets no success.
func TestStreamsWithoutEventsAreNoSuccess(t *testing.T) {
	tests := []struct {
		name   string
		answer string
	}{
		{name: "empty with a length", answer: streamHead + withLength("")},
		{name: "empty in chunks", answer: streamHead + chunked("", true)},
		{name: "empty until its connection ends", answer: streamHead + untilClose("")},
		{name: "comments only", answer: streamHead + chunked(": a\n\n", true)},
		{name: "JSON", answer: streamHead + withLength(errorBody)},
		{name: "another content type", answer: jsonHead + withLength(errorBody)},
	}
	for _, tt := range tests {
		for _, resumable := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, resumable %t", tt.name, resumable), func(t *testing.T) {
				f := newFleet(t, catalog.KindStream, standin.BehaviourNone, standin.BehaviourNone)
				f.route.Resumable = resumable
				f.runners[0].SetRaw(standin.RawAnswer{Text: tt.answer})
				answer, err := send(t, serve(t, f), http.MethodPost, map[string]string{"Model": "m"}, "")
				require.NoError(t, err)
				if resumable {
					assert.Equal(t, http.StatusOK, answer.status)
					assert.Equal(t, completeStream, answer.body)
				} else {
					assert.Equal(t, http.StatusBadGateway, answer.status)
				}
			})
		}
	}
}

// A stream that a caller takes up goes on without a gap where streams of its service have none.
func TestTakenUpStreamsHaveNoGap(t *testing.T) {
	const closes = "Connection: close\r\n" // a raw answer closes its connection, over which the next request must not be sent
	for _, seen := range []string{events("1", "2", "3"), events("1", "5", "9")} {
		f := newFleet(t, catalog.KindStream, standin.BehaviourNone, standin.BehaviourNone)
		url := serve(t, f)
		f.runners[0].SetRaw(standin.RawAnswer{Text: streamHead + closes + chunked(seen, true)})
		answer, err := send(t, url, http.MethodPost, map[string]string{"Model": "m"}, "")
		require.NoError(t, err)
		assert.Equal(t, seen, answer.body)
		f.runners[0].SetRaw(standin.RawAnswer{Text: streamHead + closes + chunked(events("4"), true)})
		answer, err = send(t, url, http.MethodPost, map[string]string{"Model": "m", "Last-Event-Id": "2"}, "")
		require.NoError(t, err)
		if seen == events("1", "2", "3") {
			assert.Equal(t, events("3", "4"), answer.body)
		} else {
			assert.Equal(t, events("4"), answer.body)
		}
	}
}
