package endpoint

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Headers and paths of the engine protocol.
const (
	HeaderRequest   = "X-Request-Id"  // id of the attempt
	HeaderLastEvent = "Last-Event-ID" // number of the last event received

	PathChat   = "/v1/chat/completions"
	PathStream = "/v1/streams/" // followed by the attempt id
	PathOrders = "/v1/orders"
	PathState  = "/v1/state"
	PathLoad   = "/v1/load"
	PathEvents = "/v1/events"
	PathModels = "/v1/models"
	PathExport = "/v1/kv/export"
	PathImport = "/v1/kv/import"
	PathHealth = "/health"
)

// Error codes, sent in the body of an error response.
const (
	CodeLeaving = "leaving"
	CodeNoModel = "model_not_found"
	CodeGone    = "attempt_not_found"
	CodeStale   = "stale_fence"
	CodeMemory  = "no_memory"
)

// Done is the data of the event that ends a complete answer.
const Done = "[DONE]"

// OrderKind is the type of an order.
type OrderKind string

// Values of OrderKind.
const (
	OrderLoad          OrderKind = "load"
	OrderUnload        OrderKind = "unload"
	OrderLoadAdapter   OrderKind = "load-adapter"
	OrderUnloadAdapter OrderKind = "unload-adapter"
	OrderRole          OrderKind = "role"
)

// Order is a command to load or unload a model or adapter, or to change the engine's role.
type Order struct {
	ID      string        `json:"id"`
	Fence   fleet.Fence   `json:"fence"`
	Kind    OrderKind     `json:"kind"`
	Model   fleet.Model   `json:"model,omitempty"`
	Adapter fleet.Adapter `json:"adapter,omitempty"`
	Role    string        `json:"role,omitempty"`
	Bytes   int64         `json:"bytes,omitempty"`
}

// OrderStatus is the progress of an order that was not refused.
type OrderStatus string

// Values of OrderStatus.
const (
	OrderDone     OrderStatus = "done"
	OrderAccepted OrderStatus = "accepted"
)

// OrderReply is the response to an order.
type OrderReply struct {
	ID     string      `json:"id"`
	Status OrderStatus `json:"status"`
	Fence  fleet.Fence `json:"fence"`
}

// ResidentState is the loading state of a model or adapter.
type ResidentState string

// Values of ResidentState.
const (
	ResidentLoading   ResidentState = "loading"
	ResidentReady     ResidentState = "ready"
	ResidentUnloading ResidentState = "unloading"
)

// Resident is a model, or an adapter of one, that occupies memory of an engine.
type Resident struct {
	Model   fleet.Model   `json:"model"`
	Adapter fleet.Adapter `json:"adapter,omitempty"`
	Bytes   int64         `json:"bytes"`
	State   ResidentState `json:"state"`
}

// State is an engine's memory and its contents at the time of the response.
type State struct {
	// Incarnation is different after each start of the engine.
	Incarnation string `json:"incarnation"`
	// Fence is the highest fencing token of an accepted order.
	Fence fleet.Fence `json:"fence"`
	// ChecksFence reports whether the engine refuses orders with a stale fencing token.
	ChecksFence bool `json:"checks"`
	// Memory, Used and KV are in bytes. KV is the memory reserved for the KV cache; Used
	// includes it.
	Memory  int64      `json:"memory"`
	Used    int64      `json:"used"`
	KV      int64      `json:"kv"`
	Role    string     `json:"role,omitempty"`
	Leaving bool       `json:"leaving"`
	Models  []Resident `json:"models"`
}

// Load is an engine's own report of its load at time At, which may be some time ago.
type Load struct {
	Running int       `json:"running"`
	Waiting int       `json:"waiting"`
	KV      float64   `json:"kv"` // fraction of the KV cache in use, 0 to 1
	At      time.Time `json:"at"`
}

// CacheKind is the type of a prefix cache event.
type CacheKind string

// Values of CacheKind.
const (
	CacheStored  CacheKind = "stored"
	CacheRemoved CacheKind = "removed"
	CacheCleared CacheKind = "cleared"
)

// CacheEvent is one change of the prefix cache.
type CacheEvent struct {
	// Number increases by one with each event, so a skipped number means a lost event.
	Number uint64      `json:"number"`
	Kind   CacheKind   `json:"kind"`
	Model  fleet.Model `json:"model"`
	Block  uint64      `json:"block"` // hash of the prompt up to the block's end
	Tokens int         `json:"tokens"`
}

// CacheEvents is one response of the cache event feed.
type CacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// CacheQuery identifies a cached prompt to export.
type CacheQuery struct {
	Model  fleet.Model `json:"model"`
	Prompt string      `json:"prompt"`
}

// Cancelled is the response to a cancellation.
type Cancelled struct {
	// Ran reports whether the attempt had begun to run.
	Ran bool `json:"ran"`
}

// Problem is the body of an error response.
type Problem struct {
	Error ProblemDetail `json:"error"`
}

// ProblemDetail describes the error.
type ProblemDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Type    string `json:"type,omitempty"`
}

// ModelList is the response to GET /v1/models.
type ModelList struct {
	Object string      `json:"object"`
	Data   []ModelCard `json:"data"`
}

// ModelCard is one model of a ModelList.
type ModelCard struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}
