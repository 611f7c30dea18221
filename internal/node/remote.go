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

// remoteExpiry is how long the totals of another data centre are used after they were received.
const remoteExpiry = 30 * time.Second

// servicePrefix distinguishes the totals of a plain service from those of a model.
const servicePrefix = "service:"

// remoteTotals guards the sender of the local data centre's totals and the tracker of the
// others' for concurrent use. It implements entry.Remote.
type remoteTotals struct {
	region fleet.Region

	mu      sync.Mutex
	sender  *totals.Sender
	tracker *totals.Tracker
	// confirmed holds the local snapshot that each other instance reported to have.
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

// confirmedSnapshot returns the local snapshot that another instance reported to have.
func (r *remoteTotals) confirmedSnapshot(other totals.Source) totals.ID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmed[other]
}

// confirm records which local snapshot another instance has, and reports whether it is the
// latest. It drops the confirmations of older snapshots.
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

// DataCentres implements entry.Remote. Data centres of the local region come first, then those
// with the lowest load per copy.
func (r *remoteTotals) DataCentres(now time.Time, model fleet.Model, service string) []fleet.DataCentre {
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

// regionDistance returns 0 for the local region and 1 for all others.
func (r *remoteTotals) regionDistance(o totals.Location) int {
	if o.Place.Region == r.region {
		return 0
	}
	return 1
}

// loadPerCopy returns the number of running and queued requests per copy.
func loadPerCopy(s totals.Sum) float64 {
	return float64(s.Running+s.Queued) / float64(s.Copies)
}
