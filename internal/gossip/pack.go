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
	// compressionLevel trades CPU time for bytes: links between regions are billed by volume.
	compressionLevel = 3
	// maxHeartbeatBytes bounds an uncompressed heartbeat.
	maxHeartbeatBytes = 4 << 20
)

// PackedHeartbeat is a heartbeat, encoded and compressed once for all peers.
type PackedHeartbeat struct {
	Data []byte `cbor:"t"`
}

var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, compressionLevel)
	if err != nil {
		return nil // can't happen: compressionLevel is a valid constant
	}
	return w
}}

// Pack encodes and compresses a heartbeat.
func Pack(b *Heartbeat) (*PackedHeartbeat, error) {
	text, err := cbor.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("pack heartbeat: %w", err)
	}
	w, ok := compressors.Get().(*flate.Writer)
	if !ok {
		return nil, fmt.Errorf("pack heartbeat: invalid compression level %d", compressionLevel)
	}
	defer compressors.Put(w)
	var packed bytes.Buffer
	w.Reset(&packed)
	if _, err := w.Write(text); err != nil {
		return nil, fmt.Errorf("pack heartbeat: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack heartbeat: %w", err)
	}
	return &PackedHeartbeat{Data: packed.Bytes()}, nil
}

// Unpack decompresses and decodes a heartbeat.
func (p *PackedHeartbeat) Unpack() (*Heartbeat, error) {
	r := flate.NewReader(bytes.NewReader(p.Data))
	defer func() { _ = r.Close() }() // nothing to release: the reader is in memory
	text, err := io.ReadAll(io.LimitReader(r, maxHeartbeatBytes))
	if err != nil {
		return nil, fmt.Errorf("unpack heartbeat: %w", err)
	}
	b := new(Heartbeat)
	if err := cbor.Unmarshal(text, b); err != nil {
		return nil, fmt.Errorf("unpack heartbeat: %w", err)
	}
	return b, nil
}
