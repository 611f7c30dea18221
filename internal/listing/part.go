package listing

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

const (
	// stepsKept is how many changes of a part can be told as differences.
	stepsKept = 32
	// indexBits of a serial hold the store's index, those above count its restores.
	indexBits = 48
	indexMask = 1<<indexBits - 1
)

// part is one service's part of the platform's list.
type part struct {
	// serial names a state of the part alike at every instance: the store's index at
	// the last change, below the number of times that the index fell.
	serial uint64
	// confirmed is the serial up to which the own watch found the part unchanged.
	confirmed uint64
	rows      map[string]*peerpb.Listed
	digest    uint64
	steps     []step // oldest first, each from where the one before it ended
	// whole says that a difference did not fit, so that the next pull asks for all.
	whole bool
}

// step is one change of a part.
type step struct {
	before  uint64
	changed []*peerpb.Listed
	gone    []string
}

// change returns what leads from the part's rows to the given ones.
func (p *part) change(rows map[string]*peerpb.Listed) step {
	s := step{before: p.serial}
	for name, r := range rows {
		if known, ok := p.rows[name]; !ok || !proto.Equal(known, r) {
			s.changed = append(s.changed, r)
		}
	}
	for name := range p.rows {
		if _, ok := rows[name]; !ok {
			s.gone = append(s.gone, name)
		}
	}
	return s
}

func (s step) empty() bool {
	return len(s.changed) == 0 && len(s.gone) == 0
}

// apply takes a change that ends at a serial.
func (p *part) apply(s step, serial uint64) {
	for _, r := range s.changed {
		p.rows[r.Name] = r
	}
	for _, name := range s.gone {
		delete(p.rows, name)
	}
	p.digest = digest(p.rows)
	if p.serial > 0 {
		p.steps = append(p.steps, s)
	}
	if len(p.steps) > stepsKept {
		p.steps = slices.Delete(p.steps, 0, 1)
	}
	p.serial, p.whole = serial, false
}

// since returns the change from a known state to the present one, false when that
// state is not known here.
func (p *part) since(base *peerpb.ListBase) (step, bool) {
	if base.GetSerial() > 0 && base.Digest == p.digest {
		return step{before: base.Serial}, true
	}
	at := slices.IndexFunc(p.steps, func(s step) bool { return s.before == base.GetSerial() })
	if at < 0 {
		return step{}, false
	}
	touched := make(map[string]bool)
	for _, s := range p.steps[at:] {
		for _, r := range s.changed {
			touched[r.Name] = true
		}
		for _, name := range s.gone {
			touched[name] = true
		}
	}
	return p.touched(base.Serial, touched), true
}

// touched returns a change that brings the named rows to their present state.
func (p *part) touched(before uint64, names map[string]bool) step {
	s := step{before: before}
	for name := range names {
		if r, ok := p.rows[name]; ok {
			s.changed = append(s.changed, r)
		} else {
			s.gone = append(s.gone, name)
		}
	}
	return s
}

// after returns the rows as they are after a change.
func (p *part) after(s step) map[string]*peerpb.Listed {
	rows := make(map[string]*peerpb.Listed, len(p.rows)+len(s.changed))
	for name, r := range p.rows {
		rows[name] = r
	}
	for _, r := range s.changed {
		rows[r.Name] = r
	}
	for _, name := range s.gone {
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
