package ledger

import (
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// schema is the version of the stored record format.
const schema = 1

// ErrSchema means that the record was written by an incompatible version of the program.
var ErrSchema = errors.New("unsupported record schema")

// encoding is deterministic: equal records have equal bytes.
var encoding = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Prefix returns the key prefix of a data centre's records. A placer that takes over reads
// all of them with one call.
func Prefix(centre fleet.DataCentre) string {
	return "placement/" + string(centre) + "/"
}

// Key returns the store key of an endpoint's record.
func Key(centre fleet.DataCentre, endpoint fleet.Endpoint) string {
	return Prefix(centre) + string(endpoint)
}

// record is the stored form of a ledger.
type record struct {
	Schema      int          `cbor:"1,keyasint"`
	Endpoint    string       `cbor:"2,keyasint"`
	Incarnation string       `cbor:"3,keyasint"`
	Memory      int64        `cbor:"4,keyasint"`
	Allocations []Allocation `cbor:"5,keyasint"`
}

func (l *Ledger) record() record {
	return record{
		Schema:      schema,
		Endpoint:    string(l.endpoint),
		Incarnation: l.incarnation,
		Memory:      l.memory,
		Allocations: l.Clone().allocations,
	}
}

func (r record) equal(other record) bool {
	return r.Incarnation == other.Incarnation && r.Memory == other.Memory &&
		slices.EqualFunc(r.Allocations, other.Allocations, func(a, b Allocation) bool {
			return a.Item() == b.Item() && a.Bytes == b.Bytes && a.Phase == b.Phase &&
				slices.Equal(a.Pending, b.Pending)
		})
}

// Encode returns the stored form of the ledger.
func (l *Ledger) Encode() ([]byte, error) {
	data, err := encoding.Marshal(l.record())
	if err != nil {
		return nil, fmt.Errorf("encode record of %s: %w", l.endpoint, err)
	}
	return data, nil
}

// Decode decodes a stored ledger. It allows no order until a state was observed.
func Decode(endpoint fleet.Endpoint, data []byte, opts ...Option) (*Ledger, error) {
	var r record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("decode record of %s: %w", endpoint, err)
	}
	if r.Schema != schema || r.Endpoint != string(endpoint) {
		return nil, fmt.Errorf("decode record of %s: %w: schema %d of %q", endpoint, ErrSchema, r.Schema, r.Endpoint)
	}
	l := New(endpoint, opts...)
	l.incarnation, l.memory, l.allocations = r.Incarnation, r.Memory, r.Allocations
	return l, nil
}
