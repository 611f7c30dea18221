package models

import (
	"errors"
	"fmt"
	"slices"

	"github.com/chiveramp/chiveramp/internal/core/revision"
	"github.com/chiveramp/chiveramp/internal/explore"
)

// documentSteps collects the steps that are possible in a state.
type documentSteps struct {
	from  *documentState
	steps []explore.Step
}

// Steps implements explore.State.
func (s *documentState) Steps() []explore.Step {
	b := &documentSteps{from: s}
	for i, n := range s.instances {
		if n.frozen {
			b.add(i, "wakes", func(_ *documentState, n *instance) { n.frozen = false })
			continue
		}
		b.storeSteps(i, n)
		b.peerSteps(i, n)
		b.operatorSteps(i, n)
		b.faultSteps(i, n)
	}
	if d := s.faultsLeft; d.disruptions > 0 && s.backup.Revision < s.stored.Revision && s.hasOtherCopy(-1, s.stored.Revision) && s.propagated() {
		b.add(-1, "the store is restored from its backup", func(s *documentState, _ *instance) {
			s.faultsLeft.disruptions--
			s.stored = s.backup
			s.version++
		})
	}
	return b.steps
}

func (b *documentSteps) add(i int, name string, do func(s *documentState, n *instance)) {
	if i >= 0 {
		name = fmt.Sprintf("instance %d %s", i+1, name)
	}
	b.steps = append(b.steps, explore.Step{Name: name, Take: func() explore.State {
		next := *b.from
		if i < 0 {
			do(&next, nil)
		} else {
			do(&next, &next.instances[i])
		}
		return &next
	}})
}

// storeSteps adds an instance's calls to the store: reads of the watched document, and the
// pending write.
func (b *documentSteps) storeSteps(i int, n instance) {
	if n.pendingWrite != nil {
		title := fmt.Sprintf("writes revision %d (%s)", n.pendingWrite.Revision, n.pendingWrite.ApplyID)
		b.add(i, title, (*documentState).write)
		if b.from.faultsLeft.writeFaults > 0 && n.edit != nil {
			b.add(i, title+", the reply is lost", func(s *documentState, n *instance) {
				s.faultsLeft.writeFaults--
				edit, doc := n.edit, *n.pendingWrite
				n.edit = nil
				s.write(n)
				n.edit = edit
				if s.disabled == mechanismReadBack {
					s.accept(n, doc)
				}
			})
			b.add(i, title+", the write is lost", func(s *documentState, n *instance) {
				s.faultsLeft.writeFaults--
				doc := *n.pendingWrite
				n.pendingWrite = nil
				if s.disabled == mechanismReadBack {
					s.accept(n, doc)
				}
			})
		}
		return
	}
	b.add(i, "reads the store", func(s *documentState, n *instance) {
		_, _ = n.tracker.OfferPeer(s.stored) // a forked document is rejected
		n.noteRevision()
		if d, needed := n.tracker.Repair(s.stored); needed {
			n.pendingWrite, n.readVersion = &d, s.version
		}
	})
}

// write stores the pending document if the stored version is the one that was read.
func (s *documentState) write(n *instance) {
	doc := *n.pendingWrite
	n.pendingWrite = nil
	if n.readVersion != s.version && s.disabled != mechanismCompare {
		return
	}
	s.stored = doc
	s.version++
	if n.edit != nil && n.edit.id == doc.ApplyID {
		s.accept(n, doc)
	}
}

// accept reports to the operator that its edit was accepted.
func (s *documentState) accept(n *instance, d revision.Document) {
	s.accepted = append(slices.Clone(s.accepted), n.edit.id)
	n.edit = nil
	n.offer(d)
}

// peerSteps adds the revisions and documents that an instance receives from its peers.
func (b *documentSteps) peerSteps(i int, n instance) {
	receivedFromAll := true
	for _, j := range b.from.others(i) {
		peer := b.from.instances[j]
		receivedFromAll = receivedFromAll && (n.receivedFrom[j] || peer.frozen)
		d, ready := peer.tracker.Current()
		if peer.frozen || !ready {
			continue
		}
		b.add(i, fmt.Sprintf("hears from instance %d of revision %d", j+1, d.Revision), func(_ *documentState, n *instance) {
			n.tracker.ObserveRevision(d.Revision)
			n.receivedFrom[j] = true
			n.highestReceived = max(n.highestReceived, d.Revision)
		})
		if n.receivedFrom[j] && d.Revision > n.tracker.HighestKnown() {
			b.add(i, fmt.Sprintf("pulls revision %d from instance %d", d.Revision, j+1), func(_ *documentState, n *instance) {
				_, _ = n.tracker.OfferPeer(d) // a forked document is rejected
				n.noteRevision()
			})
		}
	}
	if receivedFromAll && !n.tracker.Ready() {
		b.add(i, "has heard all peers and settles", (*documentState).settle)
	}
}

// settle puts the first document in force, as document.Documents does.
func (s *documentState) settle(n *instance) {
	if !n.storeRead && s.disabled != mechanismStoreAsked {
		n.storeRead = true
		_, _ = n.tracker.OfferPeer(s.stored) // the first document can't be a fork
	}
	n.tracker.Settle()
	n.noteRevision()
}

// operatorSteps adds an operator's edit at an instance. The first edit is made at the first
// instance only, since instances are interchangeable until then.
func (b *documentSteps) operatorSteps(i int, n instance) {
	d, ready := n.tracker.Current()
	switch {
	case n.pendingWrite != nil || !ready:
	case n.edit == nil && b.from.editsLeft == maxDocumentEdits && i > 0: // equivalent to the first instance
	case n.edit == nil && b.from.editsLeft > 0:
		b.add(i, fmt.Sprintf("is given an edit of revision %d", d.Revision), func(s *documentState, n *instance) {
			n.edit = &edit{id: fmt.Sprint("edit", s.editsLeft), expect: d.Revision, triesLeft: maxApplyTries}
			s.editsLeft--
		})
	case n.edit != nil:
		b.add(i, "reads the store for "+n.edit.id, (*documentState).continueEdit)
	}
}

// continueEdit makes the next try of an edit, as document.Documents.Apply does.
func (s *documentState) continueEdit(n *instance) {
	e := *n.edit
	e.triesLeft--
	n.edit = &e
	if _, ok := s.stored.AcceptedRevision(e.id); ok {
		s.accept(n, s.stored)
		return
	}
	d, err := n.tracker.NextDocument(e.expect, e.id, nil, s.stored)
	switch {
	case err == nil:
		n.pendingWrite, n.readVersion = &d, s.version
	case !errors.Is(err, revision.ErrBehind) || e.triesLeft == 0:
		n.edit = nil // refused, or the outcome is unknown
	}
}

// faultSteps adds the faults of an instance.
func (b *documentSteps) faultSteps(i int, n instance) {
	faultsLeft := b.from.faultsLeft
	if faultsLeft.disruptions > 0 && b.from.hasOtherCopy(i, n.highestInForce) {
		b.add(i, "restarts", func(s *documentState, n *instance) {
			s.faultsLeft.disruptions--
			*n = instance{tracker: *revision.New(s.options()...), highestInForce: n.highestInForce}
		})
	}
	if faultsLeft.disruptions > 0 && b.from.hasOtherCopy(i, n.highestInForce) {
		b.add(i, "freezes", func(s *documentState, n *instance) {
			s.faultsLeft.disruptions--
			n.frozen = true
		})
	}
}
