package placer

import (
	"context"
	"errors"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/ledger"
	"github.com/chiveramp/chiveramp/internal/core/place"
)

// ErrRefused wraps the proof that an order has not run and never will: it was
// not sent, or the endpoint said no.
var ErrRefused = errors.New("order refused")

// Engine gives orders to endpoints. State and Order honour the context's deadline.
type Engine interface {
	// State reads what an endpoint holds. It shows every order accepted before the call.
	State(ctx context.Context, endpoint fleet.Endpoint) (ledger.State, error)
	// Changed reports whether an endpoint may hold something else than when State last
	// read it, or may have died since.
	Changed(endpoint fleet.Endpoint) bool
	// Order sends one order, once. Nil means accepted, ErrRefused never to run;
	// after any other error it may still arrive, at the order's incarnation only.
	Order(ctx context.Context, endpoint fleet.Endpoint, order ledger.Order) error
}

// Planner proposes moves; the placer decides which of them are safe.
type Planner interface {
	Plan(now time.Time, view place.View) []place.Move
}

// Drainer tells when an endpoint has no work left for a model whose copy is no
// longer promised.
type Drainer interface {
	Drained(ctx context.Context, endpoint fleet.Endpoint, model fleet.Model) bool
}

// Target is an endpoint that the placer looks after.
type Target struct {
	Endpoint fleet.Endpoint
	Place    fleet.Place
	// Service is what the endpoint belongs to.
	Service string
	// Leaving endpoints get no load.
	Leaving bool
}

// Wanted is a model that has to be reachable, with its demand.
type Wanted struct {
	Model fleet.Model
	// Service is whose endpoints may load the model; empty for any.
	Service string
	// MinCopies is how many copies there are to be, where memory is free.
	MinCopies int
	// WeightBytes and Cache are the bytes of the model and of its share of KV cache.
	WeightBytes int64
	CacheBytes  int64
	Adapters    []WantedAdapter
	// FastDemand, Slow and Weight are as in place.ModelView.
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

// Fleet names the endpoints of the placer's data centre and what they have to serve.
type Fleet interface {
	Targets(now time.Time) []Target
	Wanted(now time.Time) []Wanted
}
