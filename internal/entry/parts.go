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

// Members tells which instances are there.
type Members interface {
	Self() member.Peer
	Dispatcher(fleet.Endpoint, fleet.Place) (member.Peer, bool)
	// Live returns the live instances of a data centre.
	Live(fleet.DataCentre) []member.Peer
	Unreachable(fleet.Instance)
}

// Dispatcher runs requests on endpoints: the instance's own pool.
type Dispatcher interface {
	Serve(context.Context, peer.Request, peer.Sink) *peerpb.End
	Resume(context.Context, *peerpb.Resume, peer.Sink) *peerpb.End
}

// Peers reaches other instances.
type Peers interface {
	Serve(ctx context.Context, address string, r peer.Request, sink peer.Sink) (*peerpb.End, error)
	Resume(ctx context.Context, address string, r *peerpb.Resume, sink peer.Sink) (*peerpb.End, error)
}

// Documents holds the profile document in force.
type Documents interface {
	Profiles() (profile.Document, bool)
}

// Remote tells which other data centre serves a model or service, the best first.
type Remote interface {
	DataCentres(now time.Time, model fleet.Model, service string) []fleet.DataCentre
}

// Draining tells which endpoints get nothing new of a model, in order.
type Draining interface {
	Drains(fleet.Model) []fleet.Endpoint
}

// Suspects tells which requests were running when an endpoint died.
type Suspects interface {
	Check(fingerprint uint64) (suspected, poison bool)
}

// DecisionLog records what was decided for a request.
type DecisionLog interface {
	Note(request, step, peer, note string)
}

// Pacer is told of each request as it comes.
type Pacer interface {
	Request()
}

// Observer is told how each request ended.
type Observer interface {
	Ended(Report)
}

// Report is one ended request, as the profile's targets see it.
type Report struct {
	Profile fleet.Profile
	Rank    fleet.Rank
	Model   fleet.Model
	Outcome fleet.Outcome
	Code    string
	// First is the time to the first piece of the answer, zero when there was none.
	First time.Duration
	// Gap is the mean time between pieces.
	Gap time.Duration
	// Target and GapTarget are the profile's.
	Target    time.Duration
	GapTarget time.Duration
	Retries   int
}
