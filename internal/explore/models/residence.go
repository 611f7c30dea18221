package models

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/ledger"
	"github.com/chiveramp/chiveramp/internal/explore"
)

// The mechanisms of residence.
const (
	offPromise  = "promise"
	offVersion  = "version"
	offDeclared = "declared"
	offGuard    = "guard"
)

const (
	residentModel = fleet.Model("board@1")
	centreLosses  = 4
)

var errLastCopy = errors.New("the last copy was given up")

func residence() Model {
	return Model{
		Name:    "residence",
		Promise: "the last copy of a model is never given up",
		Drives:  "internal/core/ledger, Residence",
		Mechanisms: []Mechanism{
			{offPromise, "a copy is given up only once its promise was taken back"},
			{offVersion, "a residence is written only over the version that was read"},
			{offDeclared, "a data centre's copies count once its placer has compared them"},
			{offGuard, "the write checks that the placers relied on hold their leases"},
		},
		Start: func(off string) explore.State { return newResidence(off) },
	}
}

// residenceState is one model's residence and two data centres that hold copies.
type residenceState struct {
	off     string
	stored  ledger.Residence
	version int
	centres [2]centre
	losses  int
	lost    bool // a data centre was lost while an unload was on its way
}

// centre is a data centre with its placer and its endpoint.
type centre struct {
	// ready is a copy that serves, leaving one whose promise was taken back.
	ready   bool
	leaving bool
	// lease is zero while nobody holds it; each holder has another.
	lease    int
	leases   int
	compared bool
	// plan is what the placer read before it gives its copy up.
	plan *retirement
}

// retirement is a placer's knowledge while it is about to give a copy up.
type retirement struct {
	residence ledger.Residence
	version   int
	lease     int // of the other data centre
	compared  bool
	own       int
}

func newResidence(off string) *residenceState {
	s := &residenceState{off: off, stored: ledger.NewResidence(residentModel), version: 1, losses: centreLosses}
	for i := range s.centres {
		s.centres[i] = centre{ready: true, lease: 1, leases: 1, compared: true}
		s.stored = s.stored.Add(copyAt(i))
	}
	return s
}

func copyAt(i int) ledger.Copy {
	return ledger.Copy{
		Endpoint: fleet.Endpoint(fmt.Sprint("e", i+1)), DataCentre: fleet.DataCentre(fmt.Sprint("d", i+1)), Region: "r",
	}
}

// Key implements explore.State. Of versions and leases it matters only whether those that
// a plan has read still stand.
func (s *residenceState) Key() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v %d %t", s.stored, s.losses, s.lost)
	for i, c := range s.centres {
		fmt.Fprintf(&b, "|%t %t %t %t", c.ready, c.leaving, c.lease > 0, c.compared)
		if p := c.plan; p != nil {
			fmt.Fprintf(&b, " %v %t %t %t %t", p.residence, p.version == s.version, p.lease == s.centres[1-i].lease, p.lease > 0, p.compared)
		}
	}
	return b.String()
}

// Check implements explore.State. A copy that goes down with its data centre is not
// given up, and neither is one whose unload was on its way then.
func (s *residenceState) Check() error {
	left := slices.ContainsFunc(s.centres[:], func(c centre) bool { return c.ready && !c.leaving })
	if s.giving() && !left && !s.lost {
		return fmt.Errorf("%w: model %s", errLastCopy, residentModel)
	}
	return nil
}

// giving reports whether an unload is on its way.
func (s *residenceState) giving() bool {
	return slices.ContainsFunc(s.centres[:], func(c centre) bool { return c.leaving })
}

// Steps implements explore.State.
func (s *residenceState) Steps() []explore.Step {
	var steps []explore.Step
	for i, c := range s.centres {
		add := func(name string, do func(s *residenceState, c *centre)) {
			steps = append(steps, explore.Step{Name: fmt.Sprintf("data centre %d %s", i+1, name), Take: func() explore.State {
				next := *s
				do(&next, &next.centres[i])
				return &next
			}})
		}
		if c.lease > 0 {
			s.holds(i, c, add)
		} else {
			add("is back: its placer takes the lease", func(_ *residenceState, c *centre) {
				c.leases++
				c.lease, c.compared = c.leases, false
			})
		}
		if c.plan != nil {
			add("takes back the promise of its copy", (*residenceState).retire)
		}
		if c.leaving {
			add("unloads its copy", func(s *residenceState, c *centre) {
				c.ready, c.leaving = false, false
				s.lost = s.lost && s.giving()
			})
		}
		if s.losses > 0 && c.lease > 0 {
			add("is lost, its lease lapses", func(s *residenceState, c *centre) {
				s.losses--
				c.ready, c.leaving, c.lease = false, false, 0
				s.lost = s.giving()
			})
		}
	}
	return steps
}

// holds adds what a placer with its lease may do.
func (s *residenceState) holds(i int, c centre, add func(string, func(*residenceState, *centre))) {
	if !c.compared || s.stored.Has(copyAt(i).Endpoint) != (c.ready && !c.leaving) {
		add("compares the promises with its endpoint", func(s *residenceState, c *centre) { s.compare(i, c) })
	}
	if c.ready && !c.leaving && c.plan == nil {
		add("reads the promises, to give its copy up", func(s *residenceState, c *centre) {
			other := s.centres[1-i]
			c.plan = &retirement{residence: s.stored, version: s.version, lease: other.lease, compared: other.compared, own: i}
		})
	}
	if !c.ready {
		add("loads the model", func(_ *residenceState, c *centre) { c.ready = true })
	}
}

func (s *residenceState) compare(i int, c *centre) {
	if c.ready && !c.leaving {
		s.write(s.stored.Add(copyAt(i)))
	} else {
		s.write(s.stored.RemoveLost(copyAt(i).Endpoint))
	}
	c.compared = true
}

// retire gives a copy up if the real residence, and then the store, allow it.
func (s *residenceState) retire(c *centre) {
	p := c.plan
	c.plan = nil
	if s.off == offPromise {
		c.leaving = c.ready
		return
	}
	other := copyAt(1 - p.own)
	left, err := p.residence.Remove(copyAt(p.own).Endpoint, 1, func(c ledger.Copy) bool {
		return c.Endpoint == other.Endpoint && p.lease > 0 && (p.compared || s.off == offDeclared)
	})
	held := p.lease == s.centres[1-p.own].lease || s.off == offGuard
	same := p.version == s.version || s.off == offVersion
	if err != nil || !held || !same || c.lease == 0 {
		return
	}
	s.write(left)
	c.leaving = c.ready
}

// write stores a residence in the form that the store holds.
func (s *residenceState) write(r ledger.Residence) {
	data, err := r.Encode()
	if err == nil {
		s.stored, err = ledger.DecodeResidence(data)
	}
	if err != nil {
		panic(err) // written by the same code
	}
	s.version++
}
