package node

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/directory"
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
	want := []directory.AdapterKey{{Model: "a", Adapter: "glove"}, {Model: "a", Adapter: "kit"}, {Model: "b", Adapter: "2"}}
	require.Equal(t, want, readyAdapters(state))
	require.Equal(t, 1, countAdapterLoads(state))
}
