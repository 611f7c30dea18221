package intake

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var start = time.Unix(0, 0)

func TestLedgerClosesTheLeastUseful(t *testing.T) {
	const limit = 4 << 20 / 3 // 1 MiB for large ones
	type open struct {
		name  string
		phase Phase
		held  int64
		age   time.Duration
	}
	tests := []struct {
		name   string
		conns  []open
		need   int64
		closed []string
		room   bool
	}{
		{name: "room", conns: []open{{"a", PhaseHead, 100 << 10, time.Second}}, need: 4 << 10, room: true},
		{name: "the largest", conns: []open{{"a", PhaseHead, 300 << 10, time.Second}, {"b", PhaseHead, 600 << 10, time.Second}}, need: 200 << 10, closed: []string{"b"}, room: true},
		{name: "the oldest", conns: []open{{"a", PhaseBody, 440 << 10, 2 * time.Second}, {"b", PhaseHead, 440 << 10, time.Second}}, need: 200 << 10, closed: []string{"a"}, room: true},
		{name: "no running one", conns: []open{{"a", PhaseRunning, 900 << 10, time.Hour}}, need: 200 << 10},
		{name: "idle ones last", conns: []open{{"a", PhaseIdle, 0, time.Hour}, {"b", PhaseHead, 900 << 10, time.Second}}, need: 200 << 10, closed: []string{"b"}, room: true},
		{name: "refused ones first", conns: []open{{"a", PhaseRefused, 0, 0}, {"b", PhaseHead, 900 << 10, time.Second}}, need: 95 << 10, closed: []string{"a"}, room: true},
		{name: "a part is left for ordinary ones", conns: []open{{"a", PhaseRunning, 1000 << 10, 0}}, need: 60 << 10, room: true},
		{name: "no young ones for a large one", conns: []open{{"a", PhaseBody, 900 << 10, time.Second / 2}}, need: 200 << 10},
		{name: "young ones for an ordinary one", conns: []open{{"a", PhaseBody, 960 << 10, time.Second / 2}, {"b", PhaseRunning, 60 << 10, 0}, {"c", PhaseRunning, 60 << 10, 0}, {"d", PhaseRunning, 60 << 10, 0}, {"e", PhaseRunning, 60 << 10, 0}, {"f", PhaseRunning, 60 << 10, 0}}, need: 60 << 10, closed: []string{"a"}, room: true},
		{name: "no small ones for a large one", conns: []open{{"a", PhaseHead, 8 << 10, time.Hour}, {"b", PhaseRunning, 900 << 10, 0}}, need: 200 << 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := NewLedger(limit)
			var server Server
			names := make(map[*Conn]string)
			newcomer, _ := l.Open(&server, len(tt.conns)+1, start)
			for _, o := range tt.conns {
				c, _ := l.Open(&server, len(tt.conns)+1, start)
				_, err := l.Hold(c, o.held, start)
				require.NoError(t, err)
				l.Enter(c, o.phase, start.Add(-o.age))
				names[c] = o.name
			}
			before := l.Used()
			closed, err := l.Hold(newcomer, tt.need, start)
			assert.Equal(t, tt.room, err == nil)
			var got []string
			for _, c := range closed {
				got = append(got, names[c])
			}
			assert.Equal(t, tt.closed, got)
			assert.LessOrEqual(t, l.Used(), int64(limit))
			if err != nil {
				assert.Equal(t, before, l.Used())
			}
			for _, c := range append(slices.Clone(l.conns), closed...) {
				l.Close(c)
			}
			assert.Zero(t, l.Used())
			assert.Zero(t, server.Connections())
		})
	}
}

func TestLedgerClosesTheLongestUnused(t *testing.T) {
	conns := []struct {
		name  string
		phase Phase
		used  bool
		age   time.Duration
	}{ // in the order in which they are closed
		{"refused", PhaseRefused, false, 0},
		{"new and old", PhaseIdle, false, 2 * time.Second},
		{"new", PhaseIdle, false, time.Second},
		{"idle", PhaseIdle, true, time.Hour},
		{"standing", PhaseStanding, true, time.Minute},
		{"slow head", PhaseHead, true, 2 * time.Second},
		{"body", PhaseBody, true, time.Second},
		{"running", PhaseRunning, true, time.Hour},
	}
	l, other := NewLedger(1<<30), new(Server)
	kept, _ := l.Open(other, 2, start)
	standing, _ := l.Open(other, 2, start)
	l.Enter(standing, PhaseStanding, start)
	var server Server
	names := make(map[*Conn]string)
	for _, o := range slices.Backward(conns) {
		c, _ := l.Open(&server, len(conns), start)
		if o.used {
			l.End(c, PhaseIdle, start)
		}
		l.Enter(c, o.phase, start.Add(-o.age))
		names[c] = o.name
	}
	for _, o := range conns[:len(conns)-1] {
		c, closed := l.Open(&server, len(conns), start)
		if assert.Len(t, closed, 1) {
			assert.Equal(t, o.name, names[closed[0]])
		}
		l.Enter(c, PhaseRunning, start)
	}
	c, closed := l.Open(&server, len(conns), start)
	assert.Nil(t, c)
	assert.Empty(t, closed)
	assert.Equal(t, kept, l.Yield(nil))
	_, err := l.Run(kept, 1, start)
	require.ErrorIs(t, err, ErrEnded)
	assert.Nil(t, l.Yield(nil))
}

// Requests of callers that fill the memory don't keep out those of other servers.
func TestLedgerLeavesAReserveToOtherServers(t *testing.T) {
	l, callers, ready := NewLedger(1<<20), &Server{Reserve: 1.0 / 8}, new(Server)
	for {
		c, _ := l.Open(callers, 1000, start)
		if c == nil {
			break
		}
		_, _ = l.Run(c, 4<<10, start)
		l.Enter(c, PhaseRunning, start)
	}
	c, _ := l.Open(ready, 1000, start)
	require.NotNil(t, c)
	_, err := l.Run(c, 4<<10, start)
	require.NoError(t, err)
}
