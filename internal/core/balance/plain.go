package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/roster"
)

// ChoosePlain chooses an endpoint of a service without models by the requests that run there and
// how slow it is. It answers endpoints with few slots of which some turn slow for seconds: of the
// requests for which an endpoint would be the first, it gets as many as it can still do, and the
// others go to the next one. The point is drawn from [0, 1). ok is false if there is no endpoint
// without suspicion.
func (b *Balancer) ChoosePlain(now time.Time, a *Request, endpoints []*roster.Endpoint, regions map[fleet.DataCentre]fleet.Region, slowness func(*roster.Endpoint) float64, point float64) (c Choice, ok bool) {
	var all []Choice
	for _, e := range endpoints {
		if !eligible(now, e, a) || e.Suspect(now) {
			continue
		}
		if c, ok := b.predict(now, e, a, nil, regions, expected{running: b.Load(e.ID).Running, slowness: slowness(e)}); ok {
			all = append(all, c)
		}
	}
	if len(all) == 0 {
		return Choice{}, false
	}
	slices.SortStableFunc(all, func(x, y Choice) int { return cmp.Compare(x.Wait, y.Wait) })
	for i := range all {
		share := 1 / all[i].Slowness
		if point < share {
			return all[i], true
		}
		point = (point - share) / (1 - share)
	}
	return slices.MinFunc(all, func(x, y Choice) int { return cmp.Compare(x.Slowness, y.Slowness) }), true
}
