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

// fakeEndpoint answers probes with a preset state or error, and counts them.
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

type fakeLoads struct{ running int }

func (l *fakeLoads) QueueLoad(context.Context, fleet.Endpoint) (dispatch.Load, error) {
	return dispatch.Load{Running: l.running}, nil
}

// proberTest is a prober of one endpoint in virtual time. Probes run synchronously when they
// are started, unless holding is set.
type proberTest struct {
	*prober
	endpoint   *fakeEndpoint
	loads      *fakeLoads
	now        time.Time
	heldProbes []func() error // probes that were started while holding is set, never run
	holding    bool
}

func newProberTest(plain bool) *proberTest {
	at := fleet.Place{Region: "r1", DataCentre: "d1"}
	p := &proberTest{endpoint: &fakeEndpoint{}, loads: &fakeLoads{}, now: time.Date(2026, 6, 1, 9, 0, 0, 0, time.UTC)}
	clock := func() time.Time { return p.now }
	p.prober = &prober{
		members:   newMembers(member.Peer{Instance: "i1", Place: at}),
		directory: directory.New(), pool: p.loads, client: p.endpoint, answers: newAnswerRecorder(nil, clock),
		isPlainService: func(string) bool { return plain }, drainedModels: func(fleet.Endpoint) []fleet.Model { return nil },
		clock: clock, probes: make(map[fleet.Endpoint]*probeState),
	}
	p.start = func(probe func() error) {
		if p.holding {
			p.heldProbes = append(p.heldProbes, probe)
			return
		}
		_ = probe()
	}
	p.setIncarnation("1")
	return p
}

func (p *proberTest) setIncarnation(incarnation string) {
	p.directory.ReplaceAll(1, []directory.Registration{{
		Endpoint: "e1", Service: "s", Address: probedAddress, Incarnation: incarnation,
		Place: fleet.Place{Region: "r1", DataCentre: "d1"},
	}})
}

// runUntil runs the prober every tick up to a time limit, and returns after how long the
// condition first held.
func (p *proberTest) runUntil(limit time.Duration, condition func(directory.Entry) bool) (time.Duration, bool) {
	begin := p.now
	for p.now.Sub(begin) <= limit {
		p.startProbes(context.Background())
		if e, _ := p.directory.Get("e1"); condition(e) {
			return p.now.Sub(begin), true
		}
		p.now = p.now.Add(probeTick)
	}
	return limit, false
}

func never(directory.Entry) bool { return false }

// An engine is probed every 2 s, also when it answers requests, since its state can change; a
// plain service that answers requests is probed half as often.
func TestProbesPerMinute(t *testing.T) {
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
			x := newProberTest(tt.plain)
			for range 120 {
				if tt.answers {
					x.answers.record(probedAddress, nil)
				}
				x.runUntil(0, never)
			}
			require.Equal(t, tt.want, x.endpoint.probes)
		})
	}
}

// A change of an endpoint's state is detected within a few seconds, at whatever moment
// between two probes it happens.
func TestStateChangesAreSeenWithinSeconds(t *testing.T) {
	const few = 4 * time.Second
	down := func(e directory.Entry) bool { return e.Report.Down }
	leaving := func(e directory.Entry) bool { return e.Leaving }
	tests := []struct {
		name      string
		plain     bool
		answers   bool
		change    func(*fakeEndpoint)
		condition func(directory.Entry) bool
	}{
		{name: "dead", change: func(f *fakeEndpoint) { f.err = errors.New("refused") }, condition: down},
		{name: "dead plain service", plain: true, change: func(f *fakeEndpoint) { f.err = errors.New("refused") }, condition: down},
		{name: "leaving", change: func(f *fakeEndpoint) { f.state.Leaving = true }, condition: leaving},
		{name: "leaving plain", plain: true, answers: true, change: func(f *fakeEndpoint) { f.err = endpoint.ErrLeaving }, condition: leaving},
	}
	for _, tt := range tests {
		for offset := time.Duration(0); offset < maxProbeInterval; offset += probeTick {
			t.Run(fmt.Sprintf("%s after %s", tt.name, offset), func(t *testing.T) {
				x := newProberTest(tt.plain)
				x.runUntil(10*time.Second+offset, never)
				tt.change(x.endpoint)
				x.recordAnswer(tt.answers)
				after, ok := x.runUntil(few, tt.condition)
				require.True(t, ok, "not detected after %s", after)
			})
		}
	}
}

func (p *proberTest) recordAnswer(answers bool) {
	if answers {
		p.answers.record(probedAddress, nil)
	}
}

// An engine that is too busy to answer its probe but answers requests is not down.
func TestAnsweredRequestsCountAsHealthy(t *testing.T) {
	for _, answers := range []bool{true, false} {
		t.Run(fmt.Sprint(answers), func(t *testing.T) {
			x := newProberTest(false)
			x.endpoint.err = context.DeadlineExceeded
			isDown := false
			for range 20 {
				x.recordAnswer(answers)
				_, found := x.runUntil(0, func(e directory.Entry) bool { return e.Report.Down })
				isDown = isDown || found
			}
			require.Equal(t, !answers, isDown)
		})
	}
}

// A probe that gets no answer blocks no other work, and loads are refreshed between probes.
func TestLoadsBetweenProbes(t *testing.T) {
	x := newProberTest(false)
	x.runUntil(0, never)
	x.loads.running = 7
	after, ok := x.runUntil(probeInterval, func(e directory.Entry) bool { return e.Report.Running == 7 })
	require.True(t, ok)
	require.LessOrEqual(t, after, loadRefreshInterval)
	require.Equal(t, 1, x.endpoint.probes)
	x.holding = true
	x.runUntil(time.Minute, never)
	require.Len(t, x.heldProbes, 1, "one probe of an endpoint at a time")
}

// A new incarnation inherits nothing from the probes of the previous one, and is probed at once.
func TestNewIncarnationIsProbedAtOnce(t *testing.T) {
	x := newProberTest(false)
	x.endpoint.state.Leaving = true
	x.runUntil(0, never)
	x.endpoint.state.Leaving = false
	x.setIncarnation("2")
	x.runUntil(probeInterval, never)
	e, _ := x.directory.Get("e1")
	require.False(t, e.Leaving)
	require.False(t, e.LastReported.IsZero())
}
