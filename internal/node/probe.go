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
	// probeInterval is the time between two probes of an endpoint that answers.
	probeInterval = 2 * time.Second
	// maxProbeInterval is the longest time between two probes, whatever else is heard.
	maxProbeInterval = 4 * time.Second
	// probeRetryInterval is the time between two probes of one that did not.
	probeRetryInterval = time.Second
	// loadRefreshInterval is how often the own loads are taken from the dispatchers.
	loadRefreshInterval = time.Second
	probeTimeout        = 2 * time.Second
	maxConcurrentProbes = 64
	failuresUntilDown   = 2 // failures in a row that make an endpoint down
)

// probeClient asks endpoints how they are.
type probeClient interface {
	State(ctx context.Context, address string) (endpoint.State, error)
	Health(ctx context.Context, address string) error
}

// loadSource tells what the dispatchers here have on their endpoints.
type loadSource interface {
	Loads(ctx context.Context, e fleet.Endpoint) (dispatch.Load, error)
}

// prober asks the endpoints dispatched here what they serve.
type prober struct {
	members        *members
	directory      *directory.Directory
	pool           loadSource
	client         probeClient
	answers        *answerRecorder
	isPlainService func(service string) bool
	drainedModels  func(fleet.Endpoint) []fleet.Model
	clock          func() time.Time
	start          func(func() error)

	mu       sync.Mutex
	probes   map[fleet.Endpoint]*probeState
	inFlight int
}

// probeState is what the last probes of one endpoint showed.
type probeState struct {
	report      directory.Report
	failures    int
	startedAt   time.Time // when the last probe began
	refreshedAt time.Time // when the report was last taken in
	inFlight    bool
}

// due tells whether it is time to ask the endpoint. One that has just answered a
// request may wait for longer, if a probe would tell of its health only.
func (k *probeState) due(now time.Time, neverReported, answered bool) bool {
	pause := probeInterval
	switch {
	case k.inFlight:
		return false
	case neverReported:
		pause = 0
	case k.failures > 0:
		pause = probeRetryInterval
	case answered:
		pause = maxProbeInterval
	}
	return now.Sub(k.startedAt) >= pause
}

// startProbes begins the probes that are due and takes in the loads of the other endpoints.
// It doesn't wait, so that a silent endpoint holds up no other.
func (p *prober) startProbes(ctx context.Context) {
	now := p.clock()
	own := make(map[fleet.Endpoint]bool)
	for _, e := range p.directory.All() {
		if !p.members.dispatches(e.Endpoint, e.Place) {
			continue
		}
		own[e.Endpoint] = true
		switch {
		case p.tryBegin(now, e):
			p.start(func() error {
				p.probe(ctx, now, e)
				return nil
			})
		case p.needsRefresh(now, e):
			p.refresh(ctx, e)
		}
	}
	p.retainOnly(own)
}

// tryBegin reports whether the endpoint is to be asked now.
func (p *prober) tryBegin(now time.Time, e directory.Entry) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	state, ok := p.probes[e.Endpoint]
	if !ok {
		state = &probeState{}
		p.probes[e.Endpoint] = state
	}
	answered := p.isPlainService(e.Service) && p.answers.answeredSince(e.Address, now.Add(-probeInterval))
	if p.inFlight >= maxConcurrentProbes || !state.due(now, e.LastReported.IsZero(), answered) {
		return false
	}
	state.startedAt, state.inFlight = now, true
	p.inFlight++
	return true
}

// needsRefresh tells whether the endpoint's loads are to be taken in between two probes.
func (p *prober) needsRefresh(now time.Time, e directory.Entry) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.probes[e.Endpoint]
	return !state.inFlight && !e.LastReported.IsZero() && now.Sub(state.refreshedAt) >= loadRefreshInterval
}

// retainOnly drops what another instance dispatches now.
func (p *prober) retainOnly(own map[fleet.Endpoint]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.probes {
		if !own[id] {
			delete(p.probes, id)
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
	err := p.queryState(ctx, e, &report)
	p.addLoad(ctx, e, &report)
	if err != nil && p.answers.answeredSince(e.Address, now) && !errors.Is(err, endpoint.ErrLeaving) {
		err = nil // it answered a request meanwhile
	}
	p.recordResult(e, report, err)
}

// refresh takes in the loads of an endpoint that is not asked now.
func (p *prober) refresh(ctx context.Context, e directory.Entry) {
	report := e.Report
	p.addLoad(ctx, e, &report)
	p.mu.Lock()
	defer p.mu.Unlock()
	if state, ok := p.probes[e.Endpoint]; ok && !state.inFlight {
		state.report, state.refreshedAt = report, p.clock()
		p.directory.ApplyReport(state.refreshedAt, report)
	}
}

// addLoad puts what the own dispatcher knows into a report.
func (p *prober) addLoad(ctx context.Context, e directory.Entry, report *directory.Report) {
	if load, err := p.pool.Loads(ctx, e.Endpoint); err == nil {
		report.Running, report.Queued, report.PredictedWait = load.Running, load.Queued, load.Wait
	}
	report.Leaving = report.Leaving || e.Leaving
	report.Drained = p.drainedModels(e.Endpoint)
}

func (p *prober) queryState(ctx context.Context, e directory.Entry, report *directory.Report) error {
	if p.isPlainService(e.Service) {
		return p.client.Health(ctx, e.Address)
	}
	state, err := p.client.State(ctx, e.Address)
	if err != nil {
		return err
	}
	models, adapters := readyModels(state), readyAdapters(state)
	if state.Incarnation != report.Incarnation || !slices.Equal(models, report.Models) || !slices.Equal(adapters, report.Adapters) {
		report.Serial++
	}
	report.Incarnation, report.Models, report.Leaving = state.Incarnation, models, state.Leaving
	report.Adapters, report.AdapterLoads = adapters, countAdapterLoads(state)
	return nil
}

// readyModels returns the models that can be asked for now, in order.
func readyModels(state endpoint.State) []fleet.Model {
	models := []fleet.Model{}
	for _, r := range state.Models {
		if r.State == endpoint.ResidentReady && r.Adapter == "" {
			models = append(models, r.Model)
		}
	}
	slices.Sort(models)
	return models
}

func (p *prober) recordResult(e directory.Entry, report directory.Report, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight--
	state, ok := p.probes[e.Endpoint]
	if !ok {
		return
	}
	state.inFlight = false
	switch {
	case errors.Is(err, endpoint.ErrLeaving):
		report.Leaving, state.failures = true, 0
	case err != nil:
		state.failures++
	default:
		state.failures = 0
	}
	report.Down = state.failures >= failuresUntilDown
	state.report, state.refreshedAt = report, p.clock()
	p.directory.ApplyReport(state.refreshedAt, report)
}

// reports returns what the last probes of all endpoints showed.
func (p *prober) reports() []directory.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]directory.Report, 0, len(p.probes))
	for _, state := range p.probes {
		if state.report.Endpoint != "" { // its first probe has ended
			list = append(list, state.report)
		}
	}
	return list
}
