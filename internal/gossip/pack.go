package gossip

import (
	"bytes"
	"fmt"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/flate"
)

const (
	// packLevel trades processor time for bytes: links between regions are billed by volume.
	packLevel = 3
	// mostBeat bounds an unpacked beat, bytes.
	mostBeat = 4 << 20
)

// Packed is a beat, encoded and compressed once for all peers.
type Packed struct {
	Text []byte `cbor:"t"`
}

var writers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, packLevel)
	if err != nil {
		return nil // the level is a constant that exists
	}
	return w
}}

// Pack encodes a beat.
func Pack(b *Beat) (*Packed, error) {
	text, err := cbor.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("pack beat: %w", err)
	}
	w, ok := writers.Get().(*flate.Writer)
	if !ok {
		return nil, fmt.Errorf("pack beat: no compression at level %d", packLevel)
	}
	defer writers.Put(w)
	var packed bytes.Buffer
	w.Reset(&packed)
	if _, err := w.Write(text); err != nil {
		return nil, fmt.Errorf("pack beat: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack beat: %w", err)
	}
	return &Packed{Text: packed.Bytes()}, nil
}

// Unpack decodes a beat.
func (p *Packed) Unpack() (*Beat, error) {
	r := flate.NewReader(bytes.NewReader(p.Text))
	defer func() { _ = r.Close() }() // reads from memory
	text, err := io.ReadAll(io.LimitReader(r, mostBeat))
	if err != nil {
		return nil, fmt.Errorf("unpack beat: %w", err)
	}
	b := new(Beat)
	if err := cbor.Unmarshal(text, b); err != nil {
		return nil, fmt.Errorf("unpack beat: %w", err)
	}
	return b, nil
}
