package placer

import (
	"context"
	"fmt"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/platform"
)

// Holder is the instance that holds the placer lease of a data centre. Instance is
// empty while the lease is free.
type Holder struct {
	DataCentre fleet.DataCentre
	Instance   fleet.Instance
	Fence      fleet.Fence
}

// Holders reads the holders of all placers' leases from the store.
func Holders(ctx context.Context, store interface {
	List(ctx context.Context, prefix string) ([]platform.Entry, error)
},
) ([]Holder, error) {
	entries, err := store.List(ctx, leasePrefix)
	if err != nil {
		return nil, fmt.Errorf("list placers: %w", err)
	}
	holders := make([]Holder, 0, len(entries))
	for _, e := range entries {
		h := Holder{DataCentre: fleet.DataCentre(strings.TrimPrefix(e.Key, leasePrefix)), Fence: fleet.Fence(e.Fence)}
		var v leaseValue
		if e.Lock != "" && cbor.Unmarshal(e.Value, &v) == nil {
			h.Instance = v.Instance
		}
		holders = append(holders, h)
	}
	return holders, nil
}
