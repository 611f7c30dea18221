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
	// Settled is set if no other version can have begun such a stream, as far as the instance and the
	// store knew when it last had news of the service.
	Settled bool
}

// Verdict is how the version that began a stream was found.
type Verdict string

// The verdicts on a stream that a caller takes up.
const (
	// VerdictRecorded: this instance, a keeper or the store has a record of the stream.
	VerdictRecorded Verdict = "recorded"
	// VerdictSingle: there is no record, and a single version can have begun the stream.
	VerdictSingle Verdict = "single"
	// VerdictUnread: the store must be asked for a record.
	VerdictUnread Verdict = "unread"
	// VerdictUnknown: the stream must not be continued.
	VerdictUnknown Verdict = "unknown"
)

// Decide returns the version that began a stream if this instance or a keeper has a record of it; a
// keeper that didn't answer is nil. That they have none proves nothing: the one that has may be lost,
// and a second version may have appeared that they have no news of.
func Decide(own *Knowledge, keepers []*Knowledge) (fleet.Software, Verdict) {
	for _, k := range append([]*Knowledge{own}, keepers...) {
		if k != nil && k.Known {
			return k.Software, VerdictRecorded
		}
	}
	return "", VerdictUnread
}

// Lookup is what the store has answered.
type Lookup struct {
	// Read is set if it has answered, Found if it has a record of the stream, begun at Software.
	Read, Found bool
	Software    fleet.Software
	// Garbled is set if a record can't be read.
	Garbled bool
	// History is set if the versions that it has on record are complete, and known here.
	History bool
}

// DecideByStore returns the version that began a stream of which neither this instance nor the
// keepers that answered had a record when they were asked. One may have been named here since.
func DecideByStore(own *Knowledge, keepers []*Knowledge, l Lookup) (fleet.Software, Verdict) {
	switch {
	case l.Found:
		return l.Software, VerdictRecorded
	case own.Known:
		return own.Software, VerdictRecorded
	case l.Garbled:
		return "", VerdictUnknown
	}
	versions := own.Versions
	answered, settled := len(keepers) == 0, own.Settled
	for _, k := range keepers {
		if k != nil {
			versions = append(versions[:len(versions):len(versions)], k.Versions...)
			answered, settled = true, settled || k.Settled
		}
	}
	// Without the store, an instance that reaches nobody may have missed a version.
	if l.Read && (l.History || settled) || !l.Read && answered && settled {
		if software, ok := single(versions); ok {
			return software, VerdictSingle
		}
	}
	return "", VerdictUnknown
}

func single(versions []fleet.Software) (fleet.Software, bool) {
	if len(versions) == 0 || slices.ContainsFunc(versions, func(v fleet.Software) bool { return v != versions[0] }) {
		return "", false
	}
	return versions[0], true
}
