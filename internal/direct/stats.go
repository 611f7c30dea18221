package direct

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/gateway"
)

// stats counts requests by kind, rank and status.
type stats struct {
	registry metrics.Registry

	mu         sync.Mutex
	workspaces map[string]struct{} // those with counters of their own
}

const (
	// maxCountedWorkspaces bounds the workspaces with counters of their own; the others share
	// otherWorkspaces.
	maxCountedWorkspaces = 256
	otherWorkspaces      = "other workspaces"
	// delaySamples and delayDecay are those of the library's timers, which need a goroutine.
	delaySamples = 1028
	delayDecay   = 0.015
)

func newStats(r metrics.Registry) *stats {
	return &stats{registry: r, workspaces: make(map[string]struct{})}
}

// Workspace counts the end of a request of a workspace.
func (s *stats) Workspace(name string, status int) {
	if name == "" {
		return
	}
	labels := ";workspace=" + strings.ReplaceAll(s.workspaceLabel(name), ";", "_") // separates labels
	metrics.GetOrRegisterCounter("workspace_requests"+labels+";status="+strconv.Itoa(status), s.registry).Inc(1)
}

func (s *stats) workspaceLabel(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.workspaces[name]; !ok && len(s.workspaces) >= maxCountedWorkspaces {
		return otherWorkspaces
	}
	s.workspaces[name] = struct{}{}
	return name
}

// Waited counts the end of a request that has waited for room.
func (s *stats) Waited(route *catalog.Route, status int, waited time.Duration) {
	labels := ";kind=" + string(route.Kind) + ";level=" + strconv.Itoa(route.Level)
	metrics.GetOrRegisterCounter("waits"+labels+";status="+strconv.Itoa(status), s.registry).Inc(1)
	metrics.GetOrRegisterTimer("waited"+labels, s.registry).Update(waited)
}

// KeyRefused counts a request refused for its key.
func (s *stats) KeyRefused(status int) {
	metrics.GetOrRegisterCounter("key_refusals;status="+strconv.Itoa(status), s.registry).Inc(1)
}

// BodyRefused counts a request refused for its body.
func (s *stats) BodyRefused(fault gateway.BodyFault) {
	metrics.GetOrRegisterCounter("refused_bodies;fault="+string(fault), s.registry).Inc(1)
}

// Abandoned counts a request whose caller has left before its answer was complete.
func (s *stats) Abandoned(in gateway.Phase) {
	metrics.GetOrRegisterCounter("abandoned_requests;phase="+string(in), s.registry).Inc(1)
}

// Stalled records for how long the process did nothing.
func (s *stats) Stalled(d time.Duration) { s.delay("stalls", d) }

// EventRejected counts a part of a stream that was not passed on.
func (s *stats) EventRejected(fault gateway.EventFault) {
	metrics.GetOrRegisterCounter("rejected_events;fault="+string(fault), s.registry).Inc(1)
}

// Done records the end of a request: its status and attempts, and the times to the first
// byte and to the complete answer.
func (s *stats) Done(route *catalog.Route, status, attempts int, firstByte, total time.Duration) {
	labels := ";kind=" + string(route.Kind) + ";level=" + strconv.Itoa(route.Level)
	metrics.GetOrRegisterCounter("requests"+labels+";status="+strconv.Itoa(status), s.registry).Inc(1)
	if attempts > 1 {
		metrics.GetOrRegisterCounter("repeats"+labels, s.registry).Inc(int64(attempts - 1))
	}
	if firstByte > 0 {
		metrics.GetOrRegisterTimer("first"+labels, s.registry).Update(firstByte)
	}
	metrics.GetOrRegisterTimer("whole"+labels, s.registry).Update(total)
}

// Spread records the first byte of an answer to a request that was spread by backlogs: how old the
// backlog was by which its endpoint was chosen, and how far the prediction was off.
func (s *stats) Spread(age, predicted, took time.Duration) {
	metrics.GetOrRegisterTimer("backlog_age", s.registry).Update(age)
	metrics.GetOrRegisterTimer("prediction_error", s.registry).Update((took - predicted).Abs())
}

// RemovalHeld counts a removed endpoint that is kept for now, since the store may have lost its entry.
func (s *stats) RemovalHeld() { metrics.GetOrRegisterCounter("held_removals", s.registry).Inc(1) }

// RemovalInForce records for how long the removal of an endpoint was held back.
func (s *stats) RemovalInForce(held time.Duration) {
	s.delay("removal_delay", held)
}

// CatalogActivated records for how long a newer configuration had been known here when it took effect.
func (s *stats) CatalogActivated(behind time.Duration) {
	s.delay("configuration_delay", behind)
}

func (s *stats) delay(name string, d time.Duration) {
	metrics.GetOrRegisterHistogram(name, s.registry, metrics.NewExpDecaySample(delaySamples, delayDecay)).Update(d.Nanoseconds())
}
