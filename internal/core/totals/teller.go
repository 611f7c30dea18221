package totals

import (
	"maps"
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
)

const (
	// eachModel is the time between two fulls for each model that they hold, so that a
	// small fleet tells fulls as often as it exchanges.
	eachModel = 40 * time.Millisecond
	// mostPeriod is the longest time between two fulls.
	mostPeriod = 30 * time.Second
)

// Teller tells of the own data centre. It is not safe for concurrent use.
type Teller struct {
	base    Message
	made    time.Time
	number  uint64
	rows    []member.Peer // by number
	index   map[fleet.Instance]uint32
	changed map[uint32]bool
}

// NewTeller returns the teller of one incarnation.
func NewTeller(self member.Peer) *Teller {
	return &Teller{base: Message{Base: ID{Source: SourceOf(self)}}}
}

// Tell returns what to send to one that holds the full named known: a difference, and
// the full before it if that is another one.
func (t *Teller) Tell(now time.Time, s State, known ID) []Message {
	if t.base.Base.Serial == 0 || now.Sub(t.made) >= Period(len(s.Models)) {
		t.renew(now, s)
	}
	difference := t.difference(s)
	if known == t.base.Base {
		return []Message{difference}
	}
	return []Message{t.base, difference}
}

// Latest returns the name of the latest full.
func (t *Teller) Latest() ID { return t.base.Base }

// Period is the time between two fulls that hold a number of models.
func Period(models int) time.Duration {
	return min(mostPeriod, time.Duration(models)*eachModel)
}

func (t *Teller) renew(now time.Time, s State) {
	id := ID{Source: t.base.Base.Source, Serial: t.base.Base.Serial + 1}
	t.base = Message{Place: s.Place, Base: id, Models: slices.Clone(s.Models)}
	t.made, t.number = now, 0
	t.rows, t.index, t.changed = nil, map[fleet.Instance]uint32{}, map[uint32]bool{}
	for _, p := range s.Instances {
		t.base.Rows = append(t.base.Rows, Row{Number: t.add(p), Peer: stripped(p)})
	}
}

func (t *Teller) add(p member.Peer) uint32 {
	number := uint32(len(t.rows))
	t.rows = append(t.rows, stripped(p))
	t.index[p.Instance] = number
	return number
}

// stripped leaves out what is told apart for all instances, or not at all.
func stripped(p member.Peer) member.Peer {
	p.Revision, p.Sequence = 0, 0
	return p
}

func (t *Teller) difference(s State) Message {
	t.number++
	m := Message{Place: s.Place, Base: t.base.Base, Number: t.number, Models: t.crossed(s.Models)}
	seen := make(map[uint32]uint64, len(s.Instances))
	for _, p := range s.Instances {
		seen[t.note(p)] = p.Revision
		m.Revision = max(m.Revision, p.Revision)
	}
	for _, number := range slices.Sorted(maps.Keys(t.changed)) {
		if _, ok := seen[number]; ok {
			m.Rows = append(m.Rows, Row{Number: number, Peer: t.rows[number]})
		}
	}
	for number := range uint32(len(t.rows)) {
		revision, ok := seen[number]
		switch {
		case !ok:
			m.Gone = append(m.Gone, number)
		case revision < m.Revision:
			m.Behind = append(m.Behind, Behind{Number: number, Revision: revision})
		}
	}
	return m
}

// note keeps an instance as it stands and returns its row.
func (t *Teller) note(p member.Peer) uint32 {
	number, ok := t.index[p.Instance]
	if !ok {
		number = t.add(p)
		t.changed[number] = true
	}
	if t.rows[number] != stripped(p) {
		t.rows[number] = stripped(p)
		t.changed[number] = true
	}
	return number
}

// crossed returns the sums whose copies went to or from zero since the full.
func (t *Teller) crossed(now []Sum) []Sum {
	var list []Sum
	for _, s := range now {
		was, _ := find(t.base.Models, s.Model)
		if (was.Copies == 0) != (s.Copies == 0) {
			list = append(list, s)
		}
	}
	for _, was := range t.base.Models {
		if _, ok := find(now, was.Model); !ok && was.Copies > 0 {
			list = append(list, Sum{Model: was.Model})
		}
	}
	slices.SortFunc(list, byModel)
	return list
}
