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
func (l *serviceList) diff(rows map[string]*peerpb.Listed) change {
	s := change{fromSerial: l.serial}
	for name, r := range rows {
		if old, ok := l.rows[name]; !ok || !proto.Equal(old, r) {
			s.changed = append(s.changed, r)
		}
	}
	for name := range l.rows {
		if _, ok := rows[name]; !ok {
			s.removed = append(s.removed, name)
		}
	}
	return s
}

func (c change) empty() bool {
	return len(c.changed) == 0 && len(c.removed) == 0
}

// apply applies a change and sets the resulting serial.
func (l *serviceList) apply(s change, serial uint64) {
	for _, r := range s.changed {
		l.rows[r.Name] = r
	}
	for _, name := range s.removed {
		delete(l.rows, name)
	}
	l.digest = digest(l.rows)
	if l.serial > 0 {
		l.history = append(l.history, s)
	}
	if len(l.history) > maxHistory {
		l.history = slices.Delete(l.history, 0, 1)
	}
	l.serial, l.needsSnapshot = serial, false
}

// changeSince returns the change from a base to the current state, or false if the base is
// not in the recorded history. The change is empty if the digests are equal.
func (l *serviceList) changeSince(base *peerpb.ListBase) (change, bool) {
	if base.GetSerial() > 0 && base.Digest == l.digest {
		return change{fromSerial: base.Serial}, true
	}
	first := slices.IndexFunc(l.history, func(s change) bool { return s.fromSerial == base.GetSerial() })
	if first < 0 {
		return change{}, false
	}
	names := make(map[string]bool)
	for _, s := range l.history[first:] {
		for _, r := range s.changed {
			names[r.Name] = true
		}
		for _, name := range s.removed {
			names[name] = true
		}
	}
	return l.changeOf(base.Serial, names), true
}

// changeOf returns the change that sets the named rows to their current state.
func (l *serviceList) changeOf(fromSerial uint64, names map[string]bool) change {
	s := change{fromSerial: fromSerial}
	for name := range names {
		if r, ok := l.rows[name]; ok {
			s.changed = append(s.changed, r)
		} else {
			s.removed = append(s.removed, name)
		}
	}
	return s
}

// rowsAfter returns a copy of the rows with a change applied.
func (l *serviceList) rowsAfter(s change) map[string]*peerpb.Listed {
	rows := make(map[string]*peerpb.Listed, len(l.rows)+len(s.changed))
	for name, r := range l.rows {
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
