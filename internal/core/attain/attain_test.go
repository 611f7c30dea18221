package attain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/coretest"
)

func chatRequest(kind Kind, code string, firstToken time.Duration) EndedRequest {
	return EndedRequest{Profile: "chat", Rank: "urgent", Kind: kind, Code: code, FirstToken: firstToken}
}

func TestWindowDropsOldRequests(t *testing.T) {
	tests := []struct {
		name    string
		elapsed time.Duration
		want    int64
	}{
		{name: "immediately", want: 1},
		{name: "in the next half", elapsed: halfSpan, want: 1},
		{name: "just before the end", elapsed: Span - 1, want: 1},
		{name: "after the span", elapsed: Span, want: 0},
		{name: "long after", elapsed: time.Hour, want: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := NewWindow(coretest.Start)
			w.Record(coretest.Start, chatRequest(KindMet, "", time.Millisecond))
			var requests int64
			for _, s := range w.Stats(coretest.Start.Add(tt.elapsed)) {
				requests += s.Requests
			}
			require.Equal(t, tt.want, requests)
		})
	}
}

// Counts of two instances, one of them encoded and decoded, must merge into the same
// result as if one instance had counted every request.
func TestMergedStatsEqualThoseOfOneWindow(t *testing.T) {
	ends := []EndedRequest{
		chatRequest(KindMet, "", 10*time.Millisecond), chatRequest(KindLate, "", 900*time.Millisecond),
		chatRequest(KindRefused, "overload", 0), chatRequest(KindRefused, "overload", 0), chatRequest(KindFailed, "endpoint-lost", time.Hour),
		{Profile: "night", Rank: "bulk", Kind: KindMet, FirstToken: time.Second},
	}
	now := coretest.Start
	one, two, all := NewWindow(now), NewWindow(now), NewWindow(now)
	for i, e := range ends {
		all.Record(now, e)
		[]*Window{one, two}[i%2].Record(now, e)
	}
	received := two.Stats(now)
	for i := range received {
		times, err := received[i].EncodeTimes()
		require.NoError(t, err)
		received[i].firstToken = nil
		require.NoError(t, received[i].DecodeTimes(times))
	}
	got, want := Add(one.Stats(now), received), all.Stats(now)
	require.Len(t, got, 2)
	for i := range want {
		require.Equal(t, want[i].FirstTokenP95(), got[i].FirstTokenP95())
		require.Equal(t, want[i].MainCause(), got[i].MainCause())
		got[i].firstToken, want[i].firstToken = nil, nil
	}
	require.Equal(t, want, got)
	require.Equal(t, "overload", got[0].MainCause())
}

func TestDecodeTimesRejectsInvalidHistogram(t *testing.T) {
	s := ProfileStats{Profile: "chat"}
	require.ErrorContains(t, s.DecodeTimes([]byte("none")), "profile chat")
	require.Zero(t, s.FirstTokenP95())
}
