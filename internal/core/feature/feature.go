// Package feature names what an instance can do that instances of an earlier build can't.
//
// Instances announce their features on heartbeats. A feature that needs all instances is used only
// while every live one announces it, so that builds can run side by side.
package feature

import "slices"

// Feature is something that instances must agree on before any of them does it.
type Feature string

// The features that instances announce.
const (
	// Backlog: the instance that admits an endpoint's requests tells how much work is scheduled there.
	Backlog Feature = "backlog"
	// Queue: the instance that admits an endpoint's requests lets them wait for room.
	Queue Feature = "queue"
	// Watchers: those that watch the store are chosen over regions and data centres, not by name, and
	// all instances confirm to each other how recent their configuration is.
	Watchers Feature = "watchers"
)

// Announced returns the features of this build.
func Announced() []Feature { return []Feature{Watchers} }

// All reports whether every one of the announcements has a feature.
func All(f Feature, announcements ...[]Feature) bool {
	return !slices.ContainsFunc(announcements, func(a []Feature) bool { return !slices.Contains(a, f) })
}
