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
	// Settled is set if the instance has observed the service for so long that no other version can
	// have begun such a stream.
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

// Decide returns the version that began a stream, as far as this instance and the keepers know;
// a keeper that didn't answer is nil. Versions that are merely not listed prove nothing: an instance
// that has just started, or was cut off, may have missed one.
func Decide(own *Knowledge, keepers []*Knowledge) (fleet.Software, Verdict) {
	versions := own.Versions
	confirmed := false
	for _, k := range append([]*Knowledge{own}, keepers...) {
		if k == nil {
			continue
		}
		if k.Known {
			return k.Software, VerdictRecorded
		}
		versions = append(versions[:len(versions):len(versions)], k.Versions...)
		confirmed = confirmed || k != own && k.Settled
	}
	if own.Settled && confirmed {
		if software, ok := single(versions); ok {
			return software, VerdictSingle
		}
	}
	return "", VerdictUnread
}

// Lookup is what the store has answered.
type Lookup struct {
	// Read is set if it has answered, Found if it has a record of the stream, begun at Software.
	Read, Found bool
	Software    fleet.Software
	// History is set if this instance has read the versions that have served before.
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
	if l.Read && l.History || !l.Read && answered && settled {
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
