package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// View is one instance's record of all instances of the fleet.
type View struct {
	settings     settings
	self         *record
	records      map[fleet.Instance]*record
	sorted       []*record // by instance name
	changes      []Change
	lastTick     time.Time
	round        uint64
	exchangeTurn uint64
	listReceived bool           // whether any platform list was received
	broadcast    bool           // whether the next round goes to broadcastFanout local peers
	cursor       fleet.Instance // the last peer that the rotation reached
	version      uint64         // number of changes to the known peers, their states and places
	lastExchange map[fleet.DataCentre]time.Time
}

// New returns a view that contains only the instance itself.
func New(self Peer, opts ...Option) *View {
	s := defaults()
	for _, opt := range opts {
		opt(&s)
	}
	v := &View{
		settings:     s,
		self:         newRecord(self),
		records:      map[fleet.Instance]*record{},
		lastExchange: map[fleet.DataCentre]time.Time{},
	}
	v.self.state = v.self.reachableState()
	v.add(v.self)
	return v
}

// Self returns the current description of this instance.
func (v *View) Self() Peer {
	return v.self.peer
}

// Version changes whenever a peer is added, removed or restarted, or its state changes, so
// that choices made by the view can be kept until then.
func (v *View) Version() uint64 { return v.version }

// Heartbeat returns the description of this instance with the next sequence number, to be
// sent as a heartbeat.
func (v *View) Heartbeat() Peer {
	v.self.peer.Sequence++
	return v.self.peer
}

// Leave permanently marks this instance as leaving.
func (v *View) Leave() {
	v.self.peer.Leaving = true
	v.broadcast = true
	v.setState(v.self, StateLeaving)
}

// SetRevision sets the document revision of this instance. A lower one is ignored.
func (v *View) SetRevision(revision uint64) {
	v.broadcast = v.broadcast || revision > v.self.peer.Revision
	v.self.peer.Revision = max(v.self.peer.Revision, revision)
}

// Observe applies a heartbeat received from the peer itself.
func (v *View) Observe(now time.Time, p Peer) {
	if p.Instance == v.self.peer.Instance {
		return
	}
	r := v.findOrAdd(p)
	if r.isStale(p) {
		return
	}
	r.heartbeatGap = now.Sub(r.lastReceived)
	maps.DeleteFunc(r.suspectedBy, func(_ fleet.Instance, sequence uint64) bool {
		return sequence < p.Sequence || p.Incarnation != r.peer.Incarnation
	})
	r.needsReply = r.needsReply || (r.state != StateLive && r.state != StateLeaving)
	v.update(now, r, p)
}

// ObserveRemote applies the instance lists that other data centres sent. The list of a
// data centre names all its instances that accept new work, so a live one that it omits
// is suspected immediately. Entries of the local data centre only add unknown peers.
func (v *View) ObserveRemote(now time.Time, peers []Peer) {
	named := map[fleet.Instance]bool{}
	reported := map[fleet.DataCentre]bool{}
	for _, p := range peers {
		if p.Instance == v.self.peer.Instance {
			continue
		}
		r := v.findOrAdd(p)
		if p.Place.DataCentre == v.self.peer.Place.DataCentre {
			continue
		}
		named[p.Instance], reported[p.Place.DataCentre] = true, true
		if p.Sequence == 0 && p.Incarnation == r.peer.Incarnation {
			p.Sequence = r.peer.Sequence // totals carry no sequence
		}
		if !r.isStale(p) {
			v.update(now, r, p)
		}
	}
	v.suspectOmitted(reported, named)
}

// suspectOmitted suspects the live instances that their data centre no longer names.
func (v *View) suspectOmitted(reported map[fleet.DataCentre]bool, named map[fleet.Instance]bool) {
	if !v.settings.suspectOmitted {
		return
	}
	for _, r := range v.sorted {
		if r.state == StateLive && reported[r.peer.Place.DataCentre] && !named[r.peer.Instance] {
			v.setState(r, StateSuspected)
		}
	}
}

func (v *View) update(now time.Time, r *record, p Peer) {
	p.Revision = max(p.Revision, v.knownRevision(r, p.Incarnation))
	if p.Incarnation != r.peer.Incarnation || p.Place != r.peer.Place || p.Address != r.peer.Address {
		v.version++
	}
	r.replace(p, v.settings.stickyLeaving)
	r.lastReceived = latest(r.lastReceived, now)
	v.setState(r, r.reachableState())
}

// knownRevision returns the highest revision received from this incarnation.
func (v *View) knownRevision(r *record, incarnation string) uint64 {
	if r.peer.Incarnation != incarnation {
		return 0
	}
	return r.peer.Revision
}

// ApplyList applies the platform's list of instances, which may be stale. Unknown peers are
// added as targets. A leaving entry takes effect immediately; a live entry neither
// overrides leaving nor revives a dead peer.
func (v *View) ApplyList(now time.Time, peers []Peer) {
	v.listReceived = true
	for _, r := range v.sorted {
		r.listed = false
	}
	for _, p := range peers {
		if p.Instance == v.self.peer.Instance {
			continue
		}
		r := v.findOrAdd(p)
		r.listed = !p.Leaving
		if r.lastReceived.IsZero() {
			r.lastReceived = now
		}
		if p.Leaving {
			v.applyListedLeaving(r, p)
		}
	}
}

func (v *View) applyListedLeaving(r *record, p Peer) {
	r.leaving = appendRecent(r.leaving, p.Incarnation)
	if p.Incarnation != r.peer.Incarnation && p.Incarnation != "" {
		return
	}
	r.peer.Leaving = true
	r.leaving = appendRecent(r.leaving, r.peer.Incarnation)
	if r.state != StateDead {
		v.setState(r, StateLeaving)
	}
}

// Unreachable suspects a live peer immediately, for example after a refused connection.
func (v *View) Unreachable(instance fleet.Instance) {
	r, ok := v.records[instance]
	if ok && r != v.self && r.state == StateLive {
		v.addSuspicion(r, v.self.peer.Instance, r.peer.Sequence)
		v.setState(r, StateSuspected)
	}
}

// Tick checks for missed heartbeats and returns all changes since the last Tick, including
// those that other events caused.
func (v *View) Tick(now time.Time) []Change {
	v.compensatePause(now)
	v.lastTick = now
	local := v.localPeers()
	for _, r := range slices.Clone(v.sorted) {
		if r != v.self {
			v.checkTimeout(now, r, v.extraTimeout(r, local))
		}
	}
	changes := v.changes
	v.changes = nil
	return changes
}

// compensatePause advances all receive times by the time that this process itself was
// paused, so that its own pause does not count as missed heartbeats of others.
func (v *View) compensatePause(now time.Time) {
	if !v.settings.compensatePause || v.lastTick.IsZero() {
		return
	}
	paused := now.Sub(v.lastTick) - v.settings.interval
	if paused <= v.settings.interval {
		return
	}
	v.broadcast = true
	for _, r := range v.sorted {
		r.lastReceived = r.lastReceived.Add(paused)
		if r.lastReceived.After(now) {
			r.lastReceived = now
		}
	}
}

// checkTimeout suspects a peer, marks it dead or removes it, depending on how long nothing
// has arrived from it.
func (v *View) checkTimeout(now time.Time, r *record, extra time.Duration) {
	idle := now.Sub(r.lastReceived) - extra
	interval := v.settings.interval
	if r.peer.Place.DataCentre != v.self.peer.Place.DataCentre {
		interval = v.settings.exchangeInterval
	}
	switch {
	case r.state == StateListed || r.state == StateDead:
		if idle >= v.settings.forgetAfter && !r.listed {
			v.remove(r)
		}
	case idle >= time.Duration(v.settings.deadMissed)*interval:
		v.setState(r, StateDead)
	case r.state == StateLive && idle >= time.Duration(v.settings.suspectMissed)*interval:
		v.addSuspicion(r, v.self.peer.Instance, r.peer.Sequence)
		v.setState(r, StateSuspected)
	}
}

func (v *View) setState(r *record, to State) {
	if r.state == to {
		return
	}
	v.changes = append(v.changes, Change{
		Instance: r.peer.Instance, Incarnation: r.peer.Incarnation, From: r.state, To: to,
	})
	r.state = to
	v.version++
}

func (v *View) findOrAdd(p Peer) *record {
	r, ok := v.records[p.Instance]
	if !ok {
		r = newRecord(p)
		v.add(r)
	}
	return r
}

func (v *View) add(r *record) {
	v.records[r.peer.Instance] = r
	v.version++
	i, _ := slices.BinarySearchFunc(v.sorted, r.peer.Instance, byName)
	v.sorted = slices.Insert(v.sorted, i, r)
}

func (v *View) remove(r *record) {
	delete(v.records, r.peer.Instance)
	v.version++
	i, found := slices.BinarySearchFunc(v.sorted, r.peer.Instance, byName)
	if found {
		v.sorted = slices.Delete(v.sorted, i, i+1)
	}
}

func byName(r *record, name fleet.Instance) int {
	return cmp.Compare(r.peer.Instance, name)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
