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

// A stream without a record is continued only if a single version may have begun it, by the versions on
// record in the store or by what instances that have observed the service for long enough have seen.
func TestUnknownOriginsAreRefusedBesideOtherVersions(t *testing.T) {
	read := origin.Lookup{Read: true, History: true}
	tests := []struct {
		name    string
		own     *origin.Knowledge
		keepers []*origin.Knowledge
		store   origin.Lookup // if it is asked
		want    fleet.Software
		basis   origin.Basis
		asked   bool
	}{
		{name: "known here", own: knows("1", "1", "2"), want: "1", basis: origin.BasisRecorded},
		{name: "known to a keeper", own: settled("1", "2"), keepers: []*origin.Knowledge{nil, settled("1", "2"), knows("2", "1", "2")}, want: "2", basis: origin.BasisRecorded},
		{name: "known to the store", own: knows("", "2"), keepers: []*origin.Knowledge{knows("", "2")}, store: origin.Lookup{Read: true, Found: true, Software: "1"}, asked: true, want: "1", basis: origin.BasisRecorded},
		{name: "lost, two versions", own: settled("1", "2"), keepers: []*origin.Knowledge{settled("1", "2")}, store: read, asked: true, basis: origin.BasisUnknown},
		{name: "a keeper knows of another version", own: settled("1"), keepers: []*origin.Knowledge{settled("1", "2")}, store: read, asked: true, basis: origin.BasisUnknown},
		{name: "one version", own: settled("1"), keepers: []*origin.Knowledge{nil, settled("1")}, store: read, asked: true, want: "1", basis: origin.BasisSingle},
		{name: "one version, a newer one that is not known here yet", own: settled("1"), keepers: []*origin.Knowledge{settled("1")}, store: origin.Lookup{Read: true, Found: true, Software: "2"}, asked: true, want: "2", basis: origin.BasisRecorded},
		{name: "one version, the store is away", own: settled("1"), keepers: []*origin.Knowledge{settled("1")}, asked: true, want: "1", basis: origin.BasisSingle},
		{name: "one version, no versions on record", own: settled("1"), keepers: []*origin.Knowledge{settled("1")}, store: origin.Lookup{Read: true}, asked: true, want: "1", basis: origin.BasisSingle},
		{name: "one version, cut off", own: settled("1"), keepers: []*origin.Knowledge{nil, nil}, asked: true, basis: origin.BasisUnknown},
		{name: "one version, no keeper answers, but the store does", own: settled("1"), keepers: []*origin.Knowledge{nil, nil}, store: read, asked: true, want: "1", basis: origin.BasisSingle},
		{name: "one version, alone", own: settled("1"), asked: true, want: "1", basis: origin.BasisSingle},
		{name: "one version, the keepers have just started, the store is away", own: settled("1"), keepers: []*origin.Knowledge{knows("", "1")}, asked: true, want: "1", basis: origin.BasisSingle},
		{name: "one version, just started, a keeper has not, the store is away", own: knows("", "1"), keepers: []*origin.Knowledge{settled("1")}, asked: true, want: "1", basis: origin.BasisSingle},
		{name: "one version listed, all have just started", own: knows("", "2"), keepers: []*origin.Knowledge{knows("", "2")}, asked: true, basis: origin.BasisUnknown},
		{name: "one version listed, just started and alone", own: knows("", "2"), asked: true, basis: origin.BasisUnknown},
		{name: "one version listed, all have just started, history not read", own: knows("", "2"), keepers: []*origin.Knowledge{knows("", "2")}, store: origin.Lookup{Read: true}, asked: true, basis: origin.BasisUnknown},
		{name: "one version ever, all have just started", own: knows("", "2"), keepers: []*origin.Knowledge{knows("", "2")}, store: read, asked: true, want: "2", basis: origin.BasisSingle},
		{name: "an older version on record, all have just started", own: knows("", "1", "2"), keepers: []*origin.Knowledge{knows("", "2")}, store: read, asked: true, basis: origin.BasisUnknown},
		{name: "one version, its record can't be read", own: settled("1"), keepers: []*origin.Knowledge{settled("1")}, store: origin.Lookup{Garbled: true}, asked: true, basis: origin.BasisUnknown},
		{name: "no endpoints listed", own: settled(), store: read, asked: true, basis: origin.BasisUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			software, basis := origin.Decide(tt.own, tt.keepers)
			assert.Equal(t, tt.asked, basis == origin.BasisUnread)
			if tt.asked {
				software, basis = origin.DecideByStore(tt.own, tt.keepers, tt.store)
			}
			assert.Equal(t, tt.basis, basis)
			assert.Equal(t, tt.want, software)
		})
	}
}

// A stream that another instance names here while the store is asked goes on at its version.
func TestStreamsNamedWhileTheStoreIsAskedGoOn(t *testing.T) {
	for _, l := range []origin.Lookup{{}, {Read: true, History: true}} {
		software, basis := origin.DecideByStore(knows("1", "1", "2"), nil, l)
		assert.Equal(t, origin.BasisRecorded, basis)
		assert.Equal(t, fleet.Software("1"), software)
	}
}
