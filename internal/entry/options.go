package entry

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/retry"
)

// Option configures a Gateway.
type Option func(*Gateway)

// WithBudget sets the retry budget.
func WithBudget(b *retry.Budget) Option { return func(g *Gateway) { g.budget = b } }

// WithRemote sets the source of data centres to forward requests to.
func WithRemote(r Remote) Option { return func(g *Gateway) { g.remote = r } }

// WithDecisionLog sets the log of routing decisions.
func WithDecisionLog(t DecisionLog) Option { return func(g *Gateway) { g.decisions = t } }

// WithObserver sets the observer of ended requests.
func WithObserver(o Observer) Option { return func(g *Gateway) { g.observer = o } }

// WithDraining sets the source of endpoints where a model drains.
func WithDraining(d Draining) Option { return func(g *Gateway) { g.draining = d } }

// WithSuspects sets the source of suspect requests, which run on one endpoint only.
func WithSuspects(s Suspects) Option { return func(g *Gateway) { g.suspects = s } }

// WithPacer sets the pacer that is called for each incoming request.
func WithPacer(p Pacer) Option { return func(g *Gateway) { g.pacer = p } }

// WithShutdown sets which requests are refused while the instance leaves.
func WithShutdown(s Shutdown) Option { return func(g *Gateway) { g.shutdown = s } }

// WithClock sets the clock.
func WithClock(now func() time.Time) Option { return func(g *Gateway) { g.clock = now } }

// noRemote is a Remote without other data centres.
type noRemote struct{}

func (noRemote) DataCentres(time.Time, fleet.Model, string) []fleet.DataCentre { return nil }

// noop is the default of the optional dependencies.
type noop struct{}

func (noop) Note(_, _, _, _ string)                {}
func (noop) Request()                              {}
func (noop) Refuses(time.Time) bool                { return false }
func (noop) Ended(Report)                          {}
func (noop) Check(uint64) (suspected, poison bool) { return false, false }
func (noop) Drains(fleet.Model) []fleet.Endpoint   { return nil }
