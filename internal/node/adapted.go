package node

import (
	"slices"

	"github.com/chiveramp/chiveramp/internal/core/directory"
	"github.com/chiveramp/chiveramp/internal/endpoint"
)

// readyAdapters returns the adapters that are loaded and ready for requests, sorted.
func readyAdapters(state endpoint.State) []directory.AdapterKey {
	var list []directory.AdapterKey
	for _, r := range state.Models {
		if r.State == endpoint.ResidentReady && r.Adapter != "" {
			list = append(list, directory.AdapterKey{Model: r.Model, Adapter: r.Adapter})
		}
	}
	slices.SortFunc(list, directory.AdapterKey.Compare)
	return list
}

// countAdapterLoads counts the adapter loads in flight.
func countAdapterLoads(state endpoint.State) int {
	count := 0
	for _, r := range state.Models {
		if r.State == endpoint.ResidentLoading && r.Adapter != "" {
			count++
		}
	}
	return count
}
