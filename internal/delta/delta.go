// Package delta compresses a text, against an earlier text that the receiver has if there is
// one, with zstd.
package delta

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
)

const (
	// dictionaryID is the ID of the zstd dictionary, which is the earlier text.
	dictionaryID = 1
	// maxWindowSize bounds the memory of both sides.
	maxWindowSize = 4 << 20
)

// Compress returns a text in compressed form. The receiver needs the same base to restore it;
// an empty base is none.
func Compress(text, base []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(windowSize(len(text) + len(base))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	defer encoder.Close() //nolint:errcheck // writes to no one
	return encoder.EncodeAll(text, nil), nil
}

// Restore returns the text that was compressed against base. It fails if the text needs more
// memory than maxBytes.
func Restore(compressed, base []byte, maxBytes uint64) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxBytes),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	defer decoder.Close()
	text, err := decoder.DecodeAll(compressed, nil)
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	return text, nil
}

// windowSize returns the smallest power of two that is at least size, between zstd's minimum
// and maxWindowSize.
func windowSize(size int) int {
	w := zstd.MinWindowSize
	for w < size && w < maxWindowSize {
		w *= 2
	}
	return w
}
