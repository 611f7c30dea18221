package listing

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

const (
	// maxHistory is how many changes of a part can be told as differences.
	maxHistory = 32
	// indexBits of a serial hold the store's index, those above count its restores.
	indexBits = 48
	indexMask = 1<<indexBits - 1
)

// serviceList is one service's part of the platform's list.
type serviceList struct {
	// serial names a state of the part alike at every instance: the store's index at
	// the last change, below the number of times that the index fell.
	serial uint64
	// confirmedSerial is the serial up to which the own watch found the part unchanged.
	confirmedSerial uint64
	rows            map[string]*peerpb.Listed
	digest          uint64
	history         []change // oldest first, each from where the one before it ended
	// needsFull says that a difference did not fit, so that the next pull asks for all.
	needsFull bool
}

// change is one change of a part.
type change struct {
	base    uint64
	changed []*peerpb.Listed
	removed []string
}

// diff returns what leads from the part's rows to the given ones.
func (p *serviceList) diff(rows map[string]*peerpb.Listed) change {
	s := change{base: p.serial}
	for name, r := range rows {
		if old, ok := p.rows[name]; !ok || !proto.Equal(old, r) {
			s.changed = append(s.changed, r)
		}
	}
	for name := range p.rows {
		if _, ok := rows[name]; !ok {
			s.removed = append(s.removed, name)
		}
	}
	return s
}

func (s change) empty() bool {
	return len(s.changed) == 0 && len(s.removed) == 0
}

// apply takes a change that ends at a serial.
func (p *serviceList) apply(s change, serial uint64) {
	for _, r := range s.changed {
		p.rows[r.Name] = r
	}
	for _, name := range s.removed {
		delete(p.rows, name)
	}
	p.digest = digest(p.rows)
	if p.serial > 0 {
		p.history = append(p.history, s)
	}
	if len(p.history) > maxHistory {
		p.history = slices.Delete(p.history, 0, 1)
	}
	p.serial, p.needsFull = serial, false
}

// changeSince returns the change from a known state to the present one, false when that
// state is not known here.
func (p *serviceList) changeSince(base *peerpb.ListBase) (change, bool) {
	if base.GetSerial() > 0 && base.Digest == p.digest {
		return change{base: base.Serial}, true
	}
	first := slices.IndexFunc(p.history, func(s change) bool { return s.base == base.GetSerial() })
	if first < 0 {
		return change{}, false
	}
	names := make(map[string]bool)
	for _, s := range p.history[first:] {
		for _, r := range s.changed {
			names[r.Name] = true
		}
		for _, name := range s.removed {
			names[name] = true
		}
	}
	return p.changeOf(base.Serial, names), true
}

// changeOf returns a change that brings the named rows to their present state.
func (p *serviceList) changeOf(baseSerial uint64, names map[string]bool) change {
	s := change{base: baseSerial}
	for name := range names {
		if r, ok := p.rows[name]; ok {
			s.changed = append(s.changed, r)
		} else {
			s.removed = append(s.removed, name)
		}
	}
	return s
}

// rowsAfter returns the rows as they are after a change.
func (p *serviceList) rowsAfter(s change) map[string]*peerpb.Listed {
	rows := make(map[string]*peerpb.Listed, len(p.rows)+len(s.changed))
	for name, r := range p.rows {
		rows[name] = r
	}
	for _, r := range s.changed {
		rows[r.Name] = r
	}
	for _, name := range s.removed {
		delete(rows, name)
	}
	return rows
}

// digest is the sum of the rows' hashes, so that their order doesn't matter.
func digest(rows map[string]*peerpb.Listed) uint64 {
	var sum uint64
	for _, r := range rows {
		raw, _ := proto.MarshalOptions{Deterministic: true}.Marshal(r)
		sum += xxhash.Sum64(raw)
	}
	return sum
}

func byName(rows []*peerpb.Listed) map[string]*peerpb.Listed {
	named := make(map[string]*peerpb.Listed, len(rows))
	for _, r := range rows {
		named[r.Name] = r
	}
	return named
}
