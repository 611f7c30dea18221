package totals

import (
	"maps"
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
)

const (
	// intervalPerModel is multiplied by the number of models to give the time between two
	// snapshots, so that a small fleet sends a snapshot with every exchange.
	intervalPerModel = 40 * time.Millisecond
	// maxSnapshotInterval bounds the time between two snapshots.
	maxSnapshotInterval = 30 * time.Second
)

// Sender builds the messages about the local data centre. It is not safe for concurrent use.
type Sender struct {
	base        Message
	snapshotAt  time.Time
	deltaNumber uint64
	rows        []member.Peer // by number
	index       map[fleet.Instance]uint32
	changed     map[uint32]bool
}

// NewSender returns a sender for one incarnation of an instance.
func NewSender(self member.Peer) *Sender {
	return &Sender{base: Message{Base: ID{Source: SourceOf(self)}}}
}

// Messages returns what to send to a receiver that holds the known snapshot: a delta,
// preceded by the latest snapshot if that is a different one.
func (s *Sender) Messages(now time.Time, state State, known ID) []Message {
	if s.base.Base.Serial == 0 || now.Sub(s.snapshotAt) >= SnapshotInterval(len(state.Models)) {
		s.startSnapshot(now, state)
	}
	delta := s.delta(state)
	if known == s.base.Base {
		return []Message{delta}
	}
	return []Message{s.base, delta}
}

// LatestSnapshot returns the ID of the latest snapshot.
func (s *Sender) LatestSnapshot() ID { return s.base.Base }

// SnapshotInterval returns the time between two snapshots for a number of models.
func SnapshotInterval(models int) time.Duration {
	return min(maxSnapshotInterval, time.Duration(models)*intervalPerModel)
}

func (s *Sender) startSnapshot(now time.Time, state State) {
	id := ID{Source: s.base.Base.Source, Serial: s.base.Base.Serial + 1}
	s.base = Message{Place: state.Place, Base: id, Models: slices.Clone(state.Models)}
	s.snapshotAt, s.deltaNumber = now, 0
	s.rows, s.index, s.changed = nil, map[fleet.Instance]uint32{}, map[uint32]bool{}
	for _, p := range state.Instances {
		s.base.Rows = append(s.base.Rows, Row{Number: s.addRow(p), Peer: stripped(p)})
	}
}

func (s *Sender) addRow(p member.Peer) uint32 {
	number := uint32(len(s.rows))
	s.rows = append(s.rows, stripped(p))
	s.index[p.Instance] = number
	return number
}

// stripped clears the revision, which a delta carries once for all instances, and the
// sequence, which is not sent.
func stripped(p member.Peer) member.Peer {
	p.Revision, p.Sequence = 0, 0
	return p
}

func (s *Sender) delta(state State) Message {
	s.deltaNumber++
	m := Message{Place: state.Place, Base: s.base.Base, Number: s.deltaNumber, Models: s.availabilityChanges(state.Models)}
	seen := make(map[uint32]uint64, len(state.Instances))
	for _, p := range state.Instances {
		seen[s.recordRow(p)] = p.Revision
		m.Revision = max(m.Revision, p.Revision)
	}
	for _, number := range slices.Sorted(maps.Keys(s.changed)) {
		if _, ok := seen[number]; ok {
			m.Rows = append(m.Rows, Row{Number: number, Peer: s.rows[number]})
		}
	}
	for number := range uint32(len(s.rows)) {
		revision, ok := seen[number]
		switch {
		case !ok:
			m.Removed = append(m.Removed, number)
		case revision < m.Revision:
			m.Behind = append(m.Behind, Behind{Number: number, Revision: revision})
		}
	}
	return m
}

// recordRow stores the current description of an instance and returns its row number.
func (s *Sender) recordRow(p member.Peer) uint32 {
	number, ok := s.index[p.Instance]
	if !ok {
		number = s.addRow(p)
		s.changed[number] = true
	}
	if s.rows[number] != stripped(p) {
		s.rows[number] = stripped(p)
		s.changed[number] = true
	}
	return number
}

// availabilityChanges returns the sums whose copies went to or from zero since the snapshot.
func (s *Sender) availabilityChanges(current []Sum) []Sum {
	var list []Sum
	for _, sum := range current {
		was, _ := findSum(s.base.Models, sum.Model)
		if (was.Copies == 0) != (sum.Copies == 0) {
			list = append(list, sum)
		}
	}
	for _, was := range s.base.Models {
		if _, ok := findSum(current, was.Model); !ok && was.Copies > 0 {
			list = append(list, Sum{Model: was.Model})
		}
	}
	slices.SortFunc(list, byModel)
	return list
}
