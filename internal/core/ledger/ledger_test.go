package ledger

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

const gib = int64(1) << 30

func load(id string, fence fleet.Fence, model fleet.Model, bytes int64) Order {
	return Order{ID: id, Fence: fence, Kind: KindLoad, Model: model, Bytes: bytes}
}

func unload(id string, fence fleet.Fence, model fleet.Model) Order {
	return Order{ID: id, Fence: fence, Kind: KindUnload, Model: model}
}

func state(checks bool, fence fleet.Fence, residents ...Resident) State {
	return State{Incarnation: "i1", Fence: fence, ChecksFence: checks, Memory: 24 * gib, Models: residents}
}

func ready(model fleet.Model, bytes int64) Resident {
	return Resident{Model: model, Bytes: bytes, State: PhaseReady}
}

func TestReserveNeedsObservedState(t *testing.T) {
	l := New("e1")
	require.ErrorIs(t, l.Reserve(load("o1", 1, "a", gib)), ErrNotObserved)
}

func TestReserveChargesVersionsAdaptersAndKVCache(t *testing.T) {
	l := New("e1")
	s := state(false, 0, ready("a@1", 10*gib))
	s.Used = 12 * gib // the KV cache uses more than was reserved for it
	l.Observe(s)
	require.Equal(t, 12*gib, l.FreeBytes())
	require.NoError(t, l.Reserve(load("o1", 1, "a@2", 10*gib)))
	require.ErrorIs(t, l.Reserve(load("o2", 1, "b", 3*gib)), ErrInsufficientMemory)
	adapter := Order{ID: "o3", Fence: 1, Kind: KindLoadAdapter, Model: "a@1", Adapter: "x", Bytes: 2 * gib}
	require.NoError(t, l.Reserve(adapter))
	require.Zero(t, l.FreeBytes())
}

// TestMemoryChargedForLostOrder guards against overcommitted memory after an order that got
// no answer. Its memory may be released only if the endpoint refuses old fences and has
// accepted a newer one; endpoints that ignore fences may still run the order later.
func TestMemoryChargedForLostOrder(t *testing.T) {
	tests := []struct {
		name     string
		checks   bool
		fence    fleet.Fence // in the state read afterwards
		reported []Resident
		opts     []Option
		free     int64
	}{
		{"endpoint checks fences, newer fence accepted", true, 2, nil, nil, 24 * gib},
		{"endpoint checks fences, no newer fence", true, 1, nil, nil, 14 * gib},
		{"endpoint checks fences, newer fence accepted after the load", true, 2, []Resident{ready("a", 10*gib)}, nil, 14 * gib},
		{"endpoint ignores fences, newer fence accepted", false, 2, nil, nil, 14 * gib},
		{"endpoint ignores fences, model resident", false, 1, []Resident{ready("a", 10*gib)}, nil, 14 * gib},
		{"without reservation", false, 1, nil, []Option{WithoutReservation()}, 24 * gib},
		{"without fence check", false, 2, nil, []Option{WithoutFenceCheck()}, 24 * gib},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := New("e1", tt.opts...)
			l.Observe(state(tt.checks, 0))
			require.NoError(t, l.Reserve(load("o1", 1, "a", 10*gib)))
			l.MarkLost("o1")
			l.Observe(state(tt.checks, tt.fence, tt.reported...))
			require.Equal(t, tt.free, l.FreeBytes())
		})
	}
}

func TestNewIncarnationReleasesMemory(t *testing.T) {
	l := New("e1")
	l.Observe(state(false, 0))
	require.NoError(t, l.Reserve(load("o1", 1, "a", 10*gib)))
	l.Observe(State{Incarnation: "i2", Memory: 24 * gib})
	require.Empty(t, l.PendingOrders())
	require.Equal(t, 24*gib, l.FreeBytes())
}

func TestUnloadFreesMemoryOnlyWhenObserved(t *testing.T) {
	for _, off := range []bool{false, true} {
		var opts []Option
		if off {
			opts = append(opts, WithoutObservedUnload())
		}
		l := New("e1", opts...)
		l.Observe(state(false, 0, ready("a", 20*gib)))
		require.NoError(t, l.Reserve(unload("o1", 1, "a")))
		l.MarkAccepted("o1")
		err := l.Reserve(load("o2", 1, "b", 20*gib))
		require.Equal(t, off, err == nil, "without observed unload: %v", off)
		if off {
			continue
		}
		require.ErrorIs(t, err, ErrInsufficientMemory)
		l.Observe(state(false, 1, Resident{Model: "a", Bytes: 20 * gib, State: PhaseUnloading}))
		require.ErrorIs(t, l.Reserve(load("o2", 1, "b", 20*gib)), ErrInsufficientMemory)
		l.Observe(state(false, 1))
		require.NoError(t, l.Reserve(load("o2", 1, "b", 20*gib)))
	}
}

func TestPendingUnloadBlocksLoadOfSameModel(t *testing.T) {
	l := New("e1")
	l.Observe(state(false, 0, ready("a", 20*gib)))
	require.NoError(t, l.Reserve(unload("o1", 1, "a")))
	require.NoError(t, l.Reserve(unload("o2", 1, "a")))
	l.Observe(state(false, 0))
	require.Len(t, l.PendingOrders(), 1)
	require.ErrorIs(t, l.Reserve(load("o3", 1, "a", 20*gib)), ErrOrderInFlight)
	require.NoError(t, l.Reserve(load("o4", 1, "b", 24*gib)))
}

func TestFailedLoadIsFreedByNextState(t *testing.T) {
	l := New("e1")
	l.Observe(state(false, 0))
	require.NoError(t, l.Reserve(load("o1", 1, "a", 20*gib)))
	l.MarkAccepted("o1")
	require.Equal(t, 4*gib, l.FreeBytes())
	l.Observe(state(false, 1))
	require.Equal(t, 24*gib, l.FreeBytes())
}

func TestLedgerEncodeDecode(t *testing.T) {
	l := New("e1")
	l.Observe(state(false, 0, ready("a", 10*gib)))
	require.NoError(t, l.Reserve(load("o1", 1, "b", 10*gib)))
	data, err := l.Encode()
	require.NoError(t, err)
	decoded, err := Decode("e1", data)
	require.NoError(t, err)
	require.Equal(t, l.Allocations(), decoded.Allocations())
	require.ErrorIs(t, decoded.Reserve(load("o2", 2, "c", 1)), ErrNotObserved)
	encodedAgain, err := decoded.Encode()
	require.NoError(t, err)
	require.Equal(t, data, encodedAgain)
	_, err = Decode("e2", data)
	require.ErrorIs(t, err, ErrSchema)
}

func TestResidenceRemoveKeepsRequiredCopies(t *testing.T) {
	all := func(Copy) bool { return true }
	full := NewResidence("m").
		Add(Copy{Endpoint: "e1", DataCentre: "d1"}).
		Add(Copy{Endpoint: "e2", DataCentre: "d1"}).
		Add(Copy{Endpoint: "e3", DataCentre: "d2"})
	tests := []struct {
		name    string
		remove  fleet.Endpoint
		centres int
		counts  func(Copy) bool
		fail    bool
	}{
		{"one of two in a data centre", "e1", 2, all, false},
		{"the only one in a data centre", "e3", 2, all, true},
		{"narrow", "e3", 1, all, false},
		{"other copies don't count", "e1", 1, func(c Copy) bool { return c.Endpoint == "e1" }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			left, err := full.Remove(tt.remove, tt.centres, tt.counts)
			require.Equal(t, tt.fail, err != nil)
			require.Equal(t, tt.fail, left.Has(tt.remove))
			data, err := left.Encode()
			require.NoError(t, err)
			decoded, err := DecodeResidence(data)
			require.NoError(t, err)
			require.Equal(t, left, decoded)
		})
	}
}
