package node

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/directory"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/dispatch"
	"github.com/chiveramp/chiveramp/internal/endpoint"
)

const probedAddress = "10.0.0.1:9000"

// fakeEndpoint answers probes as it is told, and counts them.
type fakeEndpoint struct {
	state  endpoint.State
	err    error
	probes int
}

func (f *fakeEndpoint) State(context.Context, string) (endpoint.State, error) {
	f.probes++
	return f.state, f.err
}

func (f *fakeEndpoint) Health(context.Context, string) error {
	f.probes++
	return f.err
}

type noLoads struct{ running int }

func (l *noLoads) Loads(context.Context, fleet.Endpoint) (dispatch.Load, error) {
	return dispatch.Load{Running: l.running}, nil
}

// probing is a prober of one endpoint in virtual time. Probes run when begun.
type probing struct {
	*prober
	endpoint *fakeEndpoint
	loads    *noLoads
	now      time.Time
	held     []func() error // probes that have begun and not ended, when holding
	holding  bool
}

func newProbing(plain bool) *probing {
	at := fleet.Place{Region: "r1", DataCentre: "d1"}
	x := &probing{endpoint: &fakeEndpoint{}, loads: &noLoads{}, now: time.Date(2026, 6, 1, 9, 0, 0, 0, time.UTC)}
	clock := func() time.Time { return x.now }
	x.prober = &prober{
		members:   newMembers(member.Peer{Instance: "i1", Place: at}),
		directory: directory.New(), pool: x.loads, client: x.endpoint, news: newNews(nil, clock),
		plain: func(string) bool { return plain }, drained: func(fleet.Endpoint) []fleet.Model { return nil },
		clock: clock, seen: make(map[fleet.Endpoint]*probed),
	}
	x.start = func(probe func() error) {
		if x.holding {
			x.held = append(x.held, probe)
			return
		}
		_ = probe()
	}
	x.list("1")
	return x
}

func (x *probing) list(incarnation string) {
	x.directory.ReplaceAll(1, []directory.Registration{{
		Endpoint: "e1", Service: "s", Address: probedAddress, Incarnation: incarnation,
		Place: fleet.Place{Region: "r1", DataCentre: "d1"},
	}})
}

// pass lets the prober look every tick for a time, and returns after how long the
// condition first held.
func (x *probing) pass(limit time.Duration, holds func(directory.Entry) bool) (time.Duration, bool) {
	begin := x.now
	for x.now.Sub(begin) <= limit {
		x.round(context.Background())
		if e, _ := x.directory.Get("e1"); holds(e) {
			return x.now.Sub(begin), true
		}
		x.now = x.now.Add(probeTick)
	}
	return limit, false
}

func never(directory.Entry) bool { return false }

// A minute's probes: an engine's state is asked every 2 s, also when it answers; a plain
// service that answers requests is asked half as often.
func TestProbesOfAMinute(t *testing.T) {
	tests := []struct {
		plain, answers bool
		want           int
	}{
		{plain: false, want: 30},
		{plain: false, answers: true, want: 30},
		{plain: true, want: 30},
		{plain: true, answers: true, want: 15},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("plain %t, answers %t", tt.plain, tt.answers), func(t *testing.T) {
			x := newProbing(tt.plain)
			for range 120 {
				if tt.answers {
					x.news.note(probedAddress, nil)
				}
				x.pass(0, never)
			}
			require.Equal(t, tt.want, x.endpoint.probes)
		})
	}
}

// What an endpoint becomes is known within a few seconds from any moment between probes.
func TestKnownWithinAFewSeconds(t *testing.T) {
	const few = 4 * time.Second
	down := func(e directory.Entry) bool { return e.Report.Down }
	leaving := func(e directory.Entry) bool { return e.Leaving }
	tests := []struct {
		name    string
		plain   bool
		answers bool
		become  func(*fakeEndpoint)
		holds   func(directory.Entry) bool
	}{
		{name: "dead", become: func(f *fakeEndpoint) { f.err = errors.New("refused") }, holds: down},
		{name: "dead plain", plain: true, become: func(f *fakeEndpoint) { f.err = errors.New("refused") }, holds: down},
		{name: "leaving", become: func(f *fakeEndpoint) { f.state.Leaving = true }, holds: leaving},
		{name: "leaving plain", plain: true, answers: true, become: func(f *fakeEndpoint) { f.err = endpoint.ErrLeaving }, holds: leaving},
	}
	for _, tt := range tests {
		for offset := time.Duration(0); offset < probeLatest; offset += probeTick {
			t.Run(fmt.Sprintf("%s after %s", tt.name, offset), func(t *testing.T) {
				x := newProbing(tt.plain)
				x.pass(10*time.Second+offset, never)
				tt.become(x.endpoint)
				x.clockNews(tt.answers)
				after, ok := x.pass(few, tt.holds)
				require.True(t, ok, "not known after %s", after)
			})
		}
	}
}

func (x *probing) clockNews(answers bool) {
	if answers {
		x.news.note(probedAddress, nil)
	}
}

// An engine too busy for its probe, that answers requests, is not down.
func TestAnswersCountForHealth(t *testing.T) {
	for _, answers := range []bool{true, false} {
		t.Run(fmt.Sprint(answers), func(t *testing.T) {
			x := newProbing(false)
			x.endpoint.err = context.DeadlineExceeded
			isDown := false
			for range 20 {
				x.clockNews(answers)
				_, found := x.pass(0, func(e directory.Entry) bool { return e.Report.Down })
				isDown = isDown || found
			}
			require.Equal(t, !answers, isDown)
		})
	}
}

// A silent probe holds up no other work, and loads are told between probes.
func TestLoadsBetweenProbes(t *testing.T) {
	x := newProbing(false)
	x.pass(0, never)
	x.loads.running = 7
	after, ok := x.pass(probePause, func(e directory.Entry) bool { return e.Report.Running == 7 })
	require.True(t, ok)
	require.LessOrEqual(t, after, probeFresh)
	require.Equal(t, 1, x.endpoint.probes)
	x.holding = true
	x.pass(time.Minute, never)
	require.Len(t, x.held, 1, "one probe of an endpoint at a time")
}

// A new incarnation inherits nothing from the probes of the one before it.
func TestNewIncarnationIsAskedAtOnce(t *testing.T) {
	x := newProbing(false)
	x.endpoint.state.Leaving = true
	x.pass(0, never)
	x.endpoint.state.Leaving = false
	x.list("2")
	x.pass(probePause, never)
	e, _ := x.directory.Get("e1")
	require.False(t, e.Leaving)
	require.False(t, e.LastReported.IsZero())
}
