package models

import (
	"errors"
	"fmt"
	"slices"

	"github.com/chiveramp/chiveramp/internal/core/revision"
	"github.com/chiveramp/chiveramp/internal/explore"
)

// documentSteps gathers what may happen in a state.
type documentSteps struct {
	from  *documentState
	steps []explore.Step
}

// Steps implements explore.State.
func (s *documentState) Steps() []explore.Step {
	b := &documentSteps{from: s}
	for i, n := range s.nodes {
		if n.frozen {
			b.add(i, "wakes", func(_ *documentState, n *node) { n.frozen = false })
			continue
		}
		b.store(i, n)
		b.peers(i, n)
		b.operator(i, n)
		b.faults(i, n)
	}
	if d := s.left; d.places > 0 && s.backup.Revision < s.stored.Revision && s.spare(-1, s.stored.Revision) && s.spread() {
		b.add(-1, "the store is restored from its backup", func(s *documentState, _ *node) {
			s.left.places--
			s.stored = s.backup
			s.version++
		})
	}
	return b.steps
}

func (b *documentSteps) add(i int, name string, do func(s *documentState, n *node)) {
	if i >= 0 {
		name = fmt.Sprintf("instance %d %s", i+1, name)
	}
	b.steps = append(b.steps, explore.Step{Name: name, Take: func() explore.State {
		next := *b.from
		if i < 0 {
			do(&next, nil)
		} else {
			do(&next, &next.nodes[i])
		}
		return &next
	}})
}

// store adds what an instance does at the store: it watches, and writes what it planned.
func (b *documentSteps) store(i int, n node) {
	if n.write != nil {
		title := fmt.Sprintf("writes revision %d (%s)", n.write.Revision, n.write.ApplyID)
		b.add(i, title, (*documentState).write)
		if b.from.left.replies > 0 && n.edit != nil {
			b.add(i, title+", the reply is lost", func(s *documentState, n *node) {
				s.left.replies--
				edit, doc := n.edit, *n.write
				n.edit = nil
				s.write(n)
				n.edit = edit
				if s.off == offReadBack {
					s.accept(n, doc)
				}
			})
			b.add(i, title+", the write is lost", func(s *documentState, n *node) {
				s.left.replies--
				doc := *n.write
				n.write = nil
				if s.off == offReadBack {
					s.accept(n, doc)
				}
			})
		}
		return
	}
	b.add(i, "reads the store", func(s *documentState, n *node) {
		_, _ = n.ledger.OfferPeer(s.stored) // a fork stays out of force
		n.note()
		if d, needed := n.ledger.Repair(s.stored); needed {
			n.write, n.version = &d, s.version
		}
	})
}

// write stores a document over the version that was read.
func (s *documentState) write(n *node) {
	doc := *n.write
	n.write = nil
	if n.version != s.version && s.off != offCompare {
		return
	}
	s.stored = doc
	s.version++
	if n.edit != nil && n.edit.id == doc.ApplyID {
		s.accept(n, doc)
	}
}

// accept tells the operator that its edit was accepted.
func (s *documentState) accept(n *node, d revision.Document) {
	s.accepted = append(slices.Clone(s.accepted), n.edit.id)
	n.edit = nil
	n.offer(d)
}

// peers adds what an instance hears and takes from others.
func (b *documentSteps) peers(i int, n node) {
	heard := true
	for _, j := range b.from.others(i) {
		peer := b.from.nodes[j]
		heard = heard && (n.heard[j] || peer.frozen)
		d, ready := peer.ledger.Current()
		if peer.frozen || !ready {
			continue
		}
		b.add(i, fmt.Sprintf("hears from instance %d of revision %d", j+1, d.Revision), func(_ *documentState, n *node) {
			n.ledger.ObserveRevision(d.Revision)
			n.heard[j] = true
			n.knew = max(n.knew, d.Revision)
		})
		if n.heard[j] && d.Revision > n.ledger.HighestKnown() {
			b.add(i, fmt.Sprintf("pulls revision %d from instance %d", d.Revision, j+1), func(_ *documentState, n *node) {
				_, _ = n.ledger.OfferPeer(d) // a fork stays out of force
				n.note()
			})
		}
	}
	if heard && !n.ledger.Ready() {
		b.add(i, "has heard all peers and settles", (*documentState).settle)
	}
}

// settle puts the first document in force, as document.Documents does.
func (s *documentState) settle(n *node) {
	if !n.asked && s.off != offAsked {
		n.asked = true
		_, _ = n.ledger.OfferPeer(s.stored) // the first can't be a fork
	}
	n.ledger.Settle()
	n.note()
}

// operator adds an operator's edit at an instance.
func (b *documentSteps) operator(i int, n node) {
	d, ready := n.ledger.Current()
	switch {
	case n.write != nil || !ready:
	case n.edit == nil && b.from.edits == documentEdits && i > 0: // the same as at the first
	case n.edit == nil && b.from.edits > 0:
		b.add(i, fmt.Sprintf("is given an edit of revision %d", d.Revision), func(s *documentState, n *node) {
			n.edit = &edit{id: fmt.Sprint("edit", s.edits), expect: d.Revision, tries: applyTries}
			s.edits--
		})
	case n.edit != nil:
		b.add(i, "reads the store for "+n.edit.id, (*documentState).plan)
	}
}

// plan goes on with an edit, as document.Documents.Apply does.
func (s *documentState) plan(n *node) {
	e := *n.edit
	e.tries--
	n.edit = &e
	if _, ok := s.stored.AcceptedRevision(e.id); ok {
		s.accept(n, s.stored)
		return
	}
	d, err := n.ledger.NextDocument(e.expect, e.id, nil, s.stored)
	switch {
	case err == nil:
		n.write, n.version = &d, s.version
	case !errors.Is(err, revision.ErrBehind) || e.tries == 0:
		n.edit = nil // refused, or uncertain
	}
}

// faults adds what happens to an instance.
func (b *documentSteps) faults(i int, n node) {
	left := b.from.left
	if left.places > 0 && b.from.spare(i, n.top) {
		b.add(i, "restarts", func(s *documentState, n *node) {
			s.left.places--
			*n = node{ledger: *revision.New(s.options()...), top: n.top}
		})
	}
	if left.places > 0 && b.from.spare(i, n.top) {
		b.add(i, "freezes", func(s *documentState, n *node) {
			s.left.places--
			n.frozen = true
		})
	}
}
