package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/origin"
	"github.com/chiveramp/chiveramp/platform/standin"
)

// Once an event has been passed on, a stream goes on at the version of the software that wrote it, or
// it breaks off.
func TestStreamsStayAtOneVersion(t *testing.T) {
	const none, drop, cut, refuse, pause = standin.BehaviourNone, standin.BehaviourLost, standin.BehaviourCut, standin.BehaviourFull, standin.BehaviourPause
	tests := []struct {
		name     string
		runners  []standin.Behaviour
		software []fleet.Software
		runs     []int // of each runner
		broken   bool
	}{
		{name: "cut, another version next", runners: []standin.Behaviour{cut, none, none}, software: []fleet.Software{"1", "2", "1"}, runs: []int{1, 0, 1}},
		{name: "cut, no other of its version", runners: []standin.Behaviour{cut, none}, software: []fleet.Software{"1", "2"}, runs: []int{1, 0}, broken: true},
		{name: "lost before its first event", runners: []standin.Behaviour{drop, none}, software: []fleet.Software{"1", "2"}, runs: []int{1, 1}},
		{name: "cut, refused by its version", runners: []standin.Behaviour{cut, refuse, none}, software: []fleet.Software{"1", "1", "2"}, runs: []int{1, 0, 0}, broken: true},
		{name: "refused before its first event, then cut", runners: []standin.Behaviour{refuse, cut, none}, software: []fleet.Software{"1", "2", "1"}, runs: []int{0, 1, 0}, broken: true},
		{name: "silent after its first event, another version next", runners: []standin.Behaviour{pause, none}, software: []fleet.Software{"1", "2"}, runs: []int{1, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, catalog.KindStream, tt.runners...)
			f.software, f.route.Attempts = tt.software, 3
			answer, err := send(t, serve(t, f), http.MethodPost, map[string]string{"Model": "m"}, "")
			assert.Equal(t, tt.broken, err != nil)
			if !tt.broken {
				assert.Equal(t, completeStream, answer.body)
			}
			for i, r := range f.runners {
				assert.Len(t, r.Runs(), tt.runs[i], "runner %d", i)
			}
		})
	}
}

// A stream that a caller takes up goes on at the version that began it, is refused as not run if that
// isn't known, and stays known by the request that got its first event.
func TestStreamsTakenUpStayAtTheirVersion(t *testing.T) {
	tests := []struct {
		name    string
		resumes string
		status  int
		runs    []int // of each runner
	}{
		{name: "known", resumes: "r0", status: 200, runs: []int{0, 1}},
		{name: "unknown", resumes: "r9", status: 503, runs: []int{0, 0}},
		{name: "not named", status: 503, runs: []int{0, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, catalog.KindStream, standin.BehaviourNone, standin.BehaviourNone)
			f.software = []fleet.Software{"2", "1"}
			f.StreamBegan(t.Context(), origin.Stream{Service: "s", ID: "r0", Software: "1"})
			header := map[string]string{"Model": "m", "Last-Event-Id": "2"}
			if tt.resumes != "" {
				header["Resumes"] = tt.resumes
			}
			answer, err := send(t, serve(t, f), http.MethodPost, header, "")
			require.NoError(t, err)
			assert.Equal(t, tt.status, answer.status)
			for i, r := range f.runners {
				runs := r.Runs()
				require.Len(t, runs, tt.runs[i], "runner %d", i)
				for _, run := range runs {
					assert.Equal(t, "2", run.After)
					assert.Empty(t, run.Header.Values("Resumes"))
				}
			}
			if tt.status == http.StatusOK {
				assert.Equal(t, origin.Stream{Service: "s", ID: "r0", Software: "1"}, f.streams[len(f.streams)-1])
			} else {
				assert.NotEmpty(t, answer.header.Get("Retry-After"))
			}
		})
	}
}

// Each stream is recorded once, under the id of its request, before its caller has an event of it.
func TestStreamsAreRecordedAsTheyBegin(t *testing.T) {
	f := newFleet(t, catalog.KindStream, standin.BehaviourLost, standin.BehaviourCut, standin.BehaviourNone)
	f.software, f.route.Attempts = []fleet.Software{"1", "2", "2"}, 3
	answer, err := send(t, serve(t, f), http.MethodPost, map[string]string{"Model": "m"}, "")
	require.NoError(t, err)
	assert.Equal(t, completeStream, answer.body)
	assert.Equal(t, []origin.Stream{{Service: "s", ID: "r1", Software: "2"}}, f.streams)
}

// The rest of a stream is sent to a busy endpoint of its version, where a new stream is refused.
func TestRestOfAStreamIsNotRefusedAsLate(t *testing.T) {
	for _, resumes := range []string{"", "r0"} {
		t.Run(resumes, func(t *testing.T) {
			f := newFleet(t, catalog.KindStream, standin.BehaviourNone)
			f.admissionRefused, f.admissionWait = true, time.Second
			f.StreamBegan(t.Context(), origin.Stream{Service: "s", ID: "r0"})
			header, status := map[string]string{"Model": "m"}, http.StatusServiceUnavailable
			if resumes != "" {
				header["Last-Event-Id"], header["Resumes"], status = "2", resumes, http.StatusOK
			}
			answer, err := send(t, serve(t, f), http.MethodPost, header, "")
			require.NoError(t, err)
			assert.Equal(t, status, answer.status)
		})
	}
}

// The rest of a stream goes to the service that began it, where a route is split among several.
func TestRestOfAStreamGoesToItsService(t *testing.T) {
	f := newFleet(t, catalog.KindStream, standin.BehaviourNone)
	f.route.Splits = []catalog.Split{{Service: "s", Weight: 70}, {Service: "other", Weight: 30}}
	url := serve(t, f)
	begun := make(map[catalog.Service]int)
	for i := range 60 {
		id := fmt.Sprint("stream", i)
		_, err := send(t, url, http.MethodPost, map[string]string{"Model": "m", "Request-Id": id}, "")
		require.NoError(t, err)
		first := f.streams[len(f.streams)-1]
		begun[first.Service]++
		_, err = send(t, url, http.MethodPost, map[string]string{"Model": "m", "Request-Id": id + "again", "Resumes": id, "Last-Event-Id": "1"}, "")
		require.NoError(t, err)
		assert.Equal(t, first, f.streams[len(f.streams)-1])
	}
	assert.InDelta(t, 42, begun["s"], 12, "by their weights")
}

// What is remembered of a stream is short, whatever id its caller has chosen.
func TestLongStreamIDsAreShortened(t *testing.T) {
	f := newFleet(t, catalog.KindStream, standin.BehaviourNone)
	f.software = []fleet.Software{"1"}
	url, id := serve(t, f), strings.Repeat("x", 5000)
	_, err := send(t, url, http.MethodPost, map[string]string{"Model": "m", "Request-Id": id}, "")
	require.NoError(t, err)
	require.Len(t, f.streams, 1)
	assert.LessOrEqual(t, len(f.streams[0].ID), 64)
	answer, err := send(t, url, http.MethodPost, map[string]string{"Model": "m", "Resumes": id, "Last-Event-Id": "1"}, "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, answer.status)
	assert.Equal(t, f.streams[0], f.streams[1])
}
