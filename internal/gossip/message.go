package gossip

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/roster"
)

// Heartbeat is what an instance tells the others now and then.
type Heartbeat struct {
	Peer  member.Peer `cbor:"p"`
	Place fleet.Place `cbor:"l"`
	// Sent is when it left, by a clock of its sender that also runs while that is suspended.
	Sent time.Duration `cbor:"z"`
	// Ready instances take requests.
	Ready bool `cbor:"y"`
	// StoreReachable is set where the store answered lately.
	StoreReachable bool `cbor:"k"`
	// Catalog and Roster are the versions known there.
	Catalog int64 `cbor:"c"`
	Roster  int64 `cbor:"r"`
	// Loads are the requests in flight from there.
	Loads map[fleet.Endpoint]balance.Load `cbor:"o"`
	// Uses are the adapters that they need.
	Uses []balance.Use `cbor:"q"`
	// Demand is what callers asked for there lately.
	Demand []Demand `cbor:"d"`
	// Reports are those taken there since the last beat.
	Reports []Report `cbor:"e"`
	// Leaving are incarnations of endpoints that leave, Failed those that did not answer lately.
	Leaving []Incarnation `cbor:"f"`
	Failed  []Incarnation `cbor:"x"`
	// HoldsOrderLease is set where orders may be given.
	HoldsOrderLease bool `cbor:"h"`
	// Fence is the fencing number of whoever gives orders there.
	Fence      fleet.Fence        `cbor:"n"`
	Suspicions []member.Suspicion `cbor:"u"`
	// Retiring are models about to be unloaded: nothing more goes there for them.
	Retiring []Retirement `cbor:"t"`
	// Crashes are requests with which endpoints died lately.
	Crashes []Crash `cbor:"v"`
}

// Crash is the death of an endpoint with a request in flight: how long ago that was sent
// there, and its run broke off, when the beat left.
type Crash struct {
	Fingerprint uint64        `cbor:"f"`
	Incarnation string        `cbor:"i"`
	SentAgo     time.Duration `cbor:"b"`
	FailedAgo   time.Duration `cbor:"x"`
}

// Retirement is the end of a copy of a model.
type Retirement struct {
	Endpoint fleet.Endpoint `cbor:"i"`
	Model    fleet.Model    `cbor:"m"`
}

// Demand is a model's demand in tokens a second, with an adapter if that is given.
// Steady is that over a longer time.
type Demand struct {
	Model    fleet.Model   `cbor:"m"`
	Adapter  fleet.Adapter `cbor:"a"`
	Tokens   int           `cbor:"t"`
	LongTerm int           `cbor:"s"`
}

// Report is an endpoint's report and its age when the beat left.
type Report struct {
	Endpoint fleet.Endpoint `cbor:"i"`
	Age      time.Duration  `cbor:"g"`
	Report   roster.Report  `cbor:"r"`
}

// Incarnation is one start of an endpoint.
type Incarnation struct {
	Endpoint fleet.Endpoint `cbor:"i"`
	Born     int64          `cbor:"b"`
}

// Ack answers a beat.
type Ack struct{}

// Fetch asks for what an instance knows.
type Fetch struct {
	// Catalog and Roster are the versions known already.
	Catalog int64 `cbor:"c"`
	Roster  int64 `cbor:"r"`
}

// Entry is an endpoint's entry as it stands in the store.
type Entry struct {
	ID       fleet.Endpoint `cbor:"i"`
	Revision int64          `cbor:"r"`
	Text     []byte         `cbor:"t"`
}

// FetchReply answers a Fetch. What isn't newer is left out.
type FetchReply struct {
	Catalog []byte  `cbor:"c"`
	Roster  int64   `cbor:"r"`
	Entries []Entry `cbor:"e"`
}

// Ensure asks whoever gives orders to have an adapter loaded.
type Ensure struct {
	Endpoint fleet.Endpoint `cbor:"i"`
	Born     int64          `cbor:"b"`
	Model    fleet.Model    `cbor:"m"`
	Adapter  fleet.Adapter  `cbor:"a"`
}

// EnsureReply answers an Ensure. Refused says why it was not done.
type EnsureReply struct {
	Refused string `cbor:"r"`
}
