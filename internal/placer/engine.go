package placer

import (
	"context"
	"errors"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/ledger"
	"github.com/chiveramp/chiveramp/internal/core/place"
)

// ErrRefused means that an order has certainly not run and never will: it was
// not sent, or the endpoint rejected it.
var ErrRefused = errors.New("order refused")

// Engine sends orders to endpoints and reads their state. State and Order honour
// the context's deadline.
type Engine interface {
	// State reads which models an endpoint has loaded. It reflects every order accepted
	// before the call.
	State(ctx context.Context, endpoint fleet.Endpoint) (ledger.State, error)
	// Changed reports whether an endpoint's state may differ from what State last
	// returned, or the endpoint may have crashed since.
	Changed(endpoint fleet.Endpoint) bool
	// Order sends one order without retries. Nil means accepted, ErrRefused means that
	// it will never run. After any other error it may still arrive, but only at the
	// endpoint incarnation named in the order.
	Order(ctx context.Context, endpoint fleet.Endpoint, order ledger.Order) error
}

// Planner proposes moves; the placer starts only those that are safe.
type Planner interface {
	Plan(now time.Time, view place.View) []place.Move
}

// Drainer reports whether an endpoint has no running work left for a model whose
// copy is being retired.
type Drainer interface {
	Drained(ctx context.Context, endpoint fleet.Endpoint, model fleet.Model) bool
}

// Target is an endpoint that the placer manages.
type Target struct {
	Endpoint fleet.Endpoint
	Place    fleet.Place
	// Service is the service that the endpoint belongs to.
	Service string
	// Leaving is set for an endpoint that is shutting down; no model is loaded on it.
	Leaving bool
}

// Wanted is a model that must have at least one copy, with its size and demand.
type Wanted struct {
	Model fleet.Model
	// Service limits the model to the endpoints of one service; empty allows any.
	Service string
	// MinCopies is the number of copies to keep as long as memory is free.
	MinCopies int
	// WeightBytes and CacheBytes are the sizes of the weights and of the KV cache reserved
	// for one copy.
	WeightBytes int64
	CacheBytes  int64
	Adapters    []WantedAdapter
	// FastDemand and SlowDemand are averages over a short and a long time, in busy
	// accelerators; DemandWeight is the relative value of the work (see place.ModelView).
	FastDemand   float64
	SlowDemand   float64
	DemandWeight float64
}

// WantedAdapter is an adapter of a model, with its size in bytes.
type WantedAdapter struct {
	Adapter fleet.Adapter
	Bytes   int64
}

// copyBytes returns the memory that one copy of the model takes.
func (w Wanted) copyBytes() int64 {
	return w.WeightBytes + w.CacheBytes
}

// Fleet lists the endpoints and the models that they have to serve.
type Fleet interface {
	Targets(now time.Time) []Target
	Wanted(now time.Time) []Wanted
}
