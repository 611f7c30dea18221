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

const placePause = time.Second

// newPlacer returns the placer of the own data centre. It gives orders only
// while it holds the lease.
func (n *Node) newPlacer() *placer.Placer {
	self := n.members.Self()
	return placer.New(
		placer.WithStore(n.store),
		placer.WithEngine(orders{n}),
		placer.WithFleet(wanted{n}),
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

// quietFleet is the number of endpoints from which on the placer goes by what their
// dispatchers tell.
const quietFleet = 100

// noted is what the dispatchers told of endpoints when the placer last read them.
type noted struct {
	mu    sync.Mutex
	marks map[fleet.Endpoint]mark
}

// mark names a state of an endpoint as its dispatcher tells it.
type mark struct {
	listed  string // incarnation in the platform's list
	process string // incarnation that the endpoint itself tells
	serial  uint64
}

func markOf(e directory.Entry) mark {
	return mark{listed: e.Incarnation, process: e.Report.Incarnation, serial: e.Report.Serial}
}

func (n *noted) put(e directory.Entry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.marks == nil {
		n.marks = make(map[fleet.Endpoint]mark)
	}
	n.marks[e.Endpoint] = markOf(e)
}

func (n *noted) differs(e directory.Entry) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return e.LastReported.IsZero() || e.Leaving || e.Report.Down || n.marks[e.Endpoint] != markOf(e)
}

// orders gives the placer's orders to engines. It implements placer.Engine.
type orders struct{ *Node }

// State implements placer.Engine.
func (o orders) State(ctx context.Context, id fleet.Endpoint) (ledger.State, error) {
	e, ok := o.directory.Get(id)
	if !ok {
		return ledger.State{}, fmt.Errorf("state of endpoint %s: not listed", id)
	}
	state, err := o.endpoints.State(ctx, e.Address)
	if err != nil {
		return ledger.State{}, err
	}
	o.noted.put(e)
	return o.ledgerState(e, state), nil
}

// Changed implements placer.Engine, by what the endpoint's dispatcher tells. In a small
// data centre the placer reads all endpoints itself: it costs little, and a death shows
// some seconds earlier.
func (o orders) Changed(id fleet.Endpoint) bool {
	e, ok := o.directory.Get(id)
	return !ok || o.directory.Len() < quietFleet || o.noted.differs(e)
}

// ledgerState converts an engine's state. An engine counts as checking fences
// only where the operators say so.
func (o orders) ledgerState(e directory.Entry, s endpoint.State) ledger.State {
	result := ledger.State{
		Incarnation: s.Incarnation, Fence: s.Fence, ChecksFence: s.ChecksFence && o.checks(e.Service),
		Memory: s.Memory, Used: s.Used, Role: s.Role, Leaving: s.Leaving || e.Leaving,
	}
	for _, r := range s.Models {
		result.Models = append(result.Models, ledger.Resident{
			Model: r.Model, Adapter: r.Adapter, Bytes: r.Bytes, State: ledger.Phase(r.State),
		})
	}
	return result
}

func (o orders) checks(service string) bool {
	for _, s := range o.config.Endpoint.Checks {
		if s == service {
			return true
		}
	}
	return false
}

// Order implements placer.Engine. The order goes out on the connection on which
// the incarnation that it is meant for was just read, so that no other one gets it.
func (o orders) Order(ctx context.Context, id fleet.Endpoint, order ledger.Order) error {
	e, ok := o.directory.Get(id)
	if !ok {
		return fmt.Errorf("order to endpoint %s: not listed: %w", id, placer.ErrRefused)
	}
	_, err := o.endpoints.OrderAt(ctx, e.Address, order.Incarnation, endpoint.Order{
		ID: order.ID, Fence: order.Fence, Kind: endpoint.OrderKind(order.Kind), Model: order.Model,
		Adapter: order.Adapter, Role: order.Role, Bytes: order.Bytes,
	})
	if proved(err) {
		return fmt.Errorf("%w: %w", placer.ErrRefused, err)
	}
	return err
}

// proved tells whether an error shows that an order has not run and never will.
func proved(err error) bool {
	for _, sentinel := range []error{endpoint.ErrNotSent, endpoint.ErrStaleFence, endpoint.ErrNoMemory, endpoint.ErrLeaving} {
		if errors.Is(err, sentinel) {
			return true
		}
	}
	return false
}

// wanted tells the placer what to look after. It implements placer.Fleet.
type wanted struct{ *Node }

// Targets implements placer.Fleet.
func (w wanted) Targets(time.Time) []placer.Target {
	var targets []placer.Target
	for _, e := range w.directory.All() {
		if !w.plain(e.Service) {
			targets = append(targets, placer.Target{Endpoint: e.Endpoint, Place: e.Place, Service: e.Service, Leaving: e.Leaving})
		}
	}
	return targets
}

// Wanted implements placer.Fleet: every model of the document that some service
// of this data centre may load.
func (w wanted) Wanted(now time.Time) []placer.Wanted {
	document, _ := w.Profiles()
	services := make(map[string]bool)
	for _, e := range w.directory.All() {
		services[e.Service] = true
	}
	sums := w.demand.sums(now)
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
			names = append(names, target.Loaded())
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
