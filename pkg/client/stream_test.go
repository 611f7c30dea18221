package client

import (
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// read reads a streamed answer to its end.
func read(s *Stream) (text string, err error) {
	for {
		event, err := s.Next()
		if err != nil {
			return text, errors.Join(err, s.Close())
		}
		text += string(event.Data)
	}
}

func TestStreamsEndWholeOrInAnExplicitError(t *testing.T) {
	failure := "event: error\ndata: {\"error\":{\"code\":\"lost\",\"step\":\"answer\",\"message\":\"no\",\"outcome\":\"ran\"}}\n\n"
	cases := []struct {
		name   string
		key    string
		script []http.HandlerFunc
		want   string
		last   []string // Last-Event-ID of each request
		code   string   // of the error, empty when whole
	}{
		{"whole", "", []http.HandlerFunc{events("a", 1, 3, marker)}, "123", []string{""}, ""},
		{"cut and resumed", "", []http.HandlerFunc{events("a", 1, 2, ""), events("a", 3, 4, marker)}, "1234", []string{"", "m1/a/2"}, ""},
		{"cut twice", "", []http.HandlerFunc{events("a", 1, 2, ""), events("a", 3, 3, ""), events("a", 4, 4, marker)}, "1234", []string{"", "m1/a/2", "m1/a/3"}, ""},
		{"pieces twice", "", []http.HandlerFunc{events("a", 1, 2, ""), events("a", 1, 3, marker)}, "123", []string{"", "m1/a/2"}, ""},
		{"goes on as another attempt", "", []http.HandlerFunc{events("a", 1, 2, ""), events("b", 1, 1, marker)}, "121", []string{"", "m1/a/2"}, ""},
		{"resume refused for now", "", []http.HandlerFunc{events("a", 1, 2, ""), refuse(503, OutcomeNotRun, "moving", 5), events("a", 3, 3, marker)}, "123", []string{"", "m1/a/2", "m1/a/2"}, ""},
		{"closed without the marker", "", []http.HandlerFunc{events("a", 1, 2, ": bye\n\n"), events("a", 3, 3, marker)}, "123", []string{"", "m1/a/2"}, ""},
		{"explicit error", "", []http.HandlerFunc{events("a", 1, 2, failure)}, "12", []string{""}, "lost"},
		{"cut before any event", "", []http.HandlerFunc{events("a", 1, 0, "")}, "", []string{""}, CodeCut},
		{"cut before any event, with a key", "k", []http.HandlerFunc{events("a", 1, 0, ""), events("a", 1, 1, marker)}, "1", []string{"", ""}, ""},
		{"no longer kept", "", []http.HandlerFunc{events("a", 1, 2, ""), refuse(502, OutcomeUnknown, codeGone, 0)}, "12", []string{"", "m1/a/2"}, codeGone},
		{"gone", "", []http.HandlerFunc{events("a", 1, 2, ""), refuse(502, OutcomeRan, "gone", 0)}, "12", []string{"", "m1/a/2"}, "gone"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newSystem(t, 2, tc.script...)
			stream, err := s.client().Stream(t.Context(), Request{Path: "/v1/chat/completions", Key: tc.key})
			require.NoError(t, err)
			text, err := read(stream)
			if tc.code == "" {
				require.ErrorIs(t, err, io.EOF)
			} else {
				var e *Error
				require.ErrorAs(t, err, &e)
				assert.Equal(t, tc.code, e.Code)
			}
			assert.Equal(t, tc.want, text)
			var last []string
			for _, r := range s.sent() {
				last = append(last, r.Header.Get(HeaderLastEvent))
			}
			assert.Equal(t, tc.last, last)
		})
	}
}

func TestResumesWithoutProgressAreBounded(t *testing.T) {
	s := newSystem(t, 2, events("a", 1, 2, ""), events("a", 3, 2, ""))
	stream, err := s.client(WithResumes(3)).Stream(t.Context(), Request{Path: "/v1/chat/completions"})
	require.NoError(t, err)
	_, err = read(stream)
	var e *Error
	require.ErrorAs(t, err, &e)
	assert.Equal(t, CodeCut, e.Code)
	assert.Len(t, s.sent(), 4)
}

func TestOutcomeComesWithTheEndOfTheAnswer(t *testing.T) {
	cases := []struct {
		said, want Outcome
	}{
		{OutcomeRan, OutcomeRan},
		{"", OutcomeUnknown},
	}
	for _, tc := range cases {
		t.Run(string(tc.want), func(t *testing.T) {
			s := newSystem(t, 1, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Trailer", HeaderOutcome)
				events("a", 1, 2, marker)(w, r)
				if tc.said != "" {
					w.Header().Set(HeaderOutcome, string(tc.said))
				}
			})
			stream, err := s.client().Stream(t.Context(), Request{Path: "/v1/chat/completions"})
			require.NoError(t, err)
			assert.Equal(t, OutcomeUnknown, stream.Outcome())
			_, err = read(stream)
			require.ErrorIs(t, err, io.EOF)
			assert.Equal(t, tc.want, stream.Outcome())
		})
	}
}
