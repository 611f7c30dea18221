// Package gossip implements the protocol between the instances of a fleet. Instances
// exchange the load of endpoints, forward requests for adapters to the holder of the
// order lease, and pass the configuration to peers that can't read the store. Messages
// are CBOR over gRPC.
package gossip

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"google.golang.org/grpc/encoding"
)

const codecName = "cbor"

type codec struct{}

func (codec) Name() string { return codecName }

func (codec) Marshal(v any) ([]byte, error) {
	text, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return text, nil
}

func (codec) Unmarshal(text []byte, v any) error {
	if err := cbor.Unmarshal(text, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}

func init() { encoding.RegisterCodec(codec{}) }
