// Package wire holds the JSON messages of Consul's HTTP API that the platform speaks.
package wire

// Verbs of a transaction's key-value operations.
const (
	VerbCAS          = "cas"
	VerbDeleteCAS    = "delete-cas"
	VerbCheckSession = "check-session"
	VerbLock         = "lock"
	// VerbCheckIndex and VerbCheckNotExists refuse the transaction, VerbDeleteTree
	// removes all keys with a prefix.
	VerbCheckIndex     = "check-index"
	VerbCheckNotExists = "check-not-exists"
	VerbDeleteTree     = "delete-tree"
)

// HeaderIndex carries the index to wait on in the next blocking query.
const HeaderIndex = "X-Consul-Index"

// FilterDataCentre begins the filter that limits a health list to one data centre.
const FilterDataCentre = "Node.Datacenter == "

// CheckMaintenance prefixes the check that marks a service as leaving.
const CheckMaintenance = "_service_maintenance"

// Statuses of a health check.
const (
	StatusPassing     = "passing"
	StatusCritical    = "critical"
	StatusMaintenance = "maintenance"
)

// Names of the entries of a service's metadata that the platform fills in.
const (
	MetaRegion      = "region"
	MetaIncarnation = "incarnation"
)

// Pair is one key as the API returns it.
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

// TxnReply answers a transaction: results when it was applied, errors when it was not.
type TxnReply struct {
	Results []TxnResult
	Errors  []TxnError
}

// TxnResult is the outcome of one applied operation.
type TxnResult struct {
	KV Pair
}

// TxnError says which operation refused the transaction, and why.
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

// SessionReply names a created session.
type SessionReply struct {
	ID string
}

// ServiceEntry is one row of the health list.
type ServiceEntry struct {
	Node    Node
	Service Service
	Checks  []Check
}

// Node is where a service runs.
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
