// Package roster keeps what an instance knows of the endpoints: which there are,
// which of them leave, and which are thought lost.
//
// It has no clock and no goroutine: records and the time go in, endpoints come out.
package roster

import (
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

// Entry is what an endpoint says of itself in the store.
type Entry struct {
	ID      fleet.Endpoint
	Service catalog.Service
	// Address is IP:port.
	Address    string
	DataCentre fleet.DataCentre
	// Slots is the number of requests that run at once.
	Slots   int
	Leaving bool
	// Born tells incarnations under one ID apart: a later one is younger.
	Born int64
	// Models is what it held when it wrote the entry.
	Models []Holding
	// AtHand are models whose weights it keeps in memory or on disk.
	AtHand []fleet.Model
	// Seq counts the orders that it accepted.
	Seq int64
	// Raw is the text of the entry, for instances that can't read the store.
	Raw []byte
	// Revision is the store's revision of the entry.
	Revision int64
}

// Report is what an endpoint says when asked.
type Report struct {
	Models []Holding
	// Coming are adapters on their way from the weight store.
	Coming []Adapter
	// Busy is set while an order for a model is carried out.
	Busy bool
	Seq  int64
	Born int64
	// Running and Queued count requests.
	Running, Queued int
	// Used is the part of the KV cache that can't yield, Total its size, in tokens.
	Used, Total int
	AtHand      []fleet.Model
	Leaving     bool
	// Taken is when the report was taken, by the clock of whoever asked.
	Taken time.Time
}

// Holds reports whether a model is among the holdings, with the adapter unless that is empty.
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
