// Package totals implements the state exchange between data centres: sums for each model
// and the instances that accept new work. A Sender builds periodic snapshots and, between
// them, deltas. A Tracker applies both and decides what to forward to the other instances
// of the local data centre.
//
// Each delta refers to one snapshot and contains all changes since that snapshot, so lost,
// repeated or reordered messages never lead to a wrong state. A delta on an unknown
// snapshot is rejected, and the receiver requests the snapshot.
package totals

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
)

// Source identifies one incarnation of an instance that sends totals. Zero means none.
type Source uint32

// SourceOf returns the source identifier of an instance.
func SourceOf(p member.Peer) Source {
	return Source(xxhash.Sum64String(string(p.Instance)+"/"+p.Incarnation)) | 1
}

// ID identifies one snapshot of one source. The zero ID means none.
type ID struct {
	Source Source
	Serial uint32
}

// Sum is the work of one model, summed over a data centre.
type Sum struct {
	Model   string
	Copies  uint32
	Running uint32
	Queued  uint32
}

// Row is an instance with its number, which is valid in one snapshot and its deltas.
type Row struct {
	Number uint32
	Peer   member.Peer
}

// Behind is the document revision of an instance that does not have the highest one.
type Behind struct {
	Number   uint32
	Revision uint64
}

// Message is what one data centre sends to another: a snapshot, or a delta on one.
type Message struct {
	Place fleet.Place // region and data centre described
	Base  ID          // the snapshot itself, or the one that this delta refers to
	// Number is zero for a snapshot and increases with each delta on it.
	Number uint64
	// Models holds all models in a snapshot; in a delta those whose copies went to or
	// from zero since the snapshot.
	Models []Sum
	// Rows holds all instances in a snapshot; in a delta the new and changed ones.
	Rows []Row
	// Removed holds the rows of instances that no longer accept new work.
	Removed []uint32
	// Revision is the highest document revision; all instances except those in Behind
	// have it.
	Revision uint64
	Behind   []Behind
	// Encoded is a snapshot as it was received, to be forwarded without encoding it again.
	Encoded []byte
}

// IsSnapshot reports whether the message is a snapshot.
func (m Message) IsSnapshot() bool { return m.Number == 0 }

// State is the state of a data centre from which messages are built.
type State struct {
	Place     fleet.Place
	Models    []Sum         // sorted by name
	Instances []member.Peer // that accept new work, sorted by name
}

// findSum returns the sum of a model in a list sorted by name.
func findSum(list []Sum, model string) (Sum, bool) {
	i, found := slices.BinarySearchFunc(list, model, func(s Sum, name string) int { return cmp.Compare(s.Model, name) })
	if !found {
		return Sum{Model: model}, false
	}
	return list[i], true
}
