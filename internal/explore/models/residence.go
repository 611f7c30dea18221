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

// Mechanisms of the residence model.
const (
	mechanismPromise  = "promise"
	mechanismVersion  = "version"
	mechanismDeclared = "declared"
	mechanismGuard    = "guard"
)

const (
	residentModel       = fleet.Model("board@1")
	maxDataCentreLosses = 4
)

var errLastCopy = errors.New("the last copy was given up")

func residenceModel() Model {
	return Model{
		Name:          "residence",
		Promise:       "the last copy of a model is never unloaded",
		CodeUnderTest: "internal/core/ledger, Residence",
		Mechanisms: []Mechanism{
			{mechanismPromise, "a copy is unloaded only after it was removed from the residence record"},
			{mechanismVersion, "a residence record is written only over the version that was read"},
			{mechanismDeclared, "the copies of a data centre count only after its placer has compared the record with its endpoint"},
			{mechanismGuard, "the write checks that the placers of the remaining copies still hold their leases"},
		},
		Start: func(disabled string) explore.State { return newResidence(disabled) },
	}
}

// residenceState is the residence record of one model, which lists its copies, and two data
// centres that hold copies. In the names of steps the entry of a copy in the record is its
// promise: the data centre promises to keep the copy.
type residenceState struct {
	disabled         string
	stored           ledger.Residence
	version          int
	dataCentres      [2]dataCentre
	lossesLeft       int
	lostDuringUnload bool // a data centre was lost during an unload in the other
}

// dataCentre is a data centre with its placer and its endpoint.
type dataCentre struct {
	// ready: the copy is loaded and serves. unloading: it was removed from the record and is
	// about to be unloaded.
	ready     bool
	unloading bool
	// leaseID is zero while no placer holds the lease; each holder gets a new one.
	leaseID     int
	lastLeaseID int
	// compared: the lease holder has compared the record with its endpoint.
	compared bool
	// retirement is what the placer has read in order to remove its copy.
	retirement *retirement
}

// retirement is what a placer has read when it is about to remove its copy.
type retirement struct {
	residence     ledger.Residence
	version       int
	otherLeaseID  int // of the other data centre
	otherCompared bool
	ownIndex      int
}

func newResidence(disabled string) *residenceState {
	s := &residenceState{disabled: disabled, stored: ledger.NewResidence(residentModel), version: 1, lossesLeft: maxDataCentreLosses}
	for i := range s.dataCentres {
		s.dataCentres[i] = dataCentre{ready: true, leaseID: 1, lastLeaseID: 1, compared: true}
		s.stored = s.stored.Add(copyAt(i))
	}
	return s
}

func copyAt(i int) ledger.Copy {
	return ledger.Copy{
		Endpoint: fleet.Endpoint(fmt.Sprint("e", i+1)), DataCentre: fleet.DataCentre(fmt.Sprint("d", i+1)), Region: "r",
	}
}

// Key implements explore.State. Of versions and leases only whether those that a
// retirement has read are still current matters.
func (s *residenceState) Key() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v %d %t", s.stored, s.lossesLeft, s.lostDuringUnload)
	for i, c := range s.dataCentres {
		fmt.Fprintf(&b, "|%t %t %t %t", c.ready, c.unloading, c.leaseID > 0, c.compared)
		if p := c.retirement; p != nil {
			fmt.Fprintf(&b, " %v %t %t %t %t", p.residence, p.version == s.version, p.otherLeaseID == s.dataCentres[1-i].leaseID, p.otherLeaseID > 0, p.otherCompared)
		}
	}
	return b.String()
}

// Check implements explore.State. Copies lost with their data centre are no violation, and
// neither are copies whose unload was in progress when another data centre was lost.
func (s *residenceState) Check() error {
	left := slices.ContainsFunc(s.dataCentres[:], func(c dataCentre) bool { return c.ready && !c.unloading })
	if s.unloadInProgress() && !left && !s.lostDuringUnload {
		return fmt.Errorf("%w: model %s", errLastCopy, residentModel)
	}
	return nil
}

// unloadInProgress reports whether a copy is about to be unloaded.
func (s *residenceState) unloadInProgress() bool {
	return slices.ContainsFunc(s.dataCentres[:], func(c dataCentre) bool { return c.unloading })
}

// Steps implements explore.State.
func (s *residenceState) Steps() []explore.Step {
	var steps []explore.Step
	for i, c := range s.dataCentres {
		add := func(name string, do func(s *residenceState, c *dataCentre)) {
			steps = append(steps, explore.Step{Name: fmt.Sprintf("data centre %d %s", i+1, name), Take: func() explore.State {
				next := *s
				do(&next, &next.dataCentres[i])
				return &next
			}})
		}
		if c.leaseID > 0 {
			s.leaseHolderSteps(i, c, add)
		} else {
			add("is back: its placer takes the lease", func(_ *residenceState, c *dataCentre) {
				c.lastLeaseID++
				c.leaseID, c.compared = c.lastLeaseID, false
			})
		}
		if c.retirement != nil {
			add("takes back the promise of its copy", (*residenceState).retire)
		}
		if c.unloading {
			add("unloads its copy", func(s *residenceState, c *dataCentre) {
				c.ready, c.unloading = false, false
				s.lostDuringUnload = s.lostDuringUnload && s.unloadInProgress()
			})
		}
		if s.lossesLeft > 0 && c.leaseID > 0 {
			add("is lost, its lease lapses", func(s *residenceState, c *dataCentre) {
				s.lossesLeft--
				c.ready, c.unloading, c.leaseID = false, false, 0
				s.lostDuringUnload = s.unloadInProgress()
			})
		}
	}
	return steps
}

// leaseHolderSteps adds the steps of a placer that holds its lease.
func (s *residenceState) leaseHolderSteps(i int, c dataCentre, add func(string, func(*residenceState, *dataCentre))) {
	if !c.compared || s.stored.Has(copyAt(i).Endpoint) != (c.ready && !c.unloading) {
		add("compares the promises with its endpoint", func(s *residenceState, c *dataCentre) { s.compare(i, c) })
	}
	if c.ready && !c.unloading && c.retirement == nil {
		add("reads the promises, to give its copy up", func(s *residenceState, c *dataCentre) {
			other := s.dataCentres[1-i]
			c.retirement = &retirement{residence: s.stored, version: s.version, otherLeaseID: other.leaseID, otherCompared: other.compared, ownIndex: i}
		})
	}
	if !c.ready {
		add("loads the model", func(_ *residenceState, c *dataCentre) { c.ready = true })
	}
}

func (s *residenceState) compare(i int, c *dataCentre) {
	if c.ready && !c.unloading {
		s.write(s.stored.Add(copyAt(i)))
	} else {
		s.write(s.stored.RemoveLost(copyAt(i).Endpoint))
	}
	c.compared = true
}

// retire removes the data centre's copy from the record and starts its unload, if the
// production residence code and then the store's conditions allow it.
func (s *residenceState) retire(c *dataCentre) {
	p := c.retirement
	c.retirement = nil
	if s.disabled == mechanismPromise {
		c.unloading = c.ready
		return
	}
	other := copyAt(1 - p.ownIndex)
	left, err := p.residence.Remove(copyAt(p.ownIndex).Endpoint, 1, func(c ledger.Copy) bool {
		return c.Endpoint == other.Endpoint && p.otherLeaseID > 0 && (p.otherCompared || s.disabled == mechanismDeclared)
	})
	leaseHeld := p.otherLeaseID == s.dataCentres[1-p.ownIndex].leaseID || s.disabled == mechanismGuard
	versionUnchanged := p.version == s.version || s.disabled == mechanismVersion
	if err != nil || !leaseHeld || !versionUnchanged || c.leaseID == 0 {
		return
	}
	s.write(left)
	c.unloading = c.ready
}

// write stores a residence record in its stored encoding.
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
