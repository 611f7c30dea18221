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

// remoteTotals shares the totals told by the own data centre and heard of the others among
// goroutines. It implements entry.Remote.
type remoteTotals struct {
	region fleet.Region

	mu      sync.Mutex
	sender  *totals.Sender
	tracker *totals.Tracker
	// confirmed are the own fulls that others said they hold.
	confirmed map[totals.Source]totals.ID
}

func newRemoteTotals(self member.Peer) *remoteTotals {
	return &remoteTotals{
		region: self.Place.Region, sender: totals.NewSender(self), tracker: totals.NewTracker(),
		confirmed: make(map[totals.Source]totals.ID),
	}
}

func (r *remoteTotals) messages(now time.Time, s totals.State, known totals.ID) []totals.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sender.Messages(now, s, known)
}

// confirmedSnapshot returns the own full that another instance said it holds.
func (r *remoteTotals) confirmedSnapshot(other totals.Source) totals.ID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmed[other]
}

// confirm keeps which own full another instance holds, and says whether it is the latest.
func (r *remoteTotals) confirm(other totals.Source, held totals.ID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for source, id := range r.confirmed {
		if id != r.sender.LatestSnapshot() {
			delete(r.confirmed, source)
		}
	}
	r.confirmed[other] = held
	return held == r.sender.LatestSnapshot()
}

func (r *remoteTotals) receive(now time.Time, m totals.Message) totals.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Receive(now, m)
}

func (r *remoteTotals) receiveForwarded(now time.Time, m totals.Message) totals.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.ReceiveForwarded(now, m)
}

func (r *remoteTotals) knownSnapshot(dc fleet.DataCentre, source totals.Source) totals.ID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.KnownSnapshot(dc, source)
}

func (r *remoteTotals) snapshotAndDelta(dc fleet.DataCentre, source totals.Source) []totals.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.SnapshotAndDelta(dc, source)
}

func (r *remoteTotals) forward(now time.Time, isFirstSpeaker func(fleet.DataCentre) bool) []totals.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Forward(now, isFirstSpeaker)
}

func (r *remoteTotals) instances(dc fleet.DataCentre) []member.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Instances(dc)
}

// Centres implements entry.Remote: the own region first, then the least loaded.
func (r *remoteTotals) Centres(now time.Time, model fleet.Model, service string) []fleet.DataCentre {
	name := string(model)
	if service != "" {
		name = servicePrefix + service
	}
	r.mu.Lock()
	options := r.tracker.Locations(now, name, remoteExpiry)
	r.mu.Unlock()
	slices.SortStableFunc(options, func(a, b totals.Location) int {
		return cmp.Or(cmp.Compare(r.regionDistance(a), r.regionDistance(b)), cmp.Compare(loadPerCopy(a.Sum), loadPerCopy(b.Sum)))
	})
	centres := make([]fleet.DataCentre, 0, len(options))
	for _, o := range options {
		centres = append(centres, o.Place.DataCentre)
	}
	return centres
}

// regionDistance is 0 in the own region, else 1.
func (r *remoteTotals) regionDistance(o totals.Location) int {
	if o.Place.Region == r.region {
		return 0
	}
	return 1
}

// loadPerCopy is the work for each copy.
func loadPerCopy(s totals.Sum) float64 {
	return float64(s.Running+s.Queued) / float64(s.Copies)
}
