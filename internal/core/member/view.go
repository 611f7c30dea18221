package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// View is what one instance believes of all the others.
type View struct {
	settings     settings
	self         *record
	records      map[fleet.Instance]*record
	sorted       []*record // by instance name
	changes      []Change
	lastTick     time.Time
	round        uint64
	exchangeTurn uint64
	listReceived bool           // whether any list was seen
	broadcast    bool           // whether the next round goes to all
	cursor       fleet.Instance // whose turn it was last
	lastExchange map[fleet.DataCentre]time.Time
}

// New returns a view that knows only its own instance.
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

// Self returns the own instance as it stands.
func (v *View) Self() Peer {
	return v.self.peer
}

// Heartbeat returns the own instance with the next sequence number, to be sent as a heartbeat.
func (v *View) Heartbeat() Peer {
	v.self.peer.Sequence++
	return v.self.peer
}

// Leave marks the own instance as leaving; there is no way back.
func (v *View) Leave() {
	v.self.peer.Leaving = true
	v.broadcast = true
	v.setState(v.self, StateLeaving)
}

// SetRevision sets the own document revision. A lower one is ignored.
func (v *View) SetRevision(revision uint64) {
	v.broadcast = v.broadcast || revision > v.self.peer.Revision
	v.self.peer.Revision = max(v.self.peer.Revision, revision)
}

// Observe takes a heartbeat heard from the peer itself.
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

// ObserveRemote takes what other data centres told of their instances: of each that is named,
// all that take new work. One that is no longer named is suspected at once. News of the
// own data centre only adds peers to talk to.
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
			p.Sequence = r.peer.Sequence // totals tell none
		}
		if !r.isStale(p) {
			v.update(now, r, p)
		}
	}
	v.suspectOmitted(reported, named)
}

// suspectOmitted suspects the live instances that their data centre names no more.
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
	r.replace(p, v.settings.stickyLeaving)
	r.lastReceived = latest(r.lastReceived, now)
	v.setState(r, r.reachableState())
}

// knownRevision is the revision already heard from this incarnation.
func (v *View) knownRevision(r *record, incarnation string) uint64 {
	if r.peer.Incarnation != incarnation {
		return 0
	}
	return r.peer.Revision
}

// ApplyList takes the platform's lagging list. Unknown peers become peers to talk to.
// Leaving counts at once; live never overrides leaving and revives nobody.
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

// Unreachable marks a live peer as suspected at once, as after a refused connection.
func (v *View) Unreachable(instance fleet.Instance) {
	r, ok := v.records[instance]
	if ok && r != v.self && r.state == StateLive {
		v.addSuspicion(r, v.self.peer.Instance, r.peer.Sequence)
		v.setState(r, StateSuspected)
	}
}

// Tick judges missed heartbeats and returns the changes since the last Tick, those
// caused by other events included.
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

// compensatePause moves all hearing times on by the time that this instance itself was
// paused, so that its own pause is not taken for the silence of others.
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
	i, _ := slices.BinarySearchFunc(v.sorted, r.peer.Instance, byName)
	v.sorted = slices.Insert(v.sorted, i, r)
}

func (v *View) remove(r *record) {
	delete(v.records, r.peer.Instance)
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
