package entry

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/retry"
)

// Option changes a Gateway under construction.
type Option func(*Gateway)

// WithBudget sets how often requests are repeated.
func WithBudget(b *retry.Budget) Option { return func(g *Gateway) { g.budget = b } }

// WithRemote sets what is known of other data centres.
func WithRemote(r Remote) Option { return func(g *Gateway) { g.remote = r } }

// WithDecisionLog sets where decisions are recorded.
func WithDecisionLog(t DecisionLog) Option { return func(g *Gateway) { g.decisions = t } }

// WithObserver sets who is told how requests ended.
func WithObserver(o Observer) Option { return func(g *Gateway) { g.observer = o } }

// WithDraining sets which models get nothing new on an endpoint.
func WithDraining(d Draining) Option { return func(g *Gateway) { g.draining = d } }

// WithSuspects sets which requests run at one endpoint only.
func WithSuspects(s Suspects) Option { return func(g *Gateway) { g.suspects = s } }

// WithPacer sets who is told of each request as it comes.
func WithPacer(p Pacer) Option { return func(g *Gateway) { g.pacer = p } }

// WithClock sets the clock.
func WithClock(now func() time.Time) Option { return func(g *Gateway) { g.clock = now } }

// noRemote knows no other data centre.
type noRemote struct{}

func (noRemote) DataCentres(time.Time, fleet.Model, string) []fleet.DataCentre { return nil }

// noop stands in for the optional parts.
type noop struct{}

func (noop) Note(_, _, _, _ string)                {}
func (noop) Request()                              {}
func (noop) Ended(Report)                          {}
func (noop) Check(uint64) (suspected, poison bool) { return false, false }
func (noop) Drains(fleet.Model) []fleet.Endpoint   { return nil }
