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
	// compressionLevel trades processor time for bytes: links between regions are billed by volume.
	compressionLevel = 3
	// maxHeartbeatBytes bounds an unpacked beat, bytes.
	maxHeartbeatBytes = 4 << 20
)

// PackedHeartbeat is a beat, encoded and compressed once for all peers.
type PackedHeartbeat struct {
	Data []byte `cbor:"t"`
}

var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, compressionLevel)
	if err != nil {
		return nil // the level is a constant that exists
	}
	return w
}}

// Pack encodes a beat.
func Pack(b *Heartbeat) (*PackedHeartbeat, error) {
	text, err := cbor.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("pack beat: %w", err)
	}
	w, ok := compressors.Get().(*flate.Writer)
	if !ok {
		return nil, fmt.Errorf("pack beat: no compression at level %d", compressionLevel)
	}
	defer compressors.Put(w)
	var packed bytes.Buffer
	w.Reset(&packed)
	if _, err := w.Write(text); err != nil {
		return nil, fmt.Errorf("pack beat: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack beat: %w", err)
	}
	return &PackedHeartbeat{Data: packed.Bytes()}, nil
}

// Unpack decodes a beat.
func (p *PackedHeartbeat) Unpack() (*Heartbeat, error) {
	r := flate.NewReader(bytes.NewReader(p.Data))
	defer func() { _ = r.Close() }() // reads from memory
	text, err := io.ReadAll(io.LimitReader(r, maxHeartbeatBytes))
	if err != nil {
		return nil, fmt.Errorf("unpack beat: %w", err)
	}
	b := new(Heartbeat)
	if err := cbor.Unmarshal(text, b); err != nil {
		return nil, fmt.Errorf("unpack beat: %w", err)
	}
	return b, nil
}
