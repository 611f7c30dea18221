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
	settings settings
	self     *record
	records  map[fleet.Instance]*record
	order    []*record // by instance name
	changes  []Change
	ticked   time.Time
	round    uint64
	turn     uint64
	listed   bool           // whether any list was seen
	wide     bool           // whether the next round goes to all
	cursor   fleet.Instance // whose turn it was last
	exchange map[fleet.DataCentre]time.Time
}

// New returns a view that knows only its own instance.
func New(self Peer, opts ...Option) *View {
	s := defaults()
	for _, opt := range opts {
		opt(&s)
	}
	v := &View{
		settings: s,
		self:     newRecord(self),
		records:  map[fleet.Instance]*record{},
		exchange: map[fleet.DataCentre]time.Time{},
	}
	v.self.state = v.self.heardState()
	v.add(v.self)
	return v
}

// Self returns the own instance as it stands.
func (v *View) Self() Peer {
	return v.self.peer
}

// Beat returns the own instance with the next sequence number, to be sent as a heartbeat.
func (v *View) Beat() Peer {
	v.self.peer.Sequence++
	return v.self.peer
}

// Leave marks the own instance as leaving; there is no way back.
func (v *View) Leave() {
	v.self.peer.Leaving = true
	v.wide = true
	v.move(v.self, StateLeaving)
}

// SetRevision sets the own document revision. A lower one is ignored.
func (v *View) SetRevision(revision uint64) {
	v.wide = v.wide || revision > v.self.peer.Revision
	v.self.peer.Revision = max(v.self.peer.Revision, revision)
}

// Observe takes a heartbeat heard from the peer itself.
func (v *View) Observe(now time.Time, p Peer) {
	if p.Instance == v.self.peer.Instance {
		return
	}
	r := v.record(p)
	if r.stale(p) {
		return
	}
	r.pace = now.Sub(r.heard)
	maps.DeleteFunc(r.accusers, func(_ fleet.Instance, sequence uint64) bool {
		return sequence < p.Sequence || p.Incarnation != r.peer.Incarnation
	})
	r.answer = r.answer || (r.state != StateLive && r.state != StateLeaving)
	v.accept(now, r, p)
}

// Remote takes what other data centres told of their instances: of each that is named,
// all that take new work. One that is no longer named is suspected at once. News of the
// own data centre only adds peers to talk to.
func (v *View) Remote(now time.Time, peers []Peer) {
	named := map[fleet.Instance]bool{}
	told := map[fleet.DataCentre]bool{}
	for _, p := range peers {
		if p.Instance == v.self.peer.Instance {
			continue
		}
		r := v.record(p)
		if p.Place.DataCentre == v.self.peer.Place.DataCentre {
			continue
		}
		named[p.Instance], told[p.Place.DataCentre] = true, true
		if p.Sequence == 0 && p.Incarnation == r.peer.Incarnation {
			p.Sequence = r.peer.Sequence // totals tell none
		}
		if !r.stale(p) {
			v.accept(now, r, p)
		}
	}
	v.omitted(told, named)
}

// omitted suspects the live instances that their data centre names no more.
func (v *View) omitted(told map[fleet.DataCentre]bool, named map[fleet.Instance]bool) {
	if !v.settings.omitted {
		return
	}
	for _, r := range v.order {
		if r.state == StateLive && told[r.peer.Place.DataCentre] && !named[r.peer.Instance] {
			v.move(r, StateSuspected)
		}
	}
}

func (v *View) accept(now time.Time, r *record, p Peer) {
	p.Revision = max(p.Revision, v.known(r, p.Incarnation))
	r.replace(p, v.settings.sticky)
	r.heard = later(r.heard, now)
	v.move(r, r.heardState())
}

// known is the revision already heard from this incarnation.
func (v *View) known(r *record, incarnation string) uint64 {
	if r.peer.Incarnation != incarnation {
		return 0
	}
	return r.peer.Revision
}

// Listed takes the platform's lagging list. Unknown peers become peers to talk to.
// Leaving counts at once; live never overrides leaving and revives nobody.
func (v *View) Listed(now time.Time, peers []Peer) {
	v.listed = true
	for _, r := range v.order {
		r.listed = false
	}
	for _, p := range peers {
		if p.Instance == v.self.peer.Instance {
			continue
		}
		r := v.record(p)
		r.listed = !p.Leaving
		if r.heard.IsZero() {
			r.heard = now
		}
		if p.Leaving {
			v.listedLeaving(r, p)
		}
	}
}

func (v *View) listedLeaving(r *record, p Peer) {
	r.left = remember(r.left, p.Incarnation)
	if p.Incarnation != r.peer.Incarnation && p.Incarnation != "" {
		return
	}
	r.peer.Leaving = true
	r.left = remember(r.left, r.peer.Incarnation)
	if r.state != StateDead {
		v.move(r, StateLeaving)
	}
}

// Unreachable marks a live peer as suspected at once, as after a refused connection.
func (v *View) Unreachable(instance fleet.Instance) {
	r, ok := v.records[instance]
	if ok && r != v.self && r.state == StateLive {
		v.accuse(r, v.self.peer.Instance, r.peer.Sequence)
		v.move(r, StateSuspected)
	}
}

// Tick judges missed heartbeats and returns the changes since the last Tick, those
// caused by other events included.
func (v *View) Tick(now time.Time) []Change {
	v.forgive(now)
	v.ticked = now
	near := v.neighbours()
	for _, r := range slices.Clone(v.order) {
		if r != v.self {
			v.judge(now, r, v.spare(r, near))
		}
	}
	changes := v.changes
	v.changes = nil
	return changes
}

// forgive moves all hearing times on by the time that this instance itself was
// paused, so that its own pause is not taken for the silence of others.
func (v *View) forgive(now time.Time) {
	if !v.settings.pause || v.ticked.IsZero() {
		return
	}
	paused := now.Sub(v.ticked) - v.settings.interval
	if paused <= v.settings.interval {
		return
	}
	v.wide = true
	for _, r := range v.order {
		r.heard = r.heard.Add(paused)
		if r.heard.After(now) {
			r.heard = now
		}
	}
}

func (v *View) judge(now time.Time, r *record, spare time.Duration) {
	silent := now.Sub(r.heard) - spare
	unit := v.settings.interval
	if r.peer.Place.DataCentre != v.self.peer.Place.DataCentre {
		unit = v.settings.exchange
	}
	switch {
	case r.state == StateListed || r.state == StateDead:
		if silent >= v.settings.forget && !r.listed {
			v.drop(r)
		}
	case silent >= time.Duration(v.settings.dead)*unit:
		v.move(r, StateDead)
	case r.state == StateLive && silent >= time.Duration(v.settings.suspect)*unit:
		v.accuse(r, v.self.peer.Instance, r.peer.Sequence)
		v.move(r, StateSuspected)
	}
}

func (v *View) move(r *record, to State) {
	if r.state == to {
		return
	}
	v.changes = append(v.changes, Change{
		Instance: r.peer.Instance, Incarnation: r.peer.Incarnation, From: r.state, To: to,
	})
	r.state = to
}

func (v *View) record(p Peer) *record {
	r, ok := v.records[p.Instance]
	if !ok {
		r = newRecord(p)
		v.add(r)
	}
	return r
}

func (v *View) add(r *record) {
	v.records[r.peer.Instance] = r
	i, _ := slices.BinarySearchFunc(v.order, r.peer.Instance, byName)
	v.order = slices.Insert(v.order, i, r)
}

func (v *View) drop(r *record) {
	delete(v.records, r.peer.Instance)
	i, found := slices.BinarySearchFunc(v.order, r.peer.Instance, byName)
	if found {
		v.order = slices.Delete(v.order, i, i+1)
	}
}

func byName(r *record, name fleet.Instance) int {
	return cmp.Compare(r.peer.Instance, name)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
