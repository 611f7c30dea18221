package models

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/chiveramp/chiveramp/internal/core/revision"
	"github.com/chiveramp/chiveramp/internal/explore"
)

// The mechanisms of the document; the read back and the store's compare stand in claims.go.
const (
	mechanismRising     = "rising"
	mechanismSettling   = "settling"
	mechanismStoreAsked = "store-asked"
)

const (
	documentInstances = 3
	maxDocumentEdits  = 2
	maxApplyTries     = 3
)

var (
	errReverted = errors.New("a lower revision is in force than before")
	errEditLost = errors.New("an accepted edit is not part of the newest document")
)

func documentModel() Model {
	return Model{
		Name:          "document",
		Promise:       "an accepted configuration is never lost and never reverts",
		CodeUnderTest: "internal/core/revision, Ledger",
		Mechanisms: []Mechanism{
			{mechanismRising, "a lower revision is never put in force"},
			{mechanismSettling, "a restarted instance hears all peers before its first document is in force"},
			{mechanismStoreAsked, "a restarted instance reads the store before it takes its first document from peers"},
			{mechanismReadBack, "an edit whose reply was lost is read back"},
			{mechanismCompare, "the store writes a document only over the version that was read"},
		},
		Start: func(disabled string) explore.State { return newDocument(disabled) },
	}
}

// documentState is the store, the instances and what operators were told.
type documentState struct {
	disabled   string
	stored     revision.Document
	version    int
	backup     revision.Document
	instances  [documentInstances]instance
	editsLeft  int
	accepted   []string
	faultsLeft documentFaults
}

// documentFaults are how many restarts, freezes and restores may still happen, and how
// many writes may lose their reply or get lost.
type documentFaults struct {
	disruptions, writeFaults int
}

// instance is one instance.
type instance struct {
	tracker   revision.Tracker
	frozen    bool
	storeRead bool // the store, since the start
	// receivedFrom are the peers that told their revision since the start.
	receivedFrom [documentInstances]bool
	// highestInForce is the highest revision that was ever in force here, knew the highest heard of
	// since the start.
	highestInForce  uint64
	highestReceived uint64
	// pendingWrite is what is about to be written, with the version that was read.
	pendingWrite *revision.Document
	readVersion  int
	edit         *edit
}

// edit is an operator's apply at an instance.
type edit struct {
	id        string
	expect    uint64
	triesLeft int
}

func newDocument(disabled string) *documentState {
	first := revision.Document{Revision: 1, ApplyID: "first"}
	s := &documentState{
		disabled: disabled, stored: first, version: 1, backup: first, editsLeft: maxDocumentEdits, accepted: []string{first.ApplyID},
		faultsLeft: documentFaults{disruptions: 2, writeFaults: 1},
	}
	for i := range s.instances {
		s.instances[i].tracker = *revision.New(s.options()...)
		s.instances[i].offer(first)
	}
	return s
}

func (s *documentState) options() []revision.Option {
	switch s.disabled {
	case mechanismRising:
		return []revision.Option{revision.WithoutMonotonicRevisions()}
	case mechanismSettling:
		return []revision.Option{revision.WithoutSettling()}
	default:
		return nil
	}
}

// Key implements explore.State.
func (s *documentState) Key() string {
	var b strings.Builder
	fmt.Fprint(&b, s.stored, s.backup, s.editsLeft, s.accepted, s.faultsLeft)
	for _, n := range s.instances {
		fmt.Fprint(&b, "|", n.tracker, n.frozen, n.storeRead, n.receivedFrom, n.highestInForce, n.highestReceived)
		if n.pendingWrite != nil {
			fmt.Fprint(&b, " w", *n.pendingWrite, n.readVersion == s.version)
		}
		if n.edit != nil {
			fmt.Fprint(&b, " e", *n.edit)
		}
	}
	return b.String()
}

// Check implements explore.State.
func (s *documentState) Check() error {
	newest := s.stored
	for i, n := range s.instances {
		d, ready := n.tracker.Current()
		if ready && d.Revision < n.highestInForce {
			return fmt.Errorf("%w: %d at instance %d, %d before", errReverted, d.Revision, i+1, n.highestInForce)
		}
		if d.Revision > newest.Revision {
			newest = d
		}
	}
	for _, id := range s.accepted {
		if _, ok := newest.AcceptedRevision(id); !ok {
			return fmt.Errorf("%w: %s, revision %d", errEditLost, id, newest.Revision)
		}
	}
	return nil
}

// propagated reports whether every instance that has heard anything knows of what the store
// holds: a restore takes longer than a heartbeat.
func (s *documentState) propagated() bool {
	return !slices.ContainsFunc(s.instances[:], func(n instance) bool {
		started := n.tracker.Ready() || n.receivedFrom != [documentInstances]bool{}
		return started && n.highestReceived < s.stored.Revision
	})
}

// hasOtherCopy reports whether a revision stands in another place than instance i (the store
// when i is negative), so that no fault takes the only copy of it. A frozen instance's
// copy can't be had.
func (s *documentState) hasOtherCopy(i int, rev uint64) bool {
	if i >= 0 && s.stored.Revision >= rev {
		return true
	}
	return slices.ContainsFunc(s.others(i), func(j int) bool {
		d, _ := s.instances[j].tracker.Current()
		return !s.instances[j].frozen && d.Revision >= rev
	})
}

func (*documentState) others(i int) []int {
	var list []int
	for j := range documentInstances {
		if j != i {
			list = append(list, j)
		}
	}
	return list
}

// offer puts a document from the store in force if it is higher.
func (n *instance) offer(d revision.Document) {
	_, _ = n.tracker.Offer(d) // a fork stays out of force
	n.noteRevision()
}

func (n *instance) noteRevision() {
	d, _ := n.tracker.Current()
	n.highestInForce = max(n.highestInForce, d.Revision)
	n.highestReceived = max(n.highestReceived, d.Revision)
}
