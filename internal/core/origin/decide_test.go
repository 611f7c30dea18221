package origin_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/origin"
)

func knows(recorded fleet.Software, versions ...fleet.Software) *origin.Knowledge {
	return &origin.Knowledge{Known: recorded != "", Software: recorded, Versions: versions}
}

func settled(versions ...fleet.Software) *origin.Knowledge {
	return &origin.Knowledge{Versions: versions, Settled: true}
}

// A stream of unknown origin goes on only if a single version may have begun it, as far as those know
// that have observed the service for long enough, and if one that might know of another has answered.
func TestUnknownOriginsAreRefusedBesideOtherVersions(t *testing.T) {
	read := origin.Lookup{Read: true, History: true}
	tests := []struct {
		name    string
		own     *origin.Knowledge
		keepers []*origin.Knowledge
		store   origin.Lookup // if it is asked
		want    fleet.Software
		verdict origin.Verdict
		asked   bool
	}{
		{name: "known here", own: knows("1", "1", "2"), want: "1", verdict: origin.VerdictRecorded},
		{name: "known to a keeper", own: settled("1", "2"), keepers: []*origin.Knowledge{nil, settled("1", "2"), knows("2", "1", "2")}, want: "2", verdict: origin.VerdictRecorded},
		{name: "known to the store", own: knows("", "2"), keepers: []*origin.Knowledge{knows("", "2")}, store: origin.Lookup{Read: true, Found: true, Software: "1"}, asked: true, want: "1", verdict: origin.VerdictRecorded},
		{name: "lost, two versions", own: settled("1", "2"), keepers: []*origin.Knowledge{settled("1", "2")}, store: read, asked: true, verdict: origin.VerdictUnknown},
		{name: "a keeper knows of another version", own: settled("1"), keepers: []*origin.Knowledge{settled("1", "2")}, store: read, asked: true, verdict: origin.VerdictUnknown},
		{name: "one version", own: settled("1"), keepers: []*origin.Knowledge{nil, settled("1")}, store: read, asked: true, want: "1", verdict: origin.VerdictSingle},
		{name: "one version, a newer one that is not known here yet", own: settled("1"), keepers: []*origin.Knowledge{settled("1")}, store: origin.Lookup{Read: true, Found: true, Software: "2"}, asked: true, want: "2", verdict: origin.VerdictRecorded},
		{name: "one version, the store is away", own: settled("1"), keepers: []*origin.Knowledge{settled("1")}, asked: true, want: "1", verdict: origin.VerdictSingle},
		{name: "one version, no versions on record", own: settled("1"), keepers: []*origin.Knowledge{settled("1")}, store: origin.Lookup{Read: true}, asked: true, want: "1", verdict: origin.VerdictSingle},
		{name: "one version, cut off", own: settled("1"), keepers: []*origin.Knowledge{nil, nil}, asked: true, verdict: origin.VerdictUnknown},
		{name: "one version, no keeper answers, but the store does", own: settled("1"), keepers: []*origin.Knowledge{nil, nil}, store: read, asked: true, want: "1", verdict: origin.VerdictSingle},
		{name: "one version, alone", own: settled("1"), asked: true, want: "1", verdict: origin.VerdictSingle},
		{name: "one version, the keepers have just started, the store is away", own: settled("1"), keepers: []*origin.Knowledge{knows("", "1")}, asked: true, want: "1", verdict: origin.VerdictSingle},
		{name: "one version, just started, a keeper has not, the store is away", own: knows("", "1"), keepers: []*origin.Knowledge{settled("1")}, asked: true, want: "1", verdict: origin.VerdictSingle},
		{name: "one version listed, all have just started", own: knows("", "2"), keepers: []*origin.Knowledge{knows("", "2")}, asked: true, verdict: origin.VerdictUnknown},
		{name: "one version listed, just started and alone", own: knows("", "2"), asked: true, verdict: origin.VerdictUnknown},
		{name: "one version listed, all have just started, history not read", own: knows("", "2"), keepers: []*origin.Knowledge{knows("", "2")}, store: origin.Lookup{Read: true}, asked: true, verdict: origin.VerdictUnknown},
		{name: "one version ever, all have just started", own: knows("", "2"), keepers: []*origin.Knowledge{knows("", "2")}, store: read, asked: true, want: "2", verdict: origin.VerdictSingle},
		{name: "an older version on record, all have just started", own: knows("", "1", "2"), keepers: []*origin.Knowledge{knows("", "2")}, store: read, asked: true, verdict: origin.VerdictUnknown},
		{name: "one version, its record can't be read", own: settled("1"), keepers: []*origin.Knowledge{settled("1")}, store: origin.Lookup{Garbled: true}, asked: true, verdict: origin.VerdictUnknown},
		{name: "no endpoints listed", own: settled(), store: read, asked: true, verdict: origin.VerdictUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			software, verdict := origin.Decide(tt.own, tt.keepers)
			assert.Equal(t, tt.asked, verdict == origin.VerdictUnread)
			if tt.asked {
				software, verdict = origin.DecideByStore(tt.own, tt.keepers, tt.store)
			}
			assert.Equal(t, tt.verdict, verdict)
			assert.Equal(t, tt.want, software)
		})
	}
}

// A stream that another instance names here while the store is asked goes on at its version.
func TestStreamsNamedWhileTheStoreIsAskedGoOn(t *testing.T) {
	for _, l := range []origin.Lookup{{}, {Read: true, History: true}} {
		software, verdict := origin.DecideByStore(knows("1", "1", "2"), nil, l)
		assert.Equal(t, origin.VerdictRecorded, verdict)
		assert.Equal(t, fleet.Software("1"), software)
	}
}
