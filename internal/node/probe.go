package node

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/directory"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/dispatch"
	"github.com/chiveramp/chiveramp/internal/endpoint"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

const (
	probePause   = time.Second
	probeTimeout = 2 * time.Second
	probeAtOnce  = 8
	probeMissed  = 2 // failures in a row that make an endpoint down
)

// prober asks the endpoints dispatched here what they serve.
type prober struct {
	members   *members
	directory *directory.Directory
	pool      *dispatch.Pool
	client    *endpoint.Client
	plain     func(service string) bool
	drained   func(fleet.Endpoint) []fleet.Model
	clock     func() time.Time

	mu   sync.Mutex
	seen map[fleet.Endpoint]*probed
}

// probed is what the last probes of one endpoint showed.
type probed struct {
	report directory.Report
	missed int
	sent   directory.Report // as last told to the others
}

func (p *prober) round(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(probeAtOnce)
	own := make(map[fleet.Endpoint]bool)
	for _, e := range p.directory.All() {
		if !p.members.dispatches(e.Endpoint, e.Place) {
			continue
		}
		own[e.Endpoint] = true
		g.Go(func() error {
			p.probe(ctx, e)
			return nil
		})
	}
	_ = g.Wait()
	p.forget(own)
}

// forget drops what another instance dispatches now.
func (p *prober) forget(own map[fleet.Endpoint]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.seen {
		if !own[id] {
			delete(p.seen, id)
		}
	}
}

func (p *prober) probe(ctx context.Context, e directory.Entry) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report := directory.Report{
		Endpoint: e.Endpoint, Incarnation: e.Report.Incarnation, Serial: e.Report.Serial,
		Models: e.Report.Models, Adapters: e.Report.Adapters,
	}
	err := p.ask(ctx, e, &report)
	if load, loadErr := p.pool.Loads(ctx, e.Endpoint); loadErr == nil {
		report.Running, report.Queued, report.Wait = load.Running, load.Queued, load.Wait
	}
	report.Leaving = report.Leaving || e.Leaving
	report.Drained = p.drained(e.Endpoint)
	p.note(e, report, err)
}

func (p *prober) ask(ctx context.Context, e directory.Entry, report *directory.Report) error {
	if p.plain(e.Service) {
		return p.client.Health(ctx, e.Address)
	}
	state, err := p.client.State(ctx, e.Address)
	if err != nil {
		return err
	}
	models, adapters := ready(state), adapted(state)
	if state.Incarnation != report.Incarnation || !slices.Equal(models, report.Models) || !slices.Equal(adapters, report.Adapters) {
		report.Serial++
	}
	report.Incarnation, report.Models, report.Leaving = state.Incarnation, models, state.Leaving
	report.Adapters, report.Loading = adapters, loading(state)
	return nil
}

// ready returns the models that can be asked for now, in order.
func ready(state endpoint.State) []fleet.Model {
	models := []fleet.Model{}
	for _, r := range state.Models {
		if r.State == endpoint.ResidentReady && r.Adapter == "" {
			models = append(models, r.Model)
		}
	}
	slices.Sort(models)
	return models
}

func (p *prober) note(e directory.Entry, report directory.Report, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.seen[e.Endpoint]
	if !ok {
		known = &probed{}
		p.seen[e.Endpoint] = known
	}
	switch {
	case errors.Is(err, endpoint.ErrLeaving):
		report.Leaving, known.missed = true, 0
	case err != nil:
		known.missed++
	default:
		known.missed = 0
	}
	report.Down = known.missed >= probeMissed
	known.report = report
	p.directory.Report(p.clock(), report)
}

// loads returns the reports that changed since they were last told, or all.
func (p *prober) loads(all bool) []*peerpb.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*peerpb.Load
	for _, known := range p.seen {
		if !all && same(known.report, known.sent) {
			continue
		}
		list = append(list, toLoad(known.report, all || known.report.Serial != known.sent.Serial))
		known.sent = known.report
	}
	return list
}

func same(a, b directory.Report) bool {
	return a.Incarnation == b.Incarnation && a.Serial == b.Serial && a.Running == b.Running &&
		a.Queued == b.Queued && a.Wait == b.Wait && a.Leaving == b.Leaving && a.Down == b.Down &&
		a.Loading == b.Loading && slices.Equal(a.Drained, b.Drained)
}

func toLoad(r directory.Report, models bool) *peerpb.Load {
	load := &peerpb.Load{
		Endpoint: string(r.Endpoint), Running: uint32(r.Running), Queued: uint32(r.Queued),
		Wait: uint32(r.Wait.Milliseconds()), Leaving: r.Leaving, Serial: r.Serial,
		Incarnation: r.Incarnation, Down: r.Down, Drained: names(r.Drained),
		Loading: uint32(r.Loading),
	}
	if models && r.Models != nil {
		load.Full, load.Models = true, names(r.Models)
		load.Adapted = toAdapted(r.Adapters)
	}
	return load
}

func fromLoad(l *peerpb.Load) directory.Report {
	r := directory.Report{
		Endpoint: fleet.Endpoint(l.Endpoint), Incarnation: l.Incarnation, Running: int(l.Running),
		Queued: int(l.Queued), Wait: time.Duration(l.Wait) * time.Millisecond,
		Leaving: l.Leaving, Serial: l.Serial, Down: l.Down, Loading: int(l.Loading),
		Adapters: fromAdapted(l.Adapted),
	}
	for _, m := range l.Drained {
		r.Drained = append(r.Drained, fleet.Model(m))
	}
	if l.Full {
		r.Models = make([]fleet.Model, 0, len(l.Models))
	}
	for _, m := range l.Models {
		r.Models = append(r.Models, fleet.Model(m))
	}
	return r
}
