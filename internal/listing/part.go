package listing

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

const (
	// maxHistory is the number of recent changes from which deltas can be built.
	maxHistory = 32
	// indexBits is the number of low bits of a serial that hold the store's index. The high
	// bits hold the epoch, which counts how often the store was restored.
	indexBits = 48
	indexMask = 1<<indexBits - 1
)

// serviceList is the recorded list of one service.
type serviceList struct {
	// serial identifies a state of the list, the same at every instance: the store's index at
	// the last change in the low bits, and the epoch in the high bits.
	serial uint64
	// confirmedSerial is the serial up to which this instance's own watch found no change.
	confirmedSerial uint64
	rows            map[string]*peerpb.Listed
	digest          uint64
	history         []change // oldest first, each based on the result of the one before
	// needsSnapshot is set if a received state had the wrong digest; the next pull then requests
	// a snapshot.
	needsSnapshot bool
}

// change is one change of a service's rows, starting at fromSerial.
type change struct {
	fromSerial uint64
	changed    []*peerpb.Listed
	removed    []string
}

// diff returns the change from the recorded rows to the given ones.
func (p *serviceList) diff(rows map[string]*peerpb.Listed) change {
	s := change{fromSerial: p.serial}
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

// apply applies a change and sets the resulting serial.
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
	p.serial, p.needsSnapshot = serial, false
}

// changeSince returns the change from a base to the current state, or false if the base is
// not in the recorded history. The change is empty if the digests are equal.
func (p *serviceList) changeSince(base *peerpb.ListBase) (change, bool) {
	if base.GetSerial() > 0 && base.Digest == p.digest {
		return change{fromSerial: base.Serial}, true
	}
	first := slices.IndexFunc(p.history, func(s change) bool { return s.fromSerial == base.GetSerial() })
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

// changeOf returns the change that sets the named rows to their current state.
func (p *serviceList) changeOf(fromSerial uint64, names map[string]bool) change {
	s := change{fromSerial: fromSerial}
	for name := range names {
		if r, ok := p.rows[name]; ok {
			s.changed = append(s.changed, r)
		} else {
			s.removed = append(s.removed, name)
		}
	}
	return s
}

// rowsAfter returns a copy of the rows with a change applied.
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

// digest returns the sum of the rows' hashes, which does not depend on their order.
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
