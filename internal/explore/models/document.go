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
	offRising   = "rising"
	offSettling = "settling"
	offAsked    = "store-asked"
)

const (
	documentNodes = 3
	documentEdits = 2
	applyTries    = 3
)

var (
	errReverted = errors.New("a lower revision is in force than before")
	errGone     = errors.New("an accepted edit is not part of the newest document")
)

func document() Model {
	return Model{
		Name:    "document",
		Promise: "an accepted configuration is never lost and never reverts",
		Drives:  "internal/core/revision, Ledger",
		Mechanisms: []Mechanism{
			{offRising, "a lower revision is never put in force"},
			{offSettling, "a restarted instance hears all peers before its first document is in force"},
			{offAsked, "a restarted instance reads the store before it takes its first document from peers"},
			{offReadBack, "an edit whose reply was lost is read back"},
			{offCompare, "the store writes a document only over the version that was read"},
		},
		Start: func(off string) explore.State { return newDocument(off) },
	}
}

// documentState is the store, the instances and what operators were told.
type documentState struct {
	off      string
	stored   revision.Document
	version  int
	backup   revision.Document
	nodes    [documentNodes]node
	edits    int
	accepted []string
	left     documentFaults
}

// documentFaults are how many restarts, freezes and restores may still happen, and how
// many writes may lose their reply or get lost.
type documentFaults struct {
	places, replies int
}

// node is one instance.
type node struct {
	ledger revision.Tracker
	frozen bool
	asked  bool // the store, since the start
	// heard are the peers that told their revision since the start.
	heard [documentNodes]bool
	// top is the highest revision that was ever in force here, knew the highest heard of
	// since the start.
	top  uint64
	knew uint64
	// write is what is about to be written, with the version that was read.
	write   *revision.Document
	version int
	edit    *edit
}

// edit is an operator's apply at an instance.
type edit struct {
	id     string
	expect uint64
	tries  int
}

func newDocument(off string) *documentState {
	first := revision.Document{Revision: 1, ApplyID: "first"}
	s := &documentState{
		off: off, stored: first, version: 1, backup: first, edits: documentEdits, accepted: []string{first.ApplyID},
		left: documentFaults{places: 2, replies: 1},
	}
	for i := range s.nodes {
		s.nodes[i].ledger = *revision.New(s.options()...)
		s.nodes[i].offer(first)
	}
	return s
}

func (s *documentState) options() []revision.Option {
	switch s.off {
	case offRising:
		return []revision.Option{revision.WithoutMonotonicRevisions()}
	case offSettling:
		return []revision.Option{revision.WithoutSettling()}
	default:
		return nil
	}
}

// Key implements explore.State.
func (s *documentState) Key() string {
	var b strings.Builder
	fmt.Fprint(&b, s.stored, s.backup, s.edits, s.accepted, s.left)
	for _, n := range s.nodes {
		fmt.Fprint(&b, "|", n.ledger, n.frozen, n.asked, n.heard, n.top, n.knew)
		if n.write != nil {
			fmt.Fprint(&b, " w", *n.write, n.version == s.version)
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
	for i, n := range s.nodes {
		d, ready := n.ledger.Current()
		if ready && d.Revision < n.top {
			return fmt.Errorf("%w: %d at instance %d, %d before", errReverted, d.Revision, i+1, n.top)
		}
		if d.Revision > newest.Revision {
			newest = d
		}
	}
	for _, id := range s.accepted {
		if _, ok := newest.AcceptedRevision(id); !ok {
			return fmt.Errorf("%w: %s, revision %d", errGone, id, newest.Revision)
		}
	}
	return nil
}

// spread reports whether every instance that has heard anything knows of what the store
// holds: a restore takes longer than a heartbeat.
func (s *documentState) spread() bool {
	return !slices.ContainsFunc(s.nodes[:], func(n node) bool {
		started := n.ledger.Ready() || n.heard != [documentNodes]bool{}
		return started && n.knew < s.stored.Revision
	})
}

// spare reports whether a revision stands in another place than instance i (the store
// when i is negative), so that no fault takes the only copy of it. A frozen instance's
// copy can't be had.
func (s *documentState) spare(i int, rev uint64) bool {
	if i >= 0 && s.stored.Revision >= rev {
		return true
	}
	return slices.ContainsFunc(s.others(i), func(j int) bool {
		d, _ := s.nodes[j].ledger.Current()
		return !s.nodes[j].frozen && d.Revision >= rev
	})
}

func (*documentState) others(i int) []int {
	var list []int
	for j := range documentNodes {
		if j != i {
			list = append(list, j)
		}
	}
	return list
}

// offer puts a document from the store in force if it is higher.
func (n *node) offer(d revision.Document) {
	_, _ = n.ledger.Offer(d) // a fork stays out of force
	n.note()
}

func (n *node) note() {
	d, _ := n.ledger.Current()
	n.top = max(n.top, d.Revision)
	n.knew = max(n.knew, d.Revision)
}
