// Package totals decides what data centres tell each other: sums for each model and
// which instances live. A teller sends a full now and then, and between fulls only
// what has changed since; a book takes both in and decides what is passed on inside
// its own data centre.
//
// Every difference rests on one full and holds all that changed since that full, so
// lost, repeated or reordered messages never lead to a wrong state. A difference on an
// unknown full is refused, and the full is asked for.
package totals

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
)

// Source names one incarnation of an instance that tells totals. Zero is nobody.
type Source uint32

// SourceOf returns the name under which an instance tells.
func SourceOf(p member.Peer) Source {
	return Source(xxhash.Sum64String(string(p.Instance)+"/"+p.Incarnation)) | 1
}

// ID names one full of one source. The zero ID names none.
type ID struct {
	Source Source
	Serial uint32
}

// Sum is the work of one model over a data centre.
type Sum struct {
	Model   string
	Copies  uint32
	Running uint32
	Queued  uint32
}

// Row is an instance with its number in a full and the differences on it.
type Row struct {
	Number uint32
	Peer   member.Peer
}

// Behind is the document revision of an instance that hasn't the highest.
type Behind struct {
	Number   uint32
	Revision uint64
}

// Message is what one data centre tells another: a full, or a difference from it.
type Message struct {
	Place fleet.Place // region and data centre that tell
	Base  ID          // the full itself, or the one that this difference rests on
	// Number is zero for a full and rises with each difference on it.
	Number uint64
	// Models are all of them in a full; in a difference those whose copies went to or
	// from zero since the full.
	Models []Sum
	// Rows are all instances in a full; in a difference the new and changed ones.
	Rows []Row
	// Removed are the rows of instances that take no new work.
	Removed []uint32
	// Revision is the highest document revision, of all instances but those in Behind.
	Revision uint64
	Behind   []Behind
	// Encoded is a full in the form in which it came, to be passed on as it is.
	Encoded []byte
}

// IsSnapshot says whether the message is a full.
func (m Message) IsSnapshot() bool { return m.Number == 0 }

// State is what there is to tell of a data centre.
type State struct {
	Place     fleet.Place
	Models    []Sum         // in order of their names
	Instances []member.Peer // that take new work, in order of their names
}

// findSum returns the sum of a model in a list that is in order.
func findSum(list []Sum, model string) (Sum, bool) {
	i, found := slices.BinarySearchFunc(list, model, func(s Sum, name string) int { return cmp.Compare(s.Model, name) })
	if !found {
		return Sum{Model: model}, false
	}
	return list[i], true
}
