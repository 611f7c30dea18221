package document

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"

	"github.com/chiveramp/chiveramp/internal/core/revision"
)

// ErrBaseMismatch means that a document was compressed against a revision that is not in force
// at this instance.
var ErrBaseMismatch = errors.New("document compressed against another revision")

// dictionaryID is the ID of the zstd dictionary, which is the text of the base revision.
const dictionaryID = 1

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
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(windowSize(len(doc.Text) + len(base.Text))),
	}
	if len(base.Text) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base.Text))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, err
	}
	defer encoder.Close() //nolint:errcheck // writes to no one
	e := envelope{Document: doc, Base: base.Revision, Text: encoder.EncodeAll(doc.Text, nil)}
	e.Document.Text = nil
	return cbor.Marshal(e)
}

func unpack(raw []byte, current revision.Document) (revision.Document, error) {
	var e envelope
	if err := cbor.Unmarshal(raw, &e); err != nil {
		return revision.Document{}, err
	}
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(4 * SizeLimit),
	}
	if e.Base != 0 {
		if current.Revision != e.Base {
			return revision.Document{}, fmt.Errorf("revision %d, have %d: %w", e.Base, current.Revision, ErrBaseMismatch)
		}
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, current.Text))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return revision.Document{}, err
	}
	defer decoder.Close()
	text, err := decoder.DecodeAll(e.Text, nil)
	if err != nil {
		return revision.Document{}, err
	}
	e.Document.Text = text
	return e.Document, nil
}

// windowSize returns the smallest power of two that is at least size, between zstd's minimum
// and 4 MiB.
func windowSize(size int) int {
	w := zstd.MinWindowSize
	for w < size && w < 4<<20 {
		w *= 2
	}
	return w
}
