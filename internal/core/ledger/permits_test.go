package ledger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var limits = Limits{Rate: 2, MaxInFlight: 3}

func TestPermitsEnforceRateAndMaxInFlight(t *testing.T) {
	start := time.UnixMilli(1_000_000)
	var p Permits
	tests := []struct {
		after  time.Duration
		order  string
		refuse bool
	}{
		{0, "o1", false},
		{499 * time.Millisecond, "o2", true}, // rate
		{500 * time.Millisecond, "o2", false},
		{time.Second, "o3", false},
		{2 * time.Second, "o4", true}, // number in flight
	}
	for _, tt := range tests {
		next, err := p.Acquire(start.Add(tt.after), limits, Permit{Order: tt.order, DataCentre: "d1"})
		require.Equal(t, tt.refuse, err != nil, "%s after %s", tt.order, tt.after)
		p = next
	}
	data, err := p.Encode()
	require.NoError(t, err)
	decoded, err := DecodePermits(data)
	require.NoError(t, err)
	require.Equal(t, p.Held(), decoded.Held())
	_, err = decoded.Acquire(start.Add(time.Second+499*time.Millisecond), Limits{Rate: 2}, Permit{Order: "o5"})
	require.ErrorIs(t, err, ErrNoPermit)
}

func TestReconcileReleasesOnlyOwnPermits(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	p, err := Permits{}.Acquire(now, Limits{}, Permit{Order: "o1", DataCentre: "d1"})
	require.NoError(t, err)
	p, err = p.Acquire(now, Limits{}, Permit{Order: "o2", DataCentre: "d2"})
	require.NoError(t, err)
	none := func(string) bool { return false }
	p, changed := p.Reconcile("d1", none, none)
	require.True(t, changed)
	require.Equal(t, []Permit{{Order: "o2", DataCentre: "d2"}}, p.Held())
}

func TestLostLoadsLeaveOnePermitFree(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	var p Permits
	all := func(string) bool { return true }
	for _, order := range []string{"o1", "o2", "o3"} {
		next, err := p.Acquire(now, Limits{MaxInFlight: 3}, Permit{Order: order, DataCentre: "d1"})
		require.NoError(t, err)
		p = next
	}
	_, err := p.Acquire(now, Limits{MaxInFlight: 3}, Permit{Order: "o4"})
	require.ErrorIs(t, err, ErrNoPermit)
	p, _ = p.Reconcile("d1", all, all)
	_, err = p.Acquire(now, Limits{MaxInFlight: 3}, Permit{Order: "o4"})
	require.NoError(t, err)
}

// TestRecordFromFastClockDoesNotBlockLoads guards against a stored time in the future that
// would refuse every load until then. An instance whose wall clock is an hour ahead writes
// such a record.
func TestRecordFromFastClockDoesNotBlockLoads(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	p, err := Permits{}.Acquire(now.Add(time.Hour), limits, Permit{Order: "o1"})
	require.NoError(t, err)
	p, err = p.Acquire(now, limits, Permit{Order: "o2"})
	require.NoError(t, err)
	_, err = p.Acquire(now.Add(499*time.Millisecond), limits, Permit{Order: "o3"})
	require.ErrorIs(t, err, ErrNoPermit)
	_, err = p.Acquire(now.Add(500*time.Millisecond), limits, Permit{Order: "o3"})
	require.NoError(t, err)
}
