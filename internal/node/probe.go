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
	// probeTick is the interval at which the prober checks which endpoints are due.
	probeTick = 500 * time.Millisecond
	// probeInterval is the time between two probes of an endpoint that answers them.
	probeInterval = 2 * time.Second
	// maxProbeInterval is the time between two probes of an endpoint that also answered a request.
	maxProbeInterval = 4 * time.Second
	// probeRetryInterval is the time to the next probe after a failed one.
	probeRetryInterval = time.Second
	// loadRefreshInterval is how often loads are read from the dispatchers of this instance.
	loadRefreshInterval = time.Second
	probeTimeout        = 2 * time.Second
	maxConcurrentProbes = 64
	failuresUntilDown   = 2 // consecutive failures after which an endpoint is down
)

// probeClient queries the state and health of endpoints.
type probeClient interface {
	State(ctx context.Context, address string) (endpoint.State, error)
	Health(ctx context.Context, address string) error
}

// loadSource returns the load of endpoints dispatched by this instance.
type loadSource interface {
	QueueLoad(ctx context.Context, e fleet.Endpoint) (dispatch.Load, error)
}

// prober periodically queries the endpoints dispatched here and reports their state.
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

// probeState is the result of the last probes of one endpoint.
type probeState struct {
	report      directory.Report
	failures    int
	startedAt   time.Time // when the last probe was started
	refreshedAt time.Time // when the report was last updated
	inFlight    bool
}

// due reports whether the endpoint has to be probed now. An endpoint that recently answered a
// request is probed less often; the caller sets answered only if the probe checks health alone.
func (p *probeState) due(now time.Time, neverReported, answered bool) bool {
	pause := probeInterval
	switch {
	case p.inFlight:
		return false
	case neverReported:
		pause = 0
	case p.failures > 0:
		pause = probeRetryInterval
	case answered:
		pause = maxProbeInterval
	}
	return now.Sub(p.startedAt) >= pause
}

// startProbes starts the probes that are due and refreshes the loads of the other endpoints.
// It doesn't wait for the probes, so that an endpoint that doesn't answer delays no other.
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

// tryBegin marks a probe as started if the endpoint is due and the limit of concurrent probes
// allows it.
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

// needsRefresh reports whether the endpoint's load has to be refreshed between two probes.
func (p *prober) needsRefresh(now time.Time, e directory.Entry) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.probes[e.Endpoint]
	return !state.inFlight && !e.LastReported.IsZero() && now.Sub(state.refreshedAt) >= loadRefreshInterval
}

// retainOnly drops the state of endpoints that are no longer dispatched here.
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
		err = nil // it answered a request during the probe
	}
	p.recordResult(e, report, err)
}

// refresh updates the load of an endpoint without a probe.
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

// addLoad adds the state held by the local dispatcher to a report: load, leaving and drained
// models.
func (p *prober) addLoad(ctx context.Context, e directory.Entry, report *directory.Report) {
	if load, err := p.pool.QueueLoad(ctx, e.Endpoint); err == nil {
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

// readyModels returns the models that are loaded and ready for requests, sorted.
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

// reports returns the latest reports on all endpoints dispatched here.
func (p *prober) reports() []directory.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]directory.Report, 0, len(p.probes))
	for _, state := range p.probes {
		if state.report.Endpoint != "" { // its first probe has completed
			list = append(list, state.report)
		}
	}
	return list
}
