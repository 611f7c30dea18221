package endpoint

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Headers and paths of the engine protocol.
const (
	HeaderRequest   = "X-Request-Id"  // attempt id
	HeaderLastEvent = "Last-Event-ID" // number of the last event that arrived

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

// Codes of refusals, sent in the error body.
const (
	CodeLeaving = "leaving"
	CodeNoModel = "model_not_found"
	CodeGone    = "attempt_not_found"
	CodeStale   = "stale_fence"
	CodeMemory  = "no_memory"
)

// Done is the data of the event that ends a whole answer.
const Done = "[DONE]"

// OrderKind says what an order asks of an engine.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad          OrderKind = "load"
	OrderUnload        OrderKind = "unload"
	OrderLoadAdapter   OrderKind = "load-adapter"
	OrderUnloadAdapter OrderKind = "unload-adapter"
	OrderRole          OrderKind = "role"
)

// Order asks an engine to change what it serves.
type Order struct {
	ID      string        `json:"id"`
	Fence   fleet.Fence   `json:"fence"`
	Kind    OrderKind     `json:"kind"`
	Model   fleet.Model   `json:"model,omitempty"`
	Adapter fleet.Adapter `json:"adapter,omitempty"`
	Role    string        `json:"role,omitempty"`
	Bytes   int64         `json:"bytes,omitempty"`
}

// OrderStatus says how far an order has come.
type OrderStatus string

// The states of an order that was not refused.
const (
	OrderDone     OrderStatus = "done"
	OrderAccepted OrderStatus = "accepted"
)

// OrderReply answers an order.
type OrderReply struct {
	ID     string      `json:"id"`
	Status OrderStatus `json:"status"`
	Fence  fleet.Fence `json:"fence"`
}

// ResidentState says what a model or adapter is doing in an engine's memory.
type ResidentState string

// The states of a resident.
const (
	ResidentLoading   ResidentState = "loading"
	ResidentReady     ResidentState = "ready"
	ResidentUnloading ResidentState = "unloading"
)

// Resident is a model, or an adapter of one, that holds memory in an engine.
type Resident struct {
	Model   fleet.Model   `json:"model"`
	Adapter fleet.Adapter `json:"adapter,omitempty"`
	Bytes   int64         `json:"bytes"`
	State   ResidentState `json:"state"`
}

// State is what an engine holds at the time of the answer.
type State struct {
	// Incarnation changes with each start of the engine.
	Incarnation string `json:"incarnation"`
	// Fence is the highest fencing number of an order taken so far.
	Fence fleet.Fence `json:"fence"`
	// ChecksFence tells whether the engine refuses orders with an old fence.
	ChecksFence bool `json:"checks"`
	// Memory, Used and KV are bytes; Used includes KV, the cache's reserve.
	Memory  int64      `json:"memory"`
	Used    int64      `json:"used"`
	KV      int64      `json:"kv"`
	Role    string     `json:"role,omitempty"`
	Leaving bool       `json:"leaving"`
	Models  []Resident `json:"models"`
}

// Load is an engine's own report of its load, some time old.
type Load struct {
	Running int       `json:"running"`
	Waiting int       `json:"waiting"`
	KV      float64   `json:"kv"` // share of the cache in use, 0 to 1
	At      time.Time `json:"at"`
}

// CacheKind says what happened to a block of the prefix cache.
type CacheKind string

// The kinds of cache events.
const (
	CacheStored  CacheKind = "stored"
	CacheRemoved CacheKind = "removed"
	CacheCleared CacheKind = "cleared"
)

// CacheEvent tells of one change of the prefix cache.
type CacheEvent struct {
	// Number rises by one with each event; a step over a number is a gap.
	Number uint64      `json:"number"`
	Kind   CacheKind   `json:"kind"`
	Model  fleet.Model `json:"model"`
	Block  uint64      `json:"block"` // hash of the prompt up to the block's end
	Tokens int         `json:"tokens"`
}

// CacheEvents is one answer of the event feed.
type CacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// CacheQuery names a cached prompt to export.
type CacheQuery struct {
	Model  fleet.Model `json:"model"`
	Prompt string      `json:"prompt"`
}

// Cancelled answers a cancel.
type Cancelled struct {
	// Ran tells whether the attempt had begun to run.
	Ran bool `json:"ran"`
}

// Problem is the body of a refusal.
type Problem struct {
	Error ProblemDetail `json:"error"`
}

// ProblemDetail explains a refusal.
type ProblemDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Type    string `json:"type,omitempty"`
}

// ModelList answers GET /v1/models.
type ModelList struct {
	Object string      `json:"object"`
	Data   []ModelCard `json:"data"`
}

// ModelCard is one row of a ModelList.
type ModelCard struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}
