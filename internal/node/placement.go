package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/directory"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/ledger"
	"github.com/chiveramp/chiveramp/internal/endpoint"
	"github.com/chiveramp/chiveramp/internal/placer"
	"github.com/chiveramp/chiveramp/pkg/profile"
)

const placerInterval = time.Second

// newPlacer returns the placer for the local data centre. It issues orders only while it
// holds the lease.
func (n *Node) newPlacer() *placer.Placer {
	self := n.members.Self()
	return placer.New(
		placer.WithStore(n.store),
		placer.WithEngine(placerEngine{n}),
		placer.WithFleet(placerFleet{n}),
		placer.WithDrainer(n.drains),
		placer.WithPlace(self.Place),
		placer.WithInstance(self.Instance),
		placer.WithLimits(ledger.Limits{Rate: n.config.Weights.Rate, MaxInFlight: n.config.Weights.Slots}),
		placer.WithLease(n.config.Platform.Lease, n.config.Platform.Lease/5),
		placer.WithCallTimeout(n.config.Platform.Timeout),
		placer.WithRegistry(n.registry),
		placer.WithLogger(n.logger),
		placer.WithClock(n.clock),
	)
}

// minEndpointsToTrustReports is the number of endpoints from which on the placer reads an
// endpoint's state only if its dispatcher reports a change.
const minEndpointsToTrustReports = 100

// readVersions holds the version of each endpoint's report when the placer last read the
// endpoint's state.
type readVersions struct {
	mu       sync.Mutex
	versions map[fleet.Endpoint]reportVersion
}

// reportVersion identifies a state of an endpoint as reported by its dispatcher.
type reportVersion struct {
	listed  string // incarnation in the platform's list
	process string // incarnation reported by the endpoint itself
	serial  uint64
}

func versionOf(e directory.Entry) reportVersion {
	return reportVersion{listed: e.Incarnation, process: e.Report.Incarnation, serial: e.Report.Serial}
}

func (r *readVersions) record(e directory.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.versions == nil {
		r.versions = make(map[fleet.Endpoint]reportVersion)
	}
	r.versions[e.Endpoint] = versionOf(e)
}

func (r *readVersions) hasChanged(e directory.Entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return e.LastReported.IsZero() || e.Leaving || e.Report.Down || r.versions[e.Endpoint] != versionOf(e)
}

// placerEngine sends the placer's orders to engines. It implements placer.Engine.
type placerEngine struct{ *Node }

// State implements placer.Engine.
func (p placerEngine) State(ctx context.Context, id fleet.Endpoint) (ledger.State, error) {
	e, ok := p.directory.Get(id)
	if !ok {
		return ledger.State{}, fmt.Errorf("state of endpoint %s: not listed", id)
	}
	state, err := p.endpoints.State(ctx, e.Address)
	if err != nil {
		return ledger.State{}, err
	}
	p.readVersions.record(e)
	return p.ledgerState(e, state), nil
}

// Changed implements placer.Engine from the reports of the endpoint's dispatcher. In a small
// data centre it is always true and the placer reads all endpoints: that costs little, and a
// dead endpoint is detected some seconds earlier.
func (p placerEngine) Changed(id fleet.Endpoint) bool {
	e, ok := p.directory.Get(id)
	return !ok || p.directory.Len() < minEndpointsToTrustReports || p.readVersions.hasChanged(e)
}

// ledgerState converts an engine's state. An engine is treated as checking fences only if
// the configuration lists its service as well.
func (p placerEngine) ledgerState(e directory.Entry, s endpoint.State) ledger.State {
	result := ledger.State{
		Incarnation: s.Incarnation, Fence: s.Fence, ChecksFence: s.ChecksFence && p.checksFence(e.Service),
		Memory: s.Memory, Used: s.Used, Role: s.Role, Leaving: s.Leaving || e.Leaving,
	}
	for _, r := range s.Models {
		result.Models = append(result.Models, ledger.Resident{
			Model: r.Model, Adapter: r.Adapter, Bytes: r.Bytes, State: ledger.Phase(r.State),
		})
	}
	return result
}

func (p placerEngine) checksFence(service string) bool {
	for _, s := range p.config.Endpoint.Checks {
		if s == service {
			return true
		}
	}
	return false
}

// Order implements placer.Engine. The order is sent on the connection on which its target
// incarnation was last read, so that no other incarnation receives it.
func (p placerEngine) Order(ctx context.Context, id fleet.Endpoint, order ledger.Order) error {
	e, ok := p.directory.Get(id)
	if !ok {
		return fmt.Errorf("order to endpoint %s: not listed: %w", id, placer.ErrRefused)
	}
	_, err := p.endpoints.OrderAt(ctx, e.Address, order.Incarnation, endpoint.Order{
		ID: order.ID, Fence: order.Fence, Kind: endpoint.OrderKind(order.Kind), Model: order.Model,
		Adapter: order.Adapter, Role: order.Role, Bytes: order.Bytes,
	})
	if provesNotRun(err) {
		return fmt.Errorf("%w: %w", placer.ErrRefused, err)
	}
	return err
}

// provesNotRun reports whether an error proves that an order has not run and never will.
func provesNotRun(err error) bool {
	for _, sentinel := range []error{endpoint.ErrNotSent, endpoint.ErrStaleFence, endpoint.ErrNoMemory, endpoint.ErrLeaving} {
		if errors.Is(err, sentinel) {
			return true
		}
	}
	return false
}

// placerFleet provides the endpoints and models that the placer manages. It implements
// placer.Fleet.
type placerFleet struct{ *Node }

// Targets implements placer.Fleet.
func (p placerFleet) Targets(time.Time) []placer.Target {
	var targets []placer.Target
	for _, e := range p.directory.All() {
		if !p.isPlainService(e.Service) {
			targets = append(targets, placer.Target{Endpoint: e.Endpoint, Place: e.Place, Service: e.Service, Leaving: e.Leaving})
		}
	}
	return targets
}

// Wanted implements placer.Fleet. It returns every model of the document whose service has
// endpoints in this instance's directory.
func (p placerFleet) Wanted(now time.Time) []placer.Wanted {
	document, _ := p.Profiles()
	services := make(map[string]bool)
	for _, e := range p.directory.All() {
		services[e.Service] = true
	}
	sums := p.demand.sums(now)
	var list []placer.Wanted
	for _, m := range document.Models() {
		if !services[m.Service] {
			continue
		}
		for _, name := range loadedNames(document, m) {
			list = append(list, wantedModel(m, name, sums[name]))
		}
	}
	return list
}

// loadedNames returns the names under which a model's versions are loaded.
func loadedNames(document profile.Document, m profile.Model) []fleet.Model {
	if len(m.Versions) == 0 {
		return []fleet.Model{fleet.Model(m.Name)}
	}
	var names []fleet.Model
	for _, v := range m.Versions {
		if target, ok := document.Resolve(m.Name + "@" + v); ok {
			names = append(names, target.LoadedModel())
		}
	}
	return names
}

func wantedModel(m profile.Model, name fleet.Model, r rates) placer.Wanted {
	result := placer.Wanted{Model: name, Service: m.Service, MinCopies: m.Copies, WeightBytes: m.Bytes, CacheBytes: m.Cache, FastDemand: r.fast, SlowDemand: r.slow}
	for _, a := range m.Adapters {
		result.Adapters = append(result.Adapters, placer.WantedAdapter{Adapter: fleet.Adapter(a), Bytes: m.Adapter})
	}
	return result
}
