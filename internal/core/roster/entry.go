// Package roster keeps the list of endpoints that an instance has recorded, with their
// reports, and which of them are leaving or suspected to have failed.
//
// It has no clock and no goroutine: records and the time are passed in.
package roster

import (
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Adapter names an adapter of a model.
type Adapter struct {
	Model   fleet.Model
	Adapter fleet.Adapter
}

// Holding is a base model in an endpoint's memory with its adapters.
type Holding struct {
	Model    fleet.Model
	Version  int
	Adapters []fleet.Adapter
}

// Entry is an endpoint's own record in the store.
type Entry struct {
	ID      fleet.Endpoint
	Service catalog.Service
	// Address is IP:port.
	Address    string
	DataCentre fleet.DataCentre
	Software   fleet.Software
	// Slots is the number of requests that run concurrently.
	Slots   int
	Leaving bool
	// Born is the start time, which tells incarnations under one ID apart: the larger is the newer.
	Born int64
	// Models are those loaded when the entry was written.
	Models []Holding
	// AtHand are models whose weights are cached in host memory or on disk.
	AtHand []fleet.Model
	// Seq counts the orders that the endpoint has accepted.
	Seq int64
	// Raw is the encoded entry, for forwarding to instances that can't read the store.
	Raw []byte
	// Revision is the store's revision of the entry.
	Revision int64
}

// routesDifferently reports whether an entry differs from a previous one of the same
// endpoint in what decides where requests go, other than Leaving. Adapters are left out:
// reports show them sooner.
func (e *Entry) routesDifferently(previous *Entry) bool {
	return e.Service != previous.Service || e.Address != previous.Address || e.DataCentre != previous.DataCentre ||
		e.Slots != previous.Slots || e.Software != previous.Software || e.Born != previous.Born ||
		!slices.EqualFunc(e.Models, previous.Models, func(a, b Holding) bool { return a.Model == b.Model && a.Version == b.Version })
}

// Report is an endpoint's reply when its state is polled.
type Report struct {
	Models []Holding
	// Coming are adapters being fetched from the weight store.
	Coming []Adapter
	// Busy is set while an order for a model is carried out.
	Busy bool
	Seq  int64
	Born int64
	// Running and Queued count requests.
	Running, Queued int
	// Used is the part of the KV cache that can't be evicted, Total its size, in tokens.
	Used, Total int
	AtHand      []fleet.Model
	Leaving     bool
	// Taken is when the report was taken, by the clock of the instance that polled.
	Taken time.Time
}

// Holds reports whether a model is among the holdings, with the adapter if one is given.
func Holds(holdings []Holding, model fleet.Model, adapter fleet.Adapter) bool {
	for i := range holdings {
		if holdings[i].Model != model {
			continue
		}
		if adapter == "" {
			return true
		}
		for _, a := range holdings[i].Adapters {
			if a == adapter {
				return true
			}
		}
	}
	return false
}
