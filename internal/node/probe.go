package node

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/directory"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/dispatch"
	"github.com/chiveramp/chiveramp/internal/endpoint"
)

const (
	// probeTick is how often the prober looks which endpoints are due.
	probeTick = 500 * time.Millisecond
	// probePause is the time between two probes of an endpoint that answers.
	probePause = 2 * time.Second
	// probeLatest is the longest time between two probes, whatever else is heard.
	probeLatest = 4 * time.Second
	// probeAgain is the time between two probes of one that did not.
	probeAgain = time.Second
	// probeFresh is how often the own loads are taken from the dispatchers.
	probeFresh   = time.Second
	probeTimeout = 2 * time.Second
	probeAtOnce  = 64
	probeMissed  = 2 // failures in a row that make an endpoint down
)

// asker asks endpoints how they are.
type asker interface {
	State(ctx context.Context, address string) (endpoint.State, error)
	Health(ctx context.Context, address string) error
}

// loader tells what the dispatchers here have on their endpoints.
type loader interface {
	Loads(ctx context.Context, e fleet.Endpoint) (dispatch.Load, error)
}

// prober asks the endpoints dispatched here what they serve.
type prober struct {
	members   *members
	directory *directory.Directory
	pool      loader
	client    asker
	news      *news
	plain     func(service string) bool
	drained   func(fleet.Endpoint) []fleet.Model
	clock     func() time.Time
	start     func(func() error)

	mu   sync.Mutex
	seen map[fleet.Endpoint]*probed
	busy int
}

// probed is what the last probes of one endpoint showed.
type probed struct {
	report directory.Report
	missed int
	asked  time.Time // when the last probe began
	fresh  time.Time // when the report was last taken in
	busy   bool
}

// due tells whether it is time to ask the endpoint. One that has just answered a
// request may wait for longer, if a probe would tell of its health only.
func (k *probed) due(now time.Time, unheard, answered bool) bool {
	pause := probePause
	switch {
	case k.busy:
		return false
	case unheard:
		pause = 0
	case k.missed > 0:
		pause = probeAgain
	case answered:
		pause = probeLatest
	}
	return now.Sub(k.asked) >= pause
}

// round begins the probes that are due and takes in the loads of the other endpoints.
// It doesn't wait, so that a silent endpoint holds up no other.
func (p *prober) round(ctx context.Context) {
	now := p.clock()
	own := make(map[fleet.Endpoint]bool)
	for _, e := range p.directory.All() {
		if !p.members.dispatches(e.Endpoint, e.Place) {
			continue
		}
		own[e.Endpoint] = true
		switch {
		case p.begin(now, e):
			p.start(func() error {
				p.probe(ctx, now, e)
				return nil
			})
		case p.stale(now, e):
			p.refresh(ctx, e)
		}
	}
	p.forget(own)
}

// begin reports whether the endpoint is to be asked now.
func (p *prober) begin(now time.Time, e directory.Entry) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.seen[e.Endpoint]
	if !ok {
		known = &probed{}
		p.seen[e.Endpoint] = known
	}
	answered := p.plain(e.Service) && p.news.since(e.Address, now.Add(-probePause))
	if p.busy >= probeAtOnce || !known.due(now, e.LastReported.IsZero(), answered) {
		return false
	}
	known.asked, known.busy = now, true
	p.busy++
	return true
}

// stale tells whether the endpoint's loads are to be taken in between two probes.
func (p *prober) stale(now time.Time, e directory.Entry) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.seen[e.Endpoint]
	return !known.busy && !e.LastReported.IsZero() && now.Sub(known.fresh) >= probeFresh
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

func (p *prober) probe(ctx context.Context, now time.Time, e directory.Entry) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report := directory.Report{
		Endpoint: e.Endpoint, Incarnation: e.Report.Incarnation, Serial: e.Report.Serial,
		Models: e.Report.Models, Adapters: e.Report.Adapters,
	}
	err := p.ask(ctx, e, &report)
	p.load(ctx, e, &report)
	if err != nil && p.news.since(e.Address, now) && !errors.Is(err, endpoint.ErrLeaving) {
		err = nil // it answered a request meanwhile
	}
	p.note(e, report, err)
}

// refresh takes in the loads of an endpoint that is not asked now.
func (p *prober) refresh(ctx context.Context, e directory.Entry) {
	report := e.Report
	p.load(ctx, e, &report)
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.seen[e.Endpoint]; ok && !known.busy {
		known.report, known.fresh = report, p.clock()
		p.directory.ApplyReport(known.fresh, report)
	}
}

// load puts what the own dispatcher knows into a report.
func (p *prober) load(ctx context.Context, e directory.Entry, report *directory.Report) {
	if load, err := p.pool.Loads(ctx, e.Endpoint); err == nil {
		report.Running, report.Queued, report.PredictedWait = load.Running, load.Queued, load.Wait
	}
	report.Leaving = report.Leaving || e.Leaving
	report.Drained = p.drained(e.Endpoint)
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
	report.Adapters, report.AdapterLoads = adapters, loading(state)
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
	p.busy--
	known, ok := p.seen[e.Endpoint]
	if !ok {
		return
	}
	known.busy = false
	switch {
	case errors.Is(err, endpoint.ErrLeaving):
		report.Leaving, known.missed = true, 0
	case err != nil:
		known.missed++
	default:
		known.missed = 0
	}
	report.Down = known.missed >= probeMissed
	known.report, known.fresh = report, p.clock()
	p.directory.ApplyReport(known.fresh, report)
}

// reports returns what the last probes of all endpoints showed.
func (p *prober) reports() []directory.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]directory.Report, 0, len(p.seen))
	for _, known := range p.seen {
		if known.report.Endpoint != "" { // its first probe has ended
			list = append(list, known.report)
		}
	}
	return list
}
