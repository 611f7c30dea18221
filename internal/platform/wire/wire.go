// Package wire defines the JSON messages of Consul's HTTP API, which the platform implements.
package wire

// Verbs of a transaction's key-value operations.
const (
	VerbCAS          = "cas"
	VerbDeleteCAS    = "delete-cas"
	VerbCheckSession = "check-session"
	VerbLock         = "lock"
	// VerbCheckIndex and VerbCheckNotExists make the transaction fail if the condition does
	// not hold. VerbDeleteTree removes all keys with a prefix.
	VerbCheckIndex     = "check-index"
	VerbCheckNotExists = "check-not-exists"
	VerbDeleteTree     = "delete-tree"
)

// HeaderIndex is the response header with the index to pass to the next blocking query.
const HeaderIndex = "X-Consul-Index"

// FilterDataCentre is the start of the filter that limits a health list to one data centre.
const FilterDataCentre = "Node.Datacenter == "

// CheckMaintenance is the ID prefix of the check that marks a service as leaving.
const CheckMaintenance = "_service_maintenance"

// Statuses of a health check.
const (
	StatusPassing     = "passing"
	StatusCritical    = "critical"
	StatusMaintenance = "maintenance"
)

// Keys in a service's metadata that the platform sets.
const (
	MetaRegion      = "region"
	MetaIncarnation = "incarnation"
)

// Pair is one key-value pair as the API returns it.
type Pair struct {
	Key         string
	Value       []byte
	LockIndex   uint64
	ModifyIndex uint64
	CreateIndex uint64
	Session     string `json:",omitempty"`
}

// TxnOp is one operation of a transaction.
type TxnOp struct {
	KV TxnKV
}

// TxnKV is a key-value operation of a transaction.
type TxnKV struct {
	Verb    string
	Key     string
	Value   []byte `json:",omitempty"`
	Index   uint64 `json:",omitempty"`
	Session string `json:",omitempty"`
}

// TxnReply is the response to a transaction: results if it was applied, errors if not.
type TxnReply struct {
	Results []TxnResult
	Errors  []TxnError
}

// TxnResult is the outcome of one applied operation.
type TxnResult struct {
	KV Pair
}

// TxnError identifies the operation that made the transaction fail, and why.
type TxnError struct {
	OpIndex int
	What    string
}

// SessionRequest creates a session.
type SessionRequest struct {
	Name       string
	TTL        string
	LockDelay  string
	Behavior   string
	NodeChecks []string
}

// SessionReply contains the ID of a created session.
type SessionReply struct {
	ID string
}

// ServiceEntry is one row of the health list.
type ServiceEntry struct {
	Node    Node
	Service Service
	Checks  []Check
}

// Node is the machine that a service runs on.
type Node struct {
	Node       string
	Address    string
	Datacenter string
}

// Service is one listed process.
type Service struct {
	ID      string
	Service string
	Address string
	Port    int
	Meta    map[string]string
}

// Check is one health check of a service.
type Check struct {
	CheckID string
	Status  string
}
