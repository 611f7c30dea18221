package origin

import (
	"slices"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Knowledge is what an instance knows of the version that began a stream.
type Knowledge struct {
	// Known is set if the instance has a record of the stream, begun at the version Software.
	Known    bool
	Software fleet.Software
	// Versions are those of the service that may have begun a stream which callers still take up.
	Versions []fleet.Software
	// Settled is set if Versions are complete: no other version can have begun such a stream
	// (Table.Settled).
	Settled bool
}

// Basis is what the version of a stream that a caller takes up was decided by.
type Basis string

// The bases.
const (
	// BasisRecorded: this instance, a keeper or the store has a record of the stream.
	BasisRecorded Basis = "recorded"
	// BasisSingle: there is no record, and a single version can have begun the stream.
	BasisSingle Basis = "single"
	// BasisUnread: the store must be asked for a record.
	BasisUnread Basis = "unread"
	// BasisUnknown: there is none, so the stream must not be continued.
	BasisUnknown Basis = "unknown"
)

// Decide returns the version that began a stream if this instance or a keeper has a record of it; a
// keeper that didn't answer is nil. Without a record the store must be asked: the instances that had
// one may be lost, and the others may not have received that a second version is listed.
func Decide(own *Knowledge, keepers []*Knowledge) (fleet.Software, Basis) {
	for _, k := range append([]*Knowledge{own}, keepers...) {
		if k != nil && k.Known {
			return k.Software, BasisRecorded
		}
	}
	return "", BasisUnread
}

// Lookup is what the store has answered.
type Lookup struct {
	// Read is set if it has answered, Found if it has a record of the stream, begun at Software.
	Read, Found bool
	Software    fleet.Software
	// Garbled is set if a record can't be read.
	Garbled bool
	// History is set if the versions that it has on record are complete, and were read.
	History bool
}

// DecideByStore returns the version that began a stream of which neither this instance nor the
// keepers that answered had a record when they were asked. One may have been named here since.
func DecideByStore(own *Knowledge, keepers []*Knowledge, l Lookup) (fleet.Software, Basis) {
	switch {
	case l.Found:
		return l.Software, BasisRecorded
	case own.Known:
		return own.Software, BasisRecorded
	case l.Garbled:
		return "", BasisUnknown
	}
	versions := own.Versions
	answered, settled := len(keepers) == 0, own.Settled
	for _, k := range keepers {
		if k != nil {
			versions = append(versions[:len(versions):len(versions)], k.Versions...)
			answered, settled = true, settled || k.Settled
		}
	}
	// Without the store, an instance that reaches no keeper may have missed a version.
	if l.Read && (l.History || settled) || !l.Read && answered && settled {
		if software, ok := single(versions); ok {
			return software, BasisSingle
		}
	}
	return "", BasisUnknown
}

func single(versions []fleet.Software) (fleet.Software, bool) {
	if len(versions) == 0 || slices.ContainsFunc(versions, func(v fleet.Software) bool { return v != versions[0] }) {
		return "", false
	}
	return versions[0], true
}
