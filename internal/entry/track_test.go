package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/dispatch"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// recordingSink is a sink that records the endpoints of heads and counts the pieces.
type recordingSink struct {
	endpoints []string
	pieces    int
}

func (s *recordingSink) Head(h *peerpb.Head) error {
	s.endpoints = append(s.endpoints, h.Endpoint)
	return nil
}
func (s *recordingSink) Data(*peerpb.Data) error { s.pieces++; return nil }

// If an answer is continued on another endpoint, the sink gets the new head, since the event
// IDs sent to the caller contain the endpoint from which the answer can be resumed.
func TestContinuedAnswerReportsItsEndpoint(t *testing.T) {
	sink := &recordingSink{}
	tracker := newAnswerTracker(sink, time.Now)
	p := &plan{
		request:  peer.Request{Submit: &peerpb.Submit{}},
		original: []byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`),
	}
	piece := []byte(`{"id":"1","choices":[{"index":0,"delta":{"content":"a"}}]}`)

	tracker.begin("a1", "e1")
	require.NoError(t, tracker.Head(&peerpb.Head{Attempt: "a1", Endpoint: "e1"}))
	require.NoError(t, tracker.Data(&peerpb.Data{Attempt: "a1", Data: piece}))
	require.True(t, tracker.prepareRetry(p, dispatch.Fail(dispatch.CodeLost, "answer", "")))
	tracker.begin("a2", "e2")
	require.NoError(t, tracker.Head(&peerpb.Head{Attempt: "a2", Endpoint: "e2"}))
	require.NoError(t, tracker.Data(&peerpb.Data{Attempt: "a1", Offset: 1, Data: piece}), "a late piece of the lost attempt")
	require.NoError(t, tracker.Data(&peerpb.Data{Attempt: "a2", Data: piece}))

	require.Equal(t, &recordingSink{endpoints: []string{"e1", "e2"}, pieces: 2}, sink)
	require.Contains(t, string(p.attemptBody), "continue_final_message")
}

// If an endpoint fails between the finish reason and the end marker, the answer is complete.
func TestAnswerWithoutEndMarkerIsComplete(t *testing.T) {
	text := `{"id":"1","choices":[{"index":0,"delta":{"content":"a"}}]}`
	finish := `{"id":"1","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`
	tests := []struct {
		name   string
		stream bool
		code   string
		pieces []string
		want   bool
	}{
		{name: "finished", stream: true, code: dispatch.CodeLost, pieces: []string{text, finish}, want: true},
		{name: "attempt no longer known", stream: true, code: dispatch.CodeGone, pieces: []string{text, finish}, want: true},
		{name: "not finished", stream: true, code: dispatch.CodeLost, pieces: []string{text}},
		{name: "not streamed", code: dispatch.CodeLost, pieces: []string{text, finish}},
		{name: "deadline exceeded", stream: true, code: dispatch.CodeDeadline, pieces: []string{text, finish}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracker := newAnswerTracker(&recordingSink{}, time.Now)
			p := &plan{request: peer.Request{Submit: &peerpb.Submit{Stream: tt.stream}}, original: []byte(`{"model":"m"}`)}
			tracker.begin("a1", "e1")
			for i, piece := range tt.pieces {
				require.NoError(t, tracker.Data(&peerpb.Data{Attempt: "a1", Offset: uint64(i), Data: []byte(piece)}))
			}
			require.Equal(t, tt.want, tracker.complete(p, dispatch.Fail(tt.code, "answer", "")))
		})
	}
}
