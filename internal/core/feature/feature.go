// Package feature names what an instance can do that instances of an earlier build can't.
//
// Instances announce their features on heartbeats. A feature that needs all instances is used only
// while every one that may be running announces it, so that builds can run side by side. Instances
// decide so one after the other: one that announces a feature takes part in it at any time.
package feature

import "slices"

// Feature is something that instances must agree on before any of them does it.
type Feature string

// The features that instances announce.
const (
	// Backlog: the instance that admits an endpoint's requests reports how much work is scheduled there.
	Backlog Feature = "backlog"
	// Queue: the instance that admits an endpoint's requests lets them wait for room.
	Queue Feature = "queue"
	// Watchers: those that watch the store are chosen over regions and data centres, not by name, and
	// all instances confirm to each other how recent their configuration is.
	Watchers Feature = "watchers"
	// Handover: a leaving owner of a part of the allotments hands over to its successor.
	Handover Feature = "handover"
)

// Announced returns the features of this build.
func Announced() []Feature { return []Feature{Backlog, Queue, Watchers, Handover} }

// Announcement is what is known of another instance.
type Announcement struct {
	// Received is set once a heartbeat of its present start has arrived.
	Received bool
	Features []Feature
}

// Agreed reports whether a feature may be used: this instance has it, the others are known, and each
// of them announces it. It answers a rolling upgrade under load, in both directions.
func Agreed(f Feature, own []Feature, othersKnown bool, others []Announcement) bool {
	if !othersKnown || !slices.Contains(own, f) {
		return false
	}
	return !slices.ContainsFunc(others, func(a Announcement) bool { return !a.Received || !slices.Contains(a.Features, f) })
}
