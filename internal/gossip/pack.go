package gossip

import (
	"bytes"
	"errors"
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

// decompressor is a reusable reader with its output buffer. Instances of a large fleet
// unpack tens of heartbeats a second, and a new reader allocates its window each time.
type decompressor struct {
	reader io.ReadCloser
	text   bytes.Buffer
}

var decompressors = sync.Pool{New: func() any { return &decompressor{reader: flate.NewReader(new(bytes.Reader))} }}

func (d *decompressor) reset(data []byte) error {
	d.text.Reset()
	resetter, ok := d.reader.(flate.Resetter)
	if !ok {
		return fmt.Errorf("%T can't be reset", d.reader)
	}
	return resetter.Reset(bytes.NewReader(data), nil)
}

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
	d, ok := decompressors.Get().(*decompressor)
	if !ok {
		return nil, errors.New("unpack heartbeat: no decompressor")
	}
	defer decompressors.Put(d)
	if err := d.reset(p.Data); err != nil {
		return nil, fmt.Errorf("unpack heartbeat: %w", err)
	}
	if _, err := d.text.ReadFrom(io.LimitReader(d.reader, maxHeartbeatBytes)); err != nil {
		return nil, fmt.Errorf("unpack heartbeat: %w", err)
	}
	b := new(Heartbeat)
	if err := cbor.Unmarshal(d.text.Bytes(), b); err != nil {
		return nil, fmt.Errorf("unpack heartbeat: %w", err)
	}
	return b, nil
}
