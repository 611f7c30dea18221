package document

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/chiveramp/chiveramp/internal/core/revision"
	"github.com/chiveramp/chiveramp/internal/delta"
)

// ErrBaseMismatch means that a document was compressed against a revision that is not in force
// at this instance.
var ErrBaseMismatch = errors.New("document compressed against another revision")

// envelope is the message that carries a document to a peer. The text is compressed, with the
// text of an earlier revision as dictionary if the peer has that one in force.
type envelope struct {
	Document revision.Document `cbor:"1,keyasint"` // without its text
	Base     uint64            `cbor:"2,keyasint,omitempty"`
	Text     []byte            `cbor:"3,keyasint"`
}

// packed is a cached envelope: many peers request the same one.
type packed struct {
	revision uint64
	base     uint64
	raw      []byte
}

// Pack returns the document in force, encoded for a peer whose document has the revision
// after, or nil if there is no higher revision.
func (d *Documents) Pack(after uint64) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	current, ready := d.tracker.Current()
	if !ready || current.Revision <= after {
		return nil, nil
	}
	var base revision.Document
	if d.previous.Revision == after {
		base = d.previous
	}
	if d.lastPacked.raw != nil && d.lastPacked.revision == current.Revision && d.lastPacked.base == base.Revision {
		return d.lastPacked.raw, nil
	}
	raw, err := pack(current, base)
	if err != nil {
		return nil, fmt.Errorf("pack document %d: %w", current.Revision, err)
	}
	d.lastPacked = packed{revision: current.Revision, base: base.Revision, raw: raw}
	return raw, nil
}

// Unpack decodes a document that a peer packed for this instance. ErrBaseMismatch means that
// the document in force here has changed since the request.
func (d *Documents) Unpack(raw []byte) (revision.Document, error) {
	d.mu.Lock()
	current, _ := d.tracker.Current()
	d.mu.Unlock()
	doc, err := unpack(raw, current)
	if err != nil {
		return revision.Document{}, fmt.Errorf("unpack document: %w", err)
	}
	return doc, nil
}

func pack(doc, base revision.Document) ([]byte, error) {
	text, err := delta.Compress(doc.Text, base.Text)
	if err != nil {
		return nil, err
	}
	e := envelope{Document: doc, Base: base.Revision, Text: text}
	e.Document.Text = nil
	return cbor.Marshal(e)
}

func unpack(raw []byte, current revision.Document) (revision.Document, error) {
	var e envelope
	if err := cbor.Unmarshal(raw, &e); err != nil {
		return revision.Document{}, err
	}
	var base []byte
	if e.Base != 0 {
		if current.Revision != e.Base {
			return revision.Document{}, fmt.Errorf("revision %d, have %d: %w", e.Base, current.Revision, ErrBaseMismatch)
		}
		base = current.Text
	}
	text, err := delta.Restore(e.Text, base, 4*SizeLimit)
	if err != nil {
		return revision.Document{}, err
	}
	e.Document.Text = text
	return e.Document, nil
}
