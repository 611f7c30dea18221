// Package revision decides which profile document an instance holds in force.
//
// The revision is a counter inside the stored value, incremented by each accepted apply. It
// isn't the store's own index, since that may start again after a restore.
package revision

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Errors of documents.
var (
	// ErrStale: the expected revision is not the one in force.
	ErrStale = errors.New("revision is not the expected one")
	// ErrBehind: another instance announced a higher revision than could be read.
	ErrBehind = errors.New("a higher revision is in force elsewhere")
	// ErrFork: two different documents carry the same revision.
	ErrFork = errors.New("two documents with one revision")
	// ErrMalformed: a stored document can't be read.
	ErrMalformed = errors.New("malformed document")
)

// Document is one version of the profile document.
type Document struct {
	Revision uint64 `cbor:"1,keyasint"`
	// ApplyID is unique for each apply. It distinguishes two documents with the same
	// revision.
	ApplyID string `cbor:"2,keyasint"`
	Text    []byte `cbor:"3,keyasint"`
	// History lists the applies before this one, newest first, so that an operator whose
	// reply was lost learns that the apply was accepted and superseded by another.
	History []AppliedRevision `cbor:"4,keyasint,omitempty"`
}

// AppliedRevision identifies one accepted apply.
type AppliedRevision struct {
	Revision uint64 `cbor:"1,keyasint"`
	ApplyID  string `cbor:"2,keyasint"`
}

// maxHistory is the number of earlier applies that a document lists.
const maxHistory = 32

// AcceptedRevision returns the revision that an apply got, if this document is from that
// apply or lists it in its history.
func (d Document) AcceptedRevision(apply string) (uint64, bool) {
	for _, m := range append([]AppliedRevision{{Revision: d.Revision, ApplyID: d.ApplyID}}, d.History...) {
		if m.ApplyID == apply {
			return m.Revision, true
		}
	}
	return 0, false
}

// next returns the document that follows this one, with a given revision.
func (d Document) next(rev uint64, apply string, text []byte) Document {
	next := Document{Revision: rev, ApplyID: apply, Text: text}
	if d.Revision > 0 {
		next.History = append([]AppliedRevision{{Revision: d.Revision, ApplyID: d.ApplyID}}, d.History...)
	}
	next.History = next.History[:min(len(next.History), maxHistory)]
	return next
}

// Encode returns the stored form of the document.
func (d Document) Encode() ([]byte, error) {
	raw, err := cbor.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode document %d: %w", d.Revision, err)
	}
	return raw, nil
}

// Decode decodes a stored document.
func Decode(raw []byte) (Document, error) {
	var d Document
	if err := cbor.Unmarshal(raw, &d); err != nil {
		return Document{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if d.Revision == 0 {
		return Document{}, fmt.Errorf("%w: no revision", ErrMalformed)
	}
	return d, nil
}

// Tracker tracks the document in force at one instance. It is not safe for concurrent use.
type Tracker struct {
	current     Document
	candidate   Document // the highest offered while none is in force
	highestSeen uint64
	monotonic   bool
	settling    bool
}

// Option changes a Tracker at construction.
type Option func(*Tracker)

// New returns a tracker without a document.
func New(opts ...Option) *Tracker {
	t := &Tracker{monotonic: true, settling: true}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Ready reports whether a document is in force. An instance without one accepts no requests.
func (t *Tracker) Ready() bool {
	return t.current.Revision > 0
}

// Current returns the document in force, and false if there is none yet.
func (t *Tracker) Current() (Document, bool) {
	return t.current, t.Ready()
}

// ObserveRevision records a revision that another instance has in force.
func (t *Tracker) ObserveRevision(revision uint64) {
	t.highestSeen = max(t.highestSeen, revision)
}

// Behind reports whether a higher revision than the one in force was observed.
func (t *Tracker) Behind() bool {
	return t.highestSeen > t.current.Revision
}

// Offer puts a document that is known to be the newest in force if its revision is higher
// than the current one. It returns true if the document in force changed, and ErrFork for a
// different document with the same revision.
func (t *Tracker) Offer(d Document) (bool, error) {
	t.ObserveRevision(d.Revision)
	if d.Revision == t.current.Revision && d.ApplyID != t.current.ApplyID {
		return false, fmt.Errorf("revision %d, applies %s and %s: %w", d.Revision, t.current.ApplyID, d.ApplyID, ErrFork)
	}
	if t.monotonic && d.Revision <= t.current.Revision {
		return false, nil
	}
	changed := d.ApplyID != t.current.ApplyID
	t.current = d
	return changed, nil
}

// OfferPeer offers a document that another instance has in force or that the store holds.
// While none is in force it is only a candidate until Settle is called: the peer may itself
// be behind the others, and the store may have been restored from an older backup.
func (t *Tracker) OfferPeer(d Document) (bool, error) {
	if t.Ready() || !t.settling {
		return t.Offer(d)
	}
	t.ObserveRevision(d.Revision)
	if d.Revision > t.candidate.Revision {
		t.candidate = d
	}
	return false, nil
}

// Settle puts the candidate with the highest revision in force as the first document. Call
// it after the store and every reachable peer have answered. It does nothing while a higher
// revision was observed than was offered.
func (t *Tracker) Settle() bool {
	if t.Ready() || t.candidate.Revision == 0 || t.candidate.Revision < t.highestSeen {
		return false
	}
	t.current = t.candidate
	return true
}

// HighestKnown returns the highest revision whose document this instance has, so that it
// need not be fetched again.
func (t *Tracker) HighestKnown() uint64 {
	return max(t.current.Revision, t.candidate.Revision)
}

// NextDocument returns the document to write for an apply that expects a revision, given the
// stored document (zero if there is none).
//
// After a restore from a backup the stored revision may be lower than the one in force. The
// next revision is counted from the higher of the two.
func (t *Tracker) NextDocument(expect uint64, id string, text []byte, stored Document) (Document, error) {
	base := max(stored.Revision, t.current.Revision)
	if t.highestSeen > base {
		return Document{}, fmt.Errorf("revision %d heard, %d read: %w", t.highestSeen, base, ErrBehind)
	}
	if expect != base {
		return Document{}, fmt.Errorf("revision %d expected, %d in force: %w", expect, base, ErrStale)
	}
	if stored.Revision < base {
		stored = t.current
	}
	return stored.next(base+1, id, text), nil
}

// Repair returns the document in force, and whether it has to be written back because the
// store holds a lower revision.
func (t *Tracker) Repair(stored Document) (Document, bool) {
	return t.current, t.Ready() && !t.Behind() && stored.Revision < t.current.Revision
}
