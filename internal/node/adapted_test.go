package node

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/directory"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/endpoint"
)

func TestAdaptersAreReportedWithTheModels(t *testing.T) {
	state := endpoint.State{Models: []endpoint.Resident{
		{Model: "b", Adapter: "2", State: endpoint.ResidentReady},
		{Model: "a", State: endpoint.ResidentReady},
		{Model: "a", Adapter: "kit", State: endpoint.ResidentReady},
		{Model: "a", Adapter: "glove", State: endpoint.ResidentReady},
		{Model: "a", Adapter: "late", State: endpoint.ResidentLoading},
		{Model: "a", Adapter: "old", State: endpoint.ResidentUnloading},
	}}
	want := []directory.Adapted{{Model: "a", Adapter: "glove"}, {Model: "a", Adapter: "kit"}, {Model: "b", Adapter: "2"}}
	require.Equal(t, want, adapted(state))
	require.Equal(t, 1, loading(state))

	sent := directory.Report{Endpoint: "e1", Models: []fleet.Model{"a"}, Adapters: want, Loading: 1}
	full := fromLoad(toLoad(sent, true))
	require.Equal(t, want, full.Adapters)
	require.Equal(t, 1, full.Loading)
	delta := fromLoad(toLoad(sent, false))
	require.Nil(t, delta.Models)
	require.Nil(t, delta.Adapters, "told only when they change")
	require.False(t, same(sent, directory.Report{Endpoint: "e1"}), "loads in flight are news")
}
