package models

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/chiveramp/chiveramp/internal/core/revision"
	"github.com/chiveramp/chiveramp/internal/explore"
)

// Mechanisms of the document model; mechanismReadBack and mechanismCompare are in claims.go.
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
		CodeUnderTest: "internal/core/revision, Tracker",
		Mechanisms: []Mechanism{
			{mechanismRising, "a lower revision is never put in force"},
			{mechanismSettling, "a restarted instance puts its first document in force only after it has received the revisions of all peers"},
			{mechanismStoreAsked, "a restarted instance reads the store before it puts its first document in force"},
			{mechanismReadBack, "an edit whose write got no reply is read back"},
			{mechanismCompare, "the store writes a document only over the version that was read"},
		},
		Start: func(disabled string) explore.State { return newDocument(disabled) },
	}
}

// documentState is the store, the instances and the edits reported to operators as accepted.
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

// documentFaults is how many disruptions (restarts, freezes and restores) may still happen,
// and how many writes may be lost or lose their reply.
type documentFaults struct {
	disruptions, writeFaults int
}

// instance is the state of one instance.
type instance struct {
	tracker   revision.Tracker
	frozen    bool
	storeRead bool // since the start
	// receivedFrom marks the peers whose revision was received since the start.
	receivedFrom [documentInstances]bool
	// highestInForce is the highest revision that was ever in force here, also before a
	// restart; highestReceived is the highest received since the start.
	highestInForce  uint64
	highestReceived uint64
	// pendingWrite is the document to write next, over the version in readVersion.
	pendingWrite *revision.Document
	readVersion  int
	edit         *edit
}

// edit is an operator's apply call at an instance.
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

// propagated reports whether every instance that has a document or has received anything
// since its start has received the stored revision. A restore is possible only then, since
// it takes longer than a heartbeat.
func (s *documentState) propagated() bool {
	return !slices.ContainsFunc(s.instances[:], func(n instance) bool {
		started := n.tracker.Ready() || n.receivedFrom != [documentInstances]bool{}
		return started && n.highestReceived < s.stored.Revision
	})
}

// hasOtherCopy reports whether a revision is available elsewhere than at instance i (or, if
// i is negative, than in the store), so that no fault destroys its only copy. The copy of a
// frozen instance is not available.
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

// offer puts a document from the store in force if its revision is higher.
func (i *instance) offer(d revision.Document) {
	_, _ = i.tracker.Offer(d) // a forked document is rejected
	i.noteRevision()
}

func (i *instance) noteRevision() {
	d, _ := i.tracker.Current()
	i.highestInForce = max(i.highestInForce, d.Revision)
	i.highestReceived = max(i.highestReceived, d.Revision)
}
