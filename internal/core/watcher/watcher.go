// Package watcher decides which instances watch the store for all others, and when one that the store
// doesn't answer calls it again. Instances describe themselves on heartbeats, so that all decide alike.
// The package has no input, output or clock.
package watcher

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

const (
	// minWatchers is how many instances watch the store: with three, one may be cut off from it and
	// another may die.
	minWatchers = 3
	// minSpreadWatchers is how many do over several regions: with two regions, each still has a second
	// one while the link between them is cut.
	minSpreadWatchers = 4
	// maxCandidates limits the instances of a region that may take over from watchers that have lost
	// the store: when a whole region loses it, each of them may call once before it notices.
	maxCandidates = 6
)

// Instance is an instance as its heartbeats describe it.
type Instance struct {
	Name  fleet.Instance
	Place fleet.Place
	// Reaches is set while the store answers it.
	Reaches bool
}

// Watches reports whether an instance watches the store, beside its live peers. It answers the load of
// a whole fleet that turns to a store which has become slow: where the store answers a candidate, only
// the chosen ones call it, also if it doesn't answer this instance, which follows its peers. Where it
// answers no candidate, one instance of each data centre tries, one that it answers if there is any.
func Watches(self Instance, peers []Instance) bool {
	all := append(slices.Clone(peers), self)
	if chosen := Chosen(all); len(chosen) > 0 {
		return slices.Contains(chosen, self.Name)
	}
	local := slices.DeleteFunc(all, func(i Instance) bool { return i.Place != self.Place })
	if reaching := reachingOf(local); len(reaching) > 0 {
		local = reaching
	}
	return ranked(local)[0].Name == self.Name
}

// Chosen returns which of the live instances watch the store: at least one in each region where the store
// answers a candidate, in different data centres as far as possible. They seldom fail together, and
// whichever region the store stands in, one watches beside it.
func Chosen(live []Instance) []fleet.Instance {
	regions := groups(ranked(live), func(i Instance) string { return string(i.Place.Region) })
	var columns [][]Instance
	for _, region := range regions {
		candidates := interleave(groups(region, func(i Instance) string { return string(i.Place.DataCentre) }), maxCandidates)
		if reaching := reachingOf(candidates); len(reaching) > 0 {
			columns = append(columns, reaching)
		}
	}
	watchers := minWatchers
	if len(columns) > 1 {
		watchers = max(minSpreadWatchers, len(columns))
	}
	var chosen []fleet.Instance
	for _, i := range interleave(columns, watchers) {
		chosen = append(chosen, i.Name)
	}
	return chosen
}

func reachingOf(instances []Instance) []Instance {
	return slices.DeleteFunc(slices.Clone(instances), func(i Instance) bool { return !i.Reaches })
}

// groups returns the instances by key in their order, the groups in the order of their keys' scores.
func groups(instances []Instance, key func(Instance) string) [][]Instance {
	byKey := make(map[string][]Instance)
	for _, i := range instances {
		byKey[key(i)] = append(byKey[key(i)], i)
	}
	keys := slices.SortedFunc(maps.Keys(byKey), func(a, b string) int { return cmp.Or(cmp.Compare(score(a), score(b)), cmp.Compare(a, b)) })
	var list [][]Instance
	for _, k := range keys {
		list = append(list, byKey[k])
	}
	return list
}

// interleave returns the first of each column, then the second of each, and so on, up to a limit.
func interleave(columns [][]Instance, limit int) []Instance {
	var all []Instance
	for row := 0; len(all) < limit; row++ {
		before := len(all)
		for _, c := range columns {
			if row < len(c) && len(all) < limit {
				all = append(all, c[row])
			}
		}
		if len(all) == before {
			break
		}
	}
	return all
}

// ranked sorts instances by the scores of their names, which change for none when others come or go.
func ranked(instances []Instance) []Instance {
	type scored struct {
		score uint64
		at    int
	}
	order := make([]scored, len(instances))
	for at := range instances {
		order[at] = scored{score(string(instances[at].Name)), at}
	}
	slices.SortFunc(order, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(instances[a.at].Name, instances[b.at].Name))
	})
	sorted := make([]Instance, 0, len(instances))
	for _, o := range order {
		sorted = append(sorted, instances[o.at])
	}
	return sorted
}

func score(name string) uint64 { return xxhash.Sum64String("watcher/" + name) }
