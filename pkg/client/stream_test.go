package client

import (
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// readAll reads a stream to its end and returns the concatenated data.
func readAll(s *Stream) (text string, err error) {
	for {
		event, err := s.Next()
		if err != nil {
			return text, errors.Join(err, s.Close())
		}
		text += string(event.Data)
	}
}

func TestStreamsEndCompleteOrWithError(t *testing.T) {
	failure := "event: error\ndata: {\"error\":{\"code\":\"lost\",\"step\":\"answer\",\"message\":\"no\",\"outcome\":\"ran\"}}\n\n"
	cases := []struct {
		name         string
		key          string
		script       []http.HandlerFunc
		want         string
		lastEventIDs []string // Last-Event-ID of each request
		code         string   // of the error, empty if the answer is complete
	}{
		{"whole", "", []http.HandlerFunc{streamEvents("a", 1, 3, doneEvent)}, "123", []string{""}, ""},
		{"cut and resumed", "", []http.HandlerFunc{streamEvents("a", 1, 2, ""), streamEvents("a", 3, 4, doneEvent)}, "1234", []string{"", "m1/a/2"}, ""},
		{"cut twice", "", []http.HandlerFunc{streamEvents("a", 1, 2, ""), streamEvents("a", 3, 3, ""), streamEvents("a", 4, 4, doneEvent)}, "1234", []string{"", "m1/a/2", "m1/a/3"}, ""},
		{"duplicate events", "", []http.HandlerFunc{streamEvents("a", 1, 2, ""), streamEvents("a", 1, 3, doneEvent)}, "123", []string{"", "m1/a/2"}, ""},
		{"continued by another attempt", "", []http.HandlerFunc{streamEvents("a", 1, 2, ""), streamEvents("b", 1, 1, doneEvent)}, "121", []string{"", "m1/a/2"}, ""},
		{"resume temporarily refused", "", []http.HandlerFunc{streamEvents("a", 1, 2, ""), respondError(503, OutcomeNotRun, "moving", 5), streamEvents("a", 3, 3, doneEvent)}, "123", []string{"", "m1/a/2", "m1/a/2"}, ""},
		{"closed without the marker", "", []http.HandlerFunc{streamEvents("a", 1, 2, ": bye\n\n"), streamEvents("a", 3, 3, doneEvent)}, "123", []string{"", "m1/a/2"}, ""},
		{"explicit error", "", []http.HandlerFunc{streamEvents("a", 1, 2, failure)}, "12", []string{""}, "lost"},
		{"cut before any event", "", []http.HandlerFunc{streamEvents("a", 1, 0, "")}, "", []string{""}, CodeCut},
		{"cut before any event, with a key", "k", []http.HandlerFunc{streamEvents("a", 1, 0, ""), streamEvents("a", 1, 1, doneEvent)}, "1", []string{"", ""}, ""},
		{"answer no longer available", "", []http.HandlerFunc{streamEvents("a", 1, 2, ""), respondError(502, OutcomeUnknown, codeAnswerGone, 0)}, "12", []string{"", "m1/a/2"}, codeAnswerGone},
		{"gone", "", []http.HandlerFunc{streamEvents("a", 1, 2, ""), respondError(502, OutcomeRan, "gone", 0)}, "12", []string{"", "m1/a/2"}, "gone"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newFakeSystem(t, 2, tc.script...)
			stream, err := s.client().Stream(t.Context(), Request{Path: "/v1/chat/completions", Key: tc.key})
			require.NoError(t, err)
			text, err := readAll(stream)
			if tc.code == "" {
				require.ErrorIs(t, err, io.EOF)
			} else {
				var e *Error
				require.ErrorAs(t, err, &e)
				assert.Equal(t, tc.code, e.Code)
			}
			assert.Equal(t, tc.want, text)
			var lastEventIDs []string
			for _, r := range s.sent() {
				lastEventIDs = append(lastEventIDs, r.Header.Get(HeaderLastEvent))
			}
			assert.Equal(t, tc.lastEventIDs, lastEventIDs)
		})
	}
}

func TestResumesWithoutProgressAreBounded(t *testing.T) {
	s := newFakeSystem(t, 2, streamEvents("a", 1, 2, ""), streamEvents("a", 3, 2, ""))
	stream, err := s.client(WithResumes(3)).Stream(t.Context(), Request{Path: "/v1/chat/completions"})
	require.NoError(t, err)
	_, err = readAll(stream)
	var e *Error
	require.ErrorAs(t, err, &e)
	assert.Equal(t, CodeCut, e.Code)
	assert.Len(t, s.sent(), 4)
}

func TestStreamOutcomeFromTrailer(t *testing.T) {
	cases := []struct {
		sent, want Outcome
	}{
		{OutcomeRan, OutcomeRan},
		{"", OutcomeUnknown},
	}
	for _, tc := range cases {
		t.Run(string(tc.want), func(t *testing.T) {
			s := newFakeSystem(t, 1, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Trailer", HeaderOutcome)
				streamEvents("a", 1, 2, doneEvent)(w, r)
				if tc.sent != "" {
					w.Header().Set(HeaderOutcome, string(tc.sent))
				}
			})
			stream, err := s.client().Stream(t.Context(), Request{Path: "/v1/chat/completions"})
			require.NoError(t, err)
			assert.Equal(t, OutcomeUnknown, stream.Outcome())
			_, err = readAll(stream)
			require.ErrorIs(t, err, io.EOF)
			assert.Equal(t, tc.want, stream.Outcome())
		})
	}
}
