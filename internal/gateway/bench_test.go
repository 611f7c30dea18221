package gateway

import (
	"bytes"
	"testing"
)

// BenchmarkReadBody reads a short body with a length, as most requests have.
func BenchmarkReadBody(b *testing.B) {
	text := bytes.Repeat([]byte("b"), 1000)
	memory, source := heldMemory{limit: defaultBodyBytes}, bytes.NewReader(text)
	request := new(activeRequest)
	request.body.source = source
	b.ReportAllocs()
	for b.Loop() {
		source.Reset(text)
		taken := reservation{memory: &memory, request: request}
		if _, err := readBody(&request.body, int64(len(text)), 4<<20, &taken); err != nil {
			b.Fatal(err)
		}
		taken.release()
	}
}
