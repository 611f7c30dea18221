package gossip

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/allotment"
	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fairshare"
	"github.com/chiveramp/chiveramp/internal/core/feature"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/origin"
	"github.com/chiveramp/chiveramp/internal/core/roster"
	"github.com/chiveramp/chiveramp/internal/core/suspect"
	"github.com/chiveramp/chiveramp/internal/core/transfer"
)

// Heartbeat is the state that an instance sends to its peers periodically.
type Heartbeat struct {
	Peer  member.Peer `cbor:"p"`
	Place fleet.Place `cbor:"l"`
	// Sent is the sending time on a clock of the sender that keeps running while the
	// sender is suspended.
	Sent time.Duration `cbor:"z"`
	// Ready is set if the sender accepts requests.
	Ready bool `cbor:"y"`
	// StoreReachable is set if the store has recently answered the sender.
	StoreReachable bool `cbor:"k"`
	// CutOff is set if the sender reaches most endpoints through its peers only.
	CutOff bool `cbor:"a,omitempty"`
	// Catalog and Roster are the versions that the sender has.
	Catalog int64 `cbor:"c"`
	Roster  int64 `cbor:"r"`
	// Loads are the sender's requests in flight by endpoint.
	Loads map[fleet.Endpoint]balance.Load `cbor:"o"`
	// Uses are the models and adapters that these requests need.
	Uses []balance.Use `cbor:"q"`
	// Demand is the recent demand of the sender's callers.
	Demand []Demand `cbor:"d"`
	// Reports are the endpoint reports that the sender has fetched since its last heartbeat.
	Reports []Report `cbor:"e"`
	// Leaving are incarnations of endpoints that are shutting down, Failed those that
	// recently did not answer the sender.
	Leaving []Incarnation `cbor:"f"`
	Failed  []Incarnation `cbor:"x"`
	// HoldsOrderLease is set if the sender may give orders.
	HoldsOrderLease bool `cbor:"h"`
	// Fence is the fencing token of the sender's order lease.
	Fence fleet.Fence `cbor:"n"`
	// Holder is the instance that the sender takes for the holder of the order lease, nil if
	// it knows none. Few heartbeats of a large fleet come from the holder itself.
	Holder     *Holder            `cbor:"j,omitempty"`
	Suspicions []member.Suspicion `cbor:"u"`
	// Retiring are copies of models about to be unloaded; no new requests are routed to them.
	Retiring []Retirement `cbor:"t"`
	// Limits are the rates that endpoints have lately asked for, as far as the sender knows.
	Limits []Limit `cbor:"g,omitempty"`
	// Ended are endpoints that recently crashed, with the runs that were in flight there, Begun the
	// answers that clear keys of these runs, Verdicts the keys that crash endpoints, as far as the
	// sender knows.
	Ended    []EndpointCrash `cbor:"w,omitempty"`
	Begun    []BegunKey      `cbor:"b,omitempty"`
	Verdicts []Verdict       `cbor:"m,omitempty"`
	// Features are what the sender's build can do.
	Features []feature.Feature `cbor:"v,omitempty"`
	// Build names the sender's build. Only some heartbeats have it.
	Build string `cbor:"bu,omitempty"`
	// Backlogs are the schedules of the endpoints whose requests the sender admits, without those
	// that hold nothing and aren't slow. Where they are sent, Loads has no entry.
	Backlogs []Backlog `cbor:"s,omitempty"`
	// Contact is when the store last answered the sender, nil if earlier heartbeats have told.
	Contact *Contact `cbor:"co,omitempty"`
	// Queues are how long heartbeats wait on the links from other regions, those where they do.
	Queues []Queue `cbor:"qu,omitempty"`
}

// Queue is how long, in milliseconds, what comes from a region waits on its way.
type Queue struct {
	From   fleet.Region `cbor:"f"`
	WaitMs int64        `cbor:"w"`
}

// QueueFrom returns how long what comes from a region waits on its way to the sender.
func (b *Heartbeat) QueueFrom(region fleet.Region) time.Duration {
	for _, q := range b.Queues {
		if q.From == region {
			return time.Duration(q.WaitMs) * time.Millisecond
		}
	}
	return 0
}

// Contact is a time over which the store answered each call of an instance, in milliseconds before
// the heartbeat was sent, in one era of the store.
type Contact struct {
	SinceMs int64 `cbor:"s"`
	UntilMs int64 `cbor:"u"`
	Era     int64 `cbor:"e,omitempty"`
}

// WithoutDemand returns a copy of the heartbeat without what only the holder of the order
// lease needs: the demand, and the adapters in use. They are most of its bytes.
func (b *Heartbeat) WithoutDemand() *Heartbeat {
	light := *b
	light.Demand, light.Uses = nil, nil
	return &light
}

// Holder names the holder of the order lease, as of Age ago.
type Holder struct {
	Instance fleet.Instance `cbor:"i"`
	Address  string         `cbor:"a"`
	Fence    fleet.Fence    `cbor:"n"`
	MayOrder bool           `cbor:"h"`
	Age      time.Duration  `cbor:"g"`
}

// Limit is the rate of requests that an incarnation of an endpoint has asked for, by an answer
// as old as Age. It asks for none any more if Named is not set.
type Limit struct {
	Incarnation
	PerSecond float64       `cbor:"r"`
	Named     bool          `cbor:"n"`
	Age       time.Duration `cbor:"g"`
}

// EndpointCrash is the crash of an endpoint with the runs in flight there, FailedAgo before the
// heartbeat was sent.
type EndpointCrash struct {
	Incarnation string        `cbor:"i"`
	FailedAgo   time.Duration `cbor:"x"`
	Runs        []CrashedRun  `cbor:"p"`
}

// CrashedRun is a run that was sent to the endpoint Age before the crash, by what it shares with
// others.
type CrashedRun struct {
	Keys []suspect.Key `cbor:"p"`
	Age  time.Duration `cbor:"g"`
	// Begun is set if the answer to a whole request had begun.
	Begun bool `cbor:"b,omitempty"`
}

// BegunKey is the key of a run whose answer began Ago before the heartbeat was sent.
type BegunKey struct {
	Key suspect.Key   `cbor:"p"`
	Ago time.Duration `cbor:"g"`
}

// Verdict is a key of runs under which endpoints crashed, the last one FailedAgo before the
// heartbeat was sent.
type Verdict struct {
	Key       suspect.Key   `cbor:"p"`
	Crashes   int           `cbor:"n"`
	Reviews   int           `cbor:"r"`
	FailedAgo time.Duration `cbor:"x"`
	// Provisional is set if the endpoints crashed at one moment.
	Provisional bool `cbor:"o,omitempty"`
}

// Retirement identifies a copy of a model that is about to be unloaded.
type Retirement struct {
	Endpoint fleet.Endpoint `cbor:"i"`
	Model    fleet.Model    `cbor:"m"`
}

// Demand is the demand for a model, or for one of its adapters if Adapter is set, in
// tokens per second. LongTerm is the rate over a longer period.
type Demand struct {
	Model    fleet.Model   `cbor:"m"`
	Adapter  fleet.Adapter `cbor:"a"`
	Tokens   int           `cbor:"t"`
	LongTerm int           `cbor:"s"`
}

// Report is an endpoint's report with its age at the time the heartbeat was sent.
type Report struct {
	Endpoint fleet.Endpoint `cbor:"i"`
	Age      time.Duration  `cbor:"g"`
	Report   roster.Report  `cbor:"r"`
}

// Incarnation is one start of an endpoint, identified by its start time.
type Incarnation struct {
	Endpoint fleet.Endpoint `cbor:"i"`
	Born     int64          `cbor:"b"`
}

// Ack answers a heartbeat. If ConfirmedMs is above 0, no configuration newer than the version
// Catalog had been acknowledged that many milliseconds before the answer was made.
type Ack struct {
	Catalog     int64 `cbor:"c,omitempty"`
	ConfirmedMs int64 `cbor:"a,omitempty"`
}

// Fetch asks a peer for its endpoint entries, and for its configuration in one piece.
type Fetch struct {
	// Catalog and Roster are the versions that the sender already has.
	Catalog int64 `cbor:"c"`
	Roster  int64 `cbor:"r"`
	// Deltas is set if the sender can apply a reply that has only changed entries.
	Deltas bool `cbor:"d"`
	// Parts is set if the sender gets the configuration by FetchCatalog.
	Parts bool `cbor:"p"`
	// Pages is set if the sender takes a complete list in pages, this one from the first ID
	// after After.
	Pages bool           `cbor:"g"`
	After fleet.Endpoint `cbor:"a"`
}

// FetchCatalog asks a peer for the next part of its configuration.
type FetchCatalog struct {
	// Have is the version in force at the sender, which the text may be compressed against.
	Have int64 `cbor:"h"`
	// Text is what the sender has begun to receive, up to Offset. The peer begins with its own
	// if it doesn't have that one.
	Text   transfer.ID `cbor:"t"`
	Offset int         `cbor:"o"`
}

// CatalogPart answers a FetchCatalog. Its size is 0 if the peer has no newer configuration.
type CatalogPart struct {
	Part transfer.Part `cbor:"p"`
}

// PushCatalog offers a whole configuration to an instance beyond a link between regions.
type PushCatalog struct {
	Part transfer.Part `cbor:"p"`
}

// PushReply answers a PushCatalog.
type PushReply struct{}

// Entry is an endpoint's entry as stored in the platform's store.
type Entry struct {
	ID       fleet.Endpoint `cbor:"i"`
	Revision int64          `cbor:"r"`
	Text     []byte         `cbor:"t"`
}

// FetchReply answers a Fetch. It omits what is no newer than the versions of the Fetch.
type FetchReply struct {
	Catalog []byte  `cbor:"c"`
	Roster  int64   `cbor:"r"`
	Entries []Entry `cbor:"e"`
	// Delta is set if Entries and Removed are only the changes since the Fetch's revision;
	// otherwise Entries is the complete list, or the next page of it, in the order of the IDs.
	Delta bool `cbor:"d"`
	// More is set if the list has a further page.
	More    bool    `cbor:"o"`
	Removed []Entry `cbor:"m"`
}

// Ensure asks the holder of the order lease to load an adapter.
type Ensure struct {
	Endpoint fleet.Endpoint `cbor:"i"`
	Born     int64          `cbor:"b"`
	Model    fleet.Model    `cbor:"m"`
	Adapter  fleet.Adapter  `cbor:"a"`
}

// EnsureReply answers an Ensure. Refused is the reason if the adapter was not loaded.
type EnsureReply struct {
	Refused string `cbor:"r"`
}

// Portions asks the owner of a part of the allotments for portions, and lends it a share.
type Portions struct {
	Part  int              `cbor:"p"`
	Offer allotment.Offer  `cbor:"o"`
	Wants []allotment.Want `cbor:"w,omitempty"`
}

// PortionsReply answers a Portions, its wants in their order.
type PortionsReply struct {
	Stamp  allotment.Stamp   `cbor:"s"`
	Grants []allotment.Grant `cbor:"g,omitempty"`
	// Successor is set if the owner has handed over and grants nothing any more.
	Successor *allotment.Successor `cbor:"u,omitempty"`
}

// HandOver has the receiver take over a part of the allotments as its owner. One without a stamp asks for the
// receiver's.
type HandOver struct {
	Part     int                `cbor:"p"`
	Handover allotment.Handover `cbor:"h"`
}

// HandOverReply answers a HandOver.
type HandOverReply struct {
	Stamp allotment.Stamp `cbor:"s"`
	Taken bool            `cbor:"t,omitempty"`
}

// Origins names streams to an instance that keeps which version of an endpoint's software began them.
type Origins struct {
	Streams []origin.Stream `cbor:"s"`
}

// OriginsReply answers an Origins.
type OriginsReply struct{}

// FindOrigin asks which version of a service's software began a stream.
type FindOrigin struct {
	Service catalog.Service `cbor:"s"`
	ID      string          `cbor:"i"`
}

// FindOriginReply answers a FindOrigin. Versions are those of the service that may have begun a
// stream which callers still take up; there are no others if Settled is set.
type FindOriginReply struct {
	Known    bool             `cbor:"k"`
	Software fleet.Software   `cbor:"w"`
	Versions []fleet.Software `cbor:"v"`
	Settled  bool             `cbor:"t,omitempty"`
}

// Knowledge returns what the reply says, nil if there is none.
func (r *FindOriginReply) Knowledge() *origin.Knowledge {
	if r == nil {
		return nil
	}
	return &origin.Knowledge{Known: r.Known, Software: r.Software, Versions: r.Versions, Settled: r.Settled}
}

// Admit asks the instance that admits an endpoint's requests when a prompt may be sent there.
type Admit struct {
	Endpoint fleet.Endpoint `cbor:"i"`
	Born     int64          `cbor:"b"`
	Level    int            `cbor:"l"`
	// Work is the time that the prompt occupies in the schedule, Run how long its request will
	// hold a slot, Limit the longest wait.
	Work  time.Duration `cbor:"w"`
	Run   time.Duration `cbor:"r"`
	Limit time.Duration `cbor:"m"`
	// Rate is what the sender knows of a limit that the endpoint has asked for, nil for nothing.
	Rate *Limit `cbor:"s,omitempty"`
	// Late is set if the request may wait for room beyond Limit.
	Late *Late `cbor:"q,omitempty"`
	// Prompt are the prefixes of the prompt, Uncached how many of its Tokens the sender takes for not
	// cached there, which Work counts.
	Prompt   []Prefix `cbor:"p,omitempty"`
	Tokens   int      `cbor:"t,omitempty"`
	Uncached int      `cbor:"c,omitempty"`
	// Usage is how much the request's workspace sends through the sender.
	Usage *fairshare.Usage `cbor:"u,omitempty"`
	// Slowness is how much longer than usual the sender takes the endpoint to be, which Work counts.
	Slowness Percent `cbor:"f,omitempty"`
	// Answers are what the sender has got from endpoints whose requests the receiver admits. If
	// Endpoint is empty, there is no request.
	Answers []Answer `cbor:"a,omitempty"`
}

// Late is a request that may be answered after its target.
type Late struct {
	// ID is the same in all questions of the request.
	ID uint64 `cbor:"i"`
	// Waited is how long ago the request arrived, Patience how long it can still wait.
	Waited   time.Duration `cbor:"w,omitempty"`
	Patience time.Duration `cbor:"p,omitempty"`
	// Asked is set if the request has waited since an earlier question. Last is set if it doesn't ask
	// again.
	Asked bool `cbor:"a,omitempty"`
	Last  bool `cbor:"l,omitempty"`
	// Yields is set if the request leaves room to other workspaces.
	Yields bool `cbor:"y,omitempty"`
	// Withdrawn is set if the request no longer waits. It is not admitted.
	Withdrawn bool `cbor:"x,omitempty"`
}

// AdmitReply answers an Admit. Wait is counted from the arrival of the question. If Refused
// is set, it is longer than the limit and the prompt was not scheduled.
type AdmitReply struct {
	Wait    time.Duration `cbor:"w"`
	Refused bool          `cbor:"r"`
	// Hold is how long to wait before the request is sent, from the arrival of the question.
	Hold time.Duration `cbor:"h,omitempty"`
	// Limited is set if the wait is due to a limit that the endpoint has asked for.
	Limited bool `cbor:"l,omitempty"`
	// Backlog is the endpoint's schedule after the decision.
	Backlog BacklogWork `cbor:"b,omitempty"`
	// Late is set if a late request was admitted.
	Late bool `cbor:"t,omitempty"`
	// AskAgain is when a refused request that waits for room is to ask again, 0 if it doesn't wait,
	// Ahead how many late requests are before it.
	AskAgain time.Duration `cbor:"a,omitempty"`
	Ahead    int           `cbor:"n,omitempty"`
	// Yields is set if the request leaves room to other workspaces.
	Yields bool `cbor:"y,omitempty"`
	// Return is when the caller of a refused request that doesn't wait may come back.
	Return time.Duration `cbor:"e,omitempty"`
	// Work is the time that the prompt occupies in the schedule, 0 for that of the question.
	Work time.Duration `cbor:"o,omitempty"`
	// Slowness is how much longer the endpoint takes than the usual one, DelayMs how much later it
	// has been than its schedule said, over all its requests.
	Slowness Percent `cbor:"s,omitempty"`
	DelayMs  int32   `cbor:"d,omitempty"`
}
