package entry

import (
	"context"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
	"github.com/chiveramp/chiveramp/pkg/profile"
)

// Members provides the instances of the fleet.
type Members interface {
	Self() member.Peer
	// Dispatcher returns the instance that dispatches to an endpoint.
	Dispatcher(fleet.Endpoint, fleet.Place) (member.Peer, bool)
	// Live returns the live instances of a data centre.
	Live(fleet.DataCentre) []member.Peer
	// Unreachable reports that a call to an instance failed.
	Unreachable(fleet.Instance)
}

// Dispatcher runs requests on the endpoints that this instance dispatches to.
type Dispatcher interface {
	Serve(context.Context, peer.Request, peer.Sink) *peerpb.End
	Resume(context.Context, *peerpb.Resume, peer.Sink) *peerpb.End
}

// Peers sends requests to other instances.
type Peers interface {
	Serve(ctx context.Context, address string, r peer.Request, sink peer.Sink) (*peerpb.End, error)
	Resume(ctx context.Context, address string, r *peerpb.Resume, sink peer.Sink) (*peerpb.End, error)
	// Withdraw has an attempt refused that waits in a queue.
	Withdraw(ctx context.Context, address string, r *peerpb.Resume) error
}

// Documents provides the profile document in force.
type Documents interface {
	Profiles() (profile.Document, bool)
}

// Remote lists the other data centres that serve a model or service, the best first.
type Remote interface {
	DataCentres(now time.Time, model fleet.Model, service string) []fleet.DataCentre
}

// Draining lists the endpoints that get no new requests for a model, sorted.
type Draining interface {
	Drains(fleet.Model) []fleet.Endpoint
}

// Suspects identifies requests that were running when an endpoint failed: suspects, and poison
// requests that are known to crash endpoints.
type Suspects interface {
	Check(fingerprint uint64) (suspected, poison bool)
}

// DecisionLog records the routing decisions for a request.
type DecisionLog interface {
	Note(request, step, peer, note string)
}

// Pacer is called for each incoming request.
type Pacer interface {
	Request()
}

// Shutdown decides which requests that have run nowhere yet are refused while the instance leaves.
type Shutdown interface {
	Refuses(deadline time.Time) bool
}

// Observer is called at the end of each request.
type Observer interface {
	Ended(Report)
}

// Report describes an ended request, with the targets of its profile.
type Report struct {
	Profile fleet.Profile
	Rank    fleet.Rank
	Model   fleet.Model
	Outcome fleet.Outcome
	Code    string
	// First is the time to the first piece of the answer, zero if there was none.
	First time.Duration
	// Gap is the mean time between pieces.
	Gap time.Duration
	// Target and GapTarget are the profile's targets for First and Gap.
	Target    time.Duration
	GapTarget time.Duration
	Retries   int
}
