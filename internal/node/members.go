package node

import (
	"sync"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
)

// members guards a member view for concurrent use.
type members struct {
	mu   sync.Mutex
	view *member.View
}

func newMembers(self member.Peer, opts ...member.Option) *members {
	return &members{view: member.New(self, opts...)}
}

func readView[T any](m *members, read func(*member.View) T) T {
	m.mu.Lock()
	defer m.mu.Unlock()
	return read(m.view)
}

func (m *members) update(write func(*member.View)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	write(m.view)
}

// Self implements entry.Members.
func (m *members) Self() member.Peer {
	return readView(m, (*member.View).Self)
}

// Dispatcher implements entry.Members.
func (m *members) Dispatcher(e fleet.Endpoint, at fleet.Place) (member.Peer, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Dispatcher(e, at)
}

// Live implements entry.Members.
func (m *members) Live(dc fleet.DataCentre) []member.Peer {
	return readView(m, func(v *member.View) []member.Peer { return v.Live(dc) })
}

// Unreachable implements entry.Members.
func (m *members) Unreachable(instance fleet.Instance) {
	m.update(func(v *member.View) { v.Unreachable(instance) })
}

func (m *members) get(instance fleet.Instance) (member.Peer, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Get(instance)
}

func (m *members) heartbeatTargets(now time.Time) []member.Peer {
	return readView(m, func(v *member.View) []member.Peer { return v.Targets(now) })
}

// dispatches reports whether this instance is the dispatcher of an endpoint.
func (m *members) dispatches(e fleet.Endpoint, at fleet.Place) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.view.Dispatcher(e, at)
	return ok && p.Instance == m.view.Self().Instance
}

// isWatcher reports whether this instance watches the store for its data centre.
func (m *members) isWatcher() bool {
	return readView(m, func(v *member.View) bool { return v.IsWatcher(v.Self().Place.DataCentre) })
}

// settled reports whether every local peer has either sent a heartbeat or exceeded the dead
// timeout (see member.View.Settled).
func (m *members) settled() bool {
	return readView(m, func(v *member.View) bool { return v.Settled(time.Now()) })
}

// inOwnDataCentre reports whether an instance runs in the local data centre.
func (m *members) inOwnDataCentre(instance fleet.Instance) bool {
	p, ok := m.get(instance)
	return ok && p.Place.DataCentre == m.Self().Place.DataCentre
}
