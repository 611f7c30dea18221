package member

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/coretest"
)

func withoutPauseCompensation(s *settings) { s.compensatePause = false }
func withoutStickyLeaving(s *settings)     { s.stickyLeaving = false }

func withoutSuspectOmitted(s *settings) { s.suspectOmitted = false }

// Replays each recorded session with one mechanism disabled and expects the failure that
// the mechanism prevents.
func TestSessionsFailWithMechanismDisabled(t *testing.T) {
	tests := []struct {
		file string
		off  Option
		want string
	}{
		{file: "frozen.session", off: withoutPauseCompensation, want: "+3601s tick\n  b/b1 live -> dead\n  c/c1 live -> dead\n"},
		{file: "omitted.session", off: withoutSuspectOmitted, want: "+2s entries r2 d3 caller\n  [e c d]"},
		{file: "leaving.session", off: withoutStickyLeaving, want: "b/b1 leaving -> live"},
	}
	for _, tt := range tests {
		t.Run(tt.file, func(t *testing.T) {
			recorded, err := os.ReadFile(filepath.Join("testdata", tt.file))
			require.NoError(t, err)
			v := New(peer("a", "r1", "d1"), WithInterval(time.Second), WithExchangeInterval(4*time.Second), tt.off)
			s := &session{view: v, sequence: map[string]uint64{}}
			got, err := coretest.Replay(recorded, s.handle)
			require.NoError(t, err)
			require.NotEqual(t, string(recorded), string(got))
			require.Contains(t, string(got), tt.want)
		})
	}
}

const (
	meshSize  = 5
	meshSteps = 120
	// convergenceSteps is how many steps the views get to agree after the last fault: the
	// missed heartbeats that make a peer dead, plus two probe intervals.
	convergenceSteps = deadMissed + 2*probeRounds
)

// mesh simulates the instances of one data centre with faults between them.
type mesh struct {
	views      []*View
	frozen     []int // steps left
	cutLinks   map[string]int
	leaving    map[string]bool // incarnations
	inbox      [][]Peer
	suspicions [][]Suspicion
	starts     int
}

func newMesh(size int, opts ...Option) *mesh {
	m := &mesh{
		frozen: make([]int, size), cutLinks: map[string]int{}, leaving: map[string]bool{}, inbox: make([][]Peer, size),
		suspicions: make([][]Suspicion, size),
	}
	for i := range size {
		m.views = append(m.views, nil)
		m.start(i, opts...)
	}
	return m
}

func (m *mesh) start(i int, opts ...Option) {
	m.starts++
	p := peer(fmt.Sprintf("i%d", i), "r1", "d1")
	p.Incarnation = fmt.Sprintf("i%d-%d", i, m.starts)
	m.views[i] = New(p, append([]Option{WithInterval(time.Second)}, opts...)...)
	var seeds []Peer
	for j := range m.frozen {
		seeds = append(seeds, peer(fmt.Sprintf("i%d", j), "r1", "d1"))
	}
	m.views[i].ApplyList(start, seeds)
}

func (m *mesh) step(now time.Time) {
	for i, v := range m.views {
		if m.frozen[i] > 0 {
			m.frozen[i]--
			continue
		}
		for _, p := range m.inbox[i] {
			v.Observe(now, p)
		}
		v.ReceiveSuspicions(m.suspicions[i])
		m.inbox[i], m.suspicions[i] = nil, nil
		v.Tick(now)
		heartbeat := v.Heartbeat()
		for _, target := range v.Targets(now) {
			m.send(i, target, heartbeat)
		}
	}
	for pair, steps := range m.cutLinks {
		if m.cutLinks[pair]--; steps <= 1 {
			delete(m.cutLinks, pair)
		}
	}
}

func (m *mesh) send(from int, target Peer, heartbeat Peer) {
	for j, v := range m.views {
		if v.Self().Instance == target.Instance && m.cutLinks[fmt.Sprint(from, j)] == 0 && m.cutLinks[fmt.Sprint(j, from)] == 0 {
			m.inbox[j] = append(m.inbox[j], heartbeat)
			m.suspicions[j] = append(m.suspicions[j], m.views[from].Suspicions()...)
		}
	}
}

// fault draws one random fault: a frozen process, a cut link, a restart or a leaving
// instance.
func (m *mesh) fault(t *rapid.T, opts ...Option) {
	i := rapid.IntRange(0, len(m.views)-1).Draw(t, "instance")
	switch rapid.SampledFrom([]string{"freeze", "cut", "restart", "leave", "none", "none"}).Draw(t, "fault") {
	case "freeze":
		m.frozen[i] = rapid.IntRange(1, 30).Draw(t, "steps")
	case "cut":
		m.cutLinks[fmt.Sprint(i, rapid.IntRange(0, len(m.views)-1).Draw(t, "other"))] = rapid.IntRange(1, 30).Draw(t, "steps")
	case "restart":
		m.inbox[i] = nil
		m.frozen[i] = 0
		m.start(i, opts...)
	case "leave":
		m.views[i].Leave()
		m.leaving[m.views[i].Self().Incarnation] = true
	}
}

// leavingIncarnations returns the incarnations that a view records as leaving.
func leavingIncarnations(v *View) map[string]bool {
	list := map[string]bool{}
	for _, p := range v.All() {
		if p.Leaving {
			list[p.Incarnation] = true
		}
	}
	return list
}

func TestViewsAgreeAfterRandomFaults(t *testing.T) {
	tests := []struct {
		name string
		size int
		opts []Option
	}{
		{name: "all to all", size: meshSize},
		{name: "rotating targets", size: 2*meshSize - 1, opts: []Option{WithFanout(successors + 1)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { requireAgreement(t, tt.size, tt.opts...) })
	}
}

func requireAgreement(t *testing.T, size int, opts ...Option) {
	t.Helper()
	rapid.Check(t, func(t *rapid.T) {
		m := newMesh(size, opts...)
		now := start
		leaving := make([]map[string]bool, size)
		for step := range meshSteps {
			now = now.Add(time.Second)
			if step < meshSteps-convergenceSteps {
				m.fault(t, opts...)
			} else {
				clear(m.cutLinks)
				m.frozen = make([]int, size)
			}
			m.step(now)
			for i, v := range m.views {
				for _, p := range v.Live("") {
					require.False(t, leaving[i][p.Incarnation], "%s takes work again", p.Incarnation)
				}
				leaving[i] = leavingIncarnations(v)
			}
		}
		want := names(m.views[0].Live("d1"))
		for _, v := range m.views[1:] {
			require.Equal(t, want, names(v.Live("d1")))
		}
		for i := range 20 {
			require.True(t, m.agreeOnDispatcher(fleet.Endpoint(fmt.Sprint("e", i))))
		}
	})
}

func (m *mesh) agreeOnDispatcher(e fleet.Endpoint) bool {
	seen := map[string]bool{}
	for _, v := range m.views {
		p, ok := v.Dispatcher(e, place("r1", "d1"))
		seen[fmt.Sprint(p.Incarnation, ok)] = true
	}
	return len(seen) == 1
}

// A process that was frozen must not mark live peers as dead because of the heartbeats
// that it could not receive meanwhile.
func TestFrozenInstanceMarksNoPeerDead(t *testing.T) {
	tests := []struct {
		name string
		opts []Option
		dead bool
	}{
		{name: "on"},
		{name: "off", opts: []Option{withoutPauseCompensation}, dead: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newMesh(meshSize, tt.opts...)
			now := start
			dead := false
			for step := range 60 {
				now = now.Add(time.Second)
				if step == 10 {
					m.frozen[0] = 30
				}
				if step >= 10 && step <= 40 {
					m.inbox[0] = nil // messages to a frozen process are lost with its sockets
				}
				m.step(now)
				for _, p := range m.views[0].All() {
					state, _ := m.views[0].State(p.Instance)
					dead = dead || state == StateDead
				}
			}
			require.Equal(t, tt.dead, dead)
		})
	}
}

// Callers and endpoints spread evenly over the instances of a data centre, and the loss of
// one instance reassigns only its own endpoints.
func TestDispatchersAndEntriesSpreadEvenly(t *testing.T) {
	v := New(peer("i0", "r1", "d1"))
	for i := 1; i < 10; i++ {
		v.Observe(start, peer(fmt.Sprintf("i%d", i), "r1", "d1"))
	}
	const keys = 5000
	first, callers := map[string]fleet.Instance{}, map[fleet.Instance]int{}
	for i := range keys {
		name := fmt.Sprint("k", i)
		p, _ := v.Dispatcher(fleet.Endpoint(name), place("r1", "d1"))
		first[name] = p.Instance
		callers[v.Entries(place("r1", "d1"), name, 2)[0].Instance]++
	}
	for instance, n := range callers {
		require.InDelta(t, keys/10, n, keys/40, string(instance))
	}
	v.Unreachable("i3")
	for name, was := range first {
		p, _ := v.Dispatcher(fleet.Endpoint(name), place("r1", "d1"))
		if was != "i3" {
			require.Equal(t, was, p.Instance)
		}
	}
}

func TestTwoWatchersAndTwoSpeakersPerDataCentre(t *testing.T) {
	var views []*View
	for i := range 6 {
		v := New(peer(fmt.Sprintf("i%d", i), "r1", "d1"))
		for j := range 6 {
			v.Observe(start, peer(fmt.Sprintf("i%d", j), "r1", "d1"))
		}
		views = append(views, v)
	}
	count := func(is func(*View) bool) int {
		n := 0
		for _, v := range views {
			if is(v) {
				n++
			}
		}
		return n
	}
	require.Equal(t, watcherCount, count(func(v *View) bool { return v.IsWatcher("d1") }))
	require.Zero(t, count(func(v *View) bool { return v.IsWatcher("d2") }))
	for _, dc := range strings.Fields("d2 d3 d4") {
		require.Equal(t, speakerCount, count(func(v *View) bool { return v.IsSpeaker(fleet.DataCentre(dc)) }))
	}
}
