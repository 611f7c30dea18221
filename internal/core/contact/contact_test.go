package contact_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/contact"
)

func at(ms int) time.Time { return time.Unix(1_000_000, 0).Add(time.Duration(ms) * time.Millisecond) }

func span(since, until int) contact.Span { return contact.Span{Since: at(since), Until: at(until)} }

// An outage is told from the failure of this instance's own connection by the answers that peers got.
func TestCovers(t *testing.T) {
	tests := []struct {
		name  string
		calls []contact.Span // of this instance, with a failure between
		peers []contact.Span
		want  bool
	}{
		{name: "nobody was answered", calls: []contact.Span{span(0, 1000), span(4000, 4000)}},
		{name: "a peer all the while", calls: []contact.Span{span(0, 1000), span(4000, 4000)}, peers: []contact.Span{span(-9000, 3600)}, want: true},
		{name: "a peer until shortly before", calls: []contact.Span{span(0, 1000), span(4000, 4000)}, peers: []contact.Span{span(-9000, 3000)}},
		{name: "peers one after the other", calls: []contact.Span{span(0, 1000), span(4000, 4000)}, peers: []contact.Span{span(2400, 3900), span(-100, 1700)}, want: true},
		{name: "single answers of several", calls: []contact.Span{span(0, 1000), span(3000, 3000)}, peers: []contact.Span{span(1600, 1600), span(2300, 2300)}, want: true},
		{name: "peers beside an outage", calls: []contact.Span{span(0, 1000), span(4000, 4000)}, peers: []contact.Span{span(-9000, 1100), span(2100, 9000)}},
		{name: "an answer that came a second late", calls: []contact.Span{span(0, 1000), span(1100, 4000)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l contact.Log
			for _, c := range tt.calls {
				l.Answered(c.Since, c.Until, time.Second)
				l.Failed()
			}
			for _, s := range tt.peers {
				l.Observe(s)
			}
			last := tt.calls[len(tt.calls)-1]
			assert.Equal(t, tt.want, l.Covers(contact.Span{Since: tt.calls[0].Until, Until: last.Until}))
			l.Clear()
			assert.False(t, l.Covers(last))
		})
	}
}

// What an instance tells its peers is a span without a failure of its own.
func TestOwnSpanEndsAtAFailure(t *testing.T) {
	var l contact.Log
	_, ok := l.Own()
	assert.False(t, ok)
	assert.Zero(t, l.Answered(at(0), at(1000), time.Second), "never answered before")
	assert.Equal(t, 400*time.Millisecond, l.Answered(at(1400), at(2400), time.Second), "watches follow each other")
	own, _ := l.Own()
	assert.Equal(t, span(0, 2400), own)
	l.Failed()
	assert.Equal(t, 200*time.Millisecond, l.Answered(at(2600), at(2700), time.Second))
	own, _ = l.Own()
	assert.Equal(t, span(2600, 2700), own)
	assert.Equal(t, 3*time.Second, l.Answered(at(5700), at(5701), 0))
	own, _ = l.Own()
	assert.Equal(t, span(5700, 5701), own, "a call each three seconds shows nothing between")
	l.Observe(contact.Span{Since: at(9000), Until: at(8000)})
	assert.False(t, l.Covers(span(8500, 8500)))
}
