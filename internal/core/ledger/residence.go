package ledger

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// ErrLastCopy means that removing the copy would leave fewer than the required copies.
var ErrLastCopy = errors.New("too few copies would be left")

// Copy is an endpoint that is registered as serving a model.
type Copy struct {
	Endpoint   fleet.Endpoint   `cbor:"1,keyasint"`
	DataCentre fleet.DataCentre `cbor:"2,keyasint"`
	Region     fleet.Region     `cbor:"3,keyasint"`
}

// Residence is the set of registered copies of one model. Its methods return changed copies.
type Residence struct {
	model  fleet.Model
	copies []Copy // sorted by endpoint
}

// ResidencePrefix is the key prefix of all residence records.
const ResidencePrefix = "residence/"

// ResidenceKey returns the store key of a model's residence.
func ResidenceKey(model fleet.Model) string {
	return ResidencePrefix + string(model)
}

// NewResidence returns the residence of a model without copies.
func NewResidence(model fleet.Model) Residence {
	return Residence{model: model}
}

// Model returns the model that the copies serve.
func (r Residence) Model() fleet.Model { return r.model }

// Copies returns the registered copies, sorted by endpoint.
func (r Residence) Copies() []Copy { return slices.Clone(r.copies) }

// Has reports whether the endpoint has a registered copy.
func (r Residence) Has(endpoint fleet.Endpoint) bool {
	return slices.ContainsFunc(r.copies, func(c Copy) bool { return c.Endpoint == endpoint })
}

// Add returns the residence with the copy added, if its endpoint has none yet.
func (r Residence) Add(c Copy) Residence {
	if r.Has(c.Endpoint) {
		return r
	}
	r.copies = append(slices.Clone(r.copies), c)
	slices.SortFunc(r.copies, func(a, b Copy) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return r
}

// RemoveLost returns the residence without the copy of an endpoint that is already lost.
func (r Residence) RemoveLost(endpoint fleet.Endpoint) Residence {
	r.copies = slices.DeleteFunc(slices.Clone(r.copies), func(c Copy) bool { return c.Endpoint == endpoint })
	return r
}

// Remove returns the residence without a copy that is to be unloaded. Of the other copies,
// those for which counts is true must cover at least the given number of data centres, and
// never fewer than one; otherwise it returns ErrLastCopy.
func (r Residence) Remove(endpoint fleet.Endpoint, centres int, counts func(Copy) bool) (Residence, error) {
	left := make(map[fleet.DataCentre]bool)
	for _, c := range r.copies {
		if c.Endpoint != endpoint && counts(c) {
			left[c.DataCentre] = true
		}
	}
	if len(left) < max(1, centres) {
		return r, fmt.Errorf("model %s on %s: %w: %d data centres left, want %d", r.model, endpoint, ErrLastCopy, len(left), max(1, centres))
	}
	return r.RemoveLost(endpoint), nil
}

// residenceRecord is the stored form of a residence.
type residenceRecord struct {
	Schema int         `cbor:"1,keyasint"`
	Model  fleet.Model `cbor:"2,keyasint"`
	Copies []Copy      `cbor:"3,keyasint"`
}

// Encode returns the stored form of the residence.
func (r Residence) Encode() ([]byte, error) {
	data, err := encoding.Marshal(residenceRecord{Schema: schema, Model: r.model, Copies: r.copies})
	if err != nil {
		return nil, fmt.Errorf("encode residence of %s: %w", r.model, err)
	}
	return data, nil
}

// DecodeResidence decodes a stored residence.
func DecodeResidence(data []byte) (Residence, error) {
	var rr residenceRecord
	if err := cbor.Unmarshal(data, &rr); err != nil {
		return Residence{}, fmt.Errorf("decode residence: %w", err)
	}
	if rr.Schema != schema {
		return Residence{}, fmt.Errorf("decode residence of %s: %w: %d", rr.Model, ErrSchema, rr.Schema)
	}
	return Residence{model: rr.Model, copies: rr.Copies}, nil
}
