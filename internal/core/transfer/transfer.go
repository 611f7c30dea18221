// Package transfer moves a text in parts, so that what has arrived isn't lost when a call
// breaks off: the receiver asks for the rest, also at another sender that has the same text.
package transfer

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

const (
	// PartBytes is the size of a part: small enough to arrive over a busy link before its call
	// is given up.
	PartBytes = 32 << 10
	// maxBytes bounds a text.
	maxBytes = 16 << 20
)

// Errors of Assembly.Add.
var (
	// ErrOtherText: the part belongs to a text that is not the one in progress.
	ErrOtherText = errors.New("part of another text")
	// ErrInvalid: the part contradicts itself or what has arrived.
	ErrInvalid = errors.New("invalid part")
)

// ID identifies a text in the form in which it is moved.
type ID struct {
	// Version is the version of the text, Base that of the earlier text that the receiver
	// needs to restore it, 0 for none.
	Version, Base int64
	// Digest is a hash of the moved bytes: senders may compress a version differently.
	Digest uint64
}

// Part is a section of a text.
type Part struct {
	ID
	// Size is the length of the whole text, Offset where Data begins in it.
	Size, Offset int
	Data         []byte
}

// Text is a text in the form in which it is moved.
type Text struct {
	id   ID
	data []byte
}

// NewText returns a text that can be moved. Version and base are as in ID.
func NewText(version, base int64, data []byte) *Text {
	return &Text{id: ID{Version: version, Base: base, Digest: xxhash.Sum64(data)}, data: data}
}

// ID returns what identifies the text.
func (t *Text) ID() ID { return t.id }

// Part returns the section that begins at the offset; it is empty beyond the end.
func (t *Text) Part(offset int) Part {
	offset = min(max(0, offset), len(t.data))
	end := min(offset+PartBytes, len(t.data))
	return Part{ID: t.id, Size: len(t.data), Offset: offset, Data: t.data[offset:end]}
}

// Whole returns the text as one part. ok is false if it is longer than limit.
func (t *Text) Whole(limit int) (p Part, ok bool) {
	return Part{ID: t.id, Size: len(t.data), Data: t.data}, len(t.data) <= limit
}

// Assembly puts a text together. The zero value has nothing yet.
type Assembly struct {
	id   ID
	size int
	data []byte
}

// Next returns what to ask for: the text in progress and the offset of its next part. The ID is
// zero if none is in progress.
func (a *Assembly) Next() (ID, int) { return a.id, len(a.data) }

// Add adds a part and reports whether the text is complete. The first part of another text
// replaces the one in progress.
func (a *Assembly) Add(p Part) (complete bool, err error) {
	if p.Size <= 0 || p.Size > maxBytes || p.Offset < 0 || len(p.Data) == 0 || p.Offset+len(p.Data) > p.Size {
		return false, fmt.Errorf("%w: %d bytes at %d of %d", ErrInvalid, len(p.Data), p.Offset, p.Size)
	}
	switch {
	case p.Offset == 0:
		*a = Assembly{id: p.ID, size: p.Size}
	case p.ID != a.id:
		return false, ErrOtherText
	case p.Offset != len(a.data) || p.Size != a.size:
		return false, fmt.Errorf("%w: at %d of %d, want %d of %d", ErrInvalid, p.Offset, p.Size, len(a.data), a.size)
	}
	a.data = append(a.data, p.Data...)
	if len(a.data) < a.size {
		return false, nil
	}
	if xxhash.Sum64(a.data) != a.id.Digest {
		a.Reset()
		return false, fmt.Errorf("%w: the digest differs", ErrInvalid)
	}
	return true, nil
}

// Text returns the complete text.
func (a *Assembly) Text() []byte { return a.data }

// Reset drops the text in progress.
func (a *Assembly) Reset() { *a = Assembly{} }
