package node

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/totals"
)

// remoteExpiry is how long the totals of another data centre are believed.
const remoteExpiry = 30 * time.Second

// servicePrefix marks the totals of a plain service among those of models.
const servicePrefix = "service:"

// remote shares the totals told by the own data centre and heard of the others among
// goroutines. It implements entry.Remote.
type remote struct {
	region fleet.Region

	mu     sync.Mutex
	teller *totals.Sender
	book   *totals.Tracker
	// confirmed are the own fulls that others said they hold.
	confirmed map[totals.Source]totals.ID
}

func newRemote(self member.Peer) *remote {
	return &remote{
		region: self.Place.Region, teller: totals.NewSender(self), book: totals.NewTracker(),
		confirmed: make(map[totals.Source]totals.ID),
	}
}

func (r *remote) tell(now time.Time, s totals.State, known totals.ID) []totals.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.teller.Messages(now, s, known)
}

// holds returns the own full that another instance said it holds.
func (r *remote) holds(other totals.Source) totals.ID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmed[other]
}

// confirm keeps which own full another instance holds, and says whether it is the latest.
func (r *remote) confirm(other totals.Source, held totals.ID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for source, id := range r.confirmed {
		if id != r.teller.LatestSnapshot() {
			delete(r.confirmed, source)
		}
	}
	r.confirmed[other] = held
	return held == r.teller.LatestSnapshot()
}

func (r *remote) hear(now time.Time, m totals.Message) totals.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.Receive(now, m)
}

func (r *remote) hearPassed(now time.Time, m totals.Message) totals.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.ReceiveForwarded(now, m)
}

func (r *remote) known(dc fleet.DataCentre, source totals.Source) totals.ID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.KnownSnapshot(dc, source)
}

func (r *remote) held(dc fleet.DataCentre, source totals.Source) []totals.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.SnapshotAndDelta(dc, source)
}

func (r *remote) pass(now time.Time, first func(fleet.DataCentre) bool) []totals.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.Forward(now, first)
}

func (r *remote) instances(dc fleet.DataCentre) []member.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.Instances(dc)
}

// DataCentres implements entry.Remote: the own region first, then the least loaded.
func (r *remote) DataCentres(now time.Time, model fleet.Model, service string) []fleet.DataCentre {
	name := string(model)
	if service != "" {
		name = servicePrefix + service
	}
	r.mu.Lock()
	options := r.book.Locations(now, name, remoteExpiry)
	r.mu.Unlock()
	slices.SortStableFunc(options, func(a, b totals.Location) int {
		return cmp.Or(cmp.Compare(r.far(a), r.far(b)), cmp.Compare(load(a.Sum), load(b.Sum)))
	})
	centres := make([]fleet.DataCentre, 0, len(options))
	for _, o := range options {
		centres = append(centres, o.Place.DataCentre)
	}
	return centres
}

// far is 0 in the own region, else 1.
func (r *remote) far(o totals.Location) int {
	if o.Place.Region == r.region {
		return 0
	}
	return 1
}

// load is the work for each copy.
func load(s totals.Sum) float64 {
	return float64(s.Running+s.Queued) / float64(s.Copies)
}
