package attain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/coretest"
)

func chat(kind Kind, code string, first time.Duration) Ended {
	return Ended{Profile: "chat", Rank: "urgent", Kind: kind, Code: code, First: first}
}

func TestWindowForgets(t *testing.T) {
	tests := []struct {
		name  string
		later time.Duration
		want  int64
	}{
		{name: "at once", want: 1},
		{name: "in the next half", later: half, want: 1},
		{name: "just before the end", later: Span - 1, want: 1},
		{name: "after the span", later: Span, want: 0},
		{name: "long after", later: time.Hour, want: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := NewWindow(coretest.Start)
			w.Note(coretest.Start, chat(KindMet, "", time.Millisecond))
			var requests int64
			for _, s := range w.Sums(coretest.Start.Add(tt.later)) {
				requests += s.Requests
			}
			require.Equal(t, tt.want, requests)
		})
	}
}

// What two instances counted is the same as if one had counted it all, also after it
// went over the wire.
func TestSumsAddUp(t *testing.T) {
	ends := []Ended{
		chat(KindMet, "", 10*time.Millisecond), chat(KindLate, "", 900*time.Millisecond),
		chat(KindRefused, "overload", 0), chat(KindRefused, "overload", 0), chat(KindFailed, "endpoint-lost", time.Hour),
		{Profile: "night", Rank: "bulk", Kind: KindMet, First: time.Second},
	}
	now := coretest.Start
	one, two, all := NewWindow(now), NewWindow(now), NewWindow(now)
	for i, e := range ends {
		all.Note(now, e)
		[]*Window{one, two}[i%2].Note(now, e)
	}
	told := two.Sums(now)
	for i := range told {
		times, err := told[i].Times()
		require.NoError(t, err)
		told[i].first = nil
		require.NoError(t, told[i].Restore(times))
	}
	got, want := Add(one.Sums(now), told), all.Sums(now)
	require.Len(t, got, 2)
	for i := range want {
		require.Equal(t, want[i].Slowest(), got[i].Slowest())
		require.Equal(t, want[i].Why(), got[i].Why())
		got[i].first, want[i].first = nil, nil
	}
	require.Equal(t, want, got)
	require.Equal(t, "overload", got[0].Why())
}

func TestRestoreRefusesWhatIsNoHistogram(t *testing.T) {
	s := Sum{Profile: "chat"}
	require.ErrorContains(t, s.Restore([]byte("none")), "profile chat")
	require.Zero(t, s.Slowest())
}
