package node

import (
	"slices"

	"github.com/chiveramp/chiveramp/internal/core/directory"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/endpoint"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// adapted returns the adapters that can be asked for now, in order.
func adapted(state endpoint.State) []directory.Adapted {
	var list []directory.Adapted
	for _, r := range state.Models {
		if r.State == endpoint.ResidentReady && r.Adapter != "" {
			list = append(list, directory.Adapted{Model: r.Model, Adapter: r.Adapter})
		}
	}
	slices.SortFunc(list, directory.Adapted.Compare)
	return list
}

// loading counts the adapter loads in flight.
func loading(state endpoint.State) int {
	count := 0
	for _, r := range state.Models {
		if r.State == endpoint.ResidentLoading && r.Adapter != "" {
			count++
		}
	}
	return count
}

// toAdapted groups adapters, which are in order, by model.
func toAdapted(list []directory.Adapted) []*peerpb.Adapted {
	var groups []*peerpb.Adapted
	for _, a := range list {
		if len(groups) == 0 || groups[len(groups)-1].Model != string(a.Model) {
			groups = append(groups, &peerpb.Adapted{Model: string(a.Model)})
		}
		last := groups[len(groups)-1]
		last.Adapters = append(last.Adapters, string(a.Adapter))
	}
	return groups
}

func fromAdapted(groups []*peerpb.Adapted) []directory.Adapted {
	var list []directory.Adapted
	for _, g := range groups {
		for _, name := range g.Adapters {
			list = append(list, directory.Adapted{Model: fleet.Model(g.Model), Adapter: fleet.Adapter(name)})
		}
	}
	slices.SortFunc(list, directory.Adapted.Compare)
	return list
}
