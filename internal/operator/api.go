// Package operator is the HTTP API through which operators manage the daemon: its
// types, server and client. It has a listener and tokens of its own, apart from
// those for callers.
package operator

import "time"

// Document is the configuration of profiles, models and services that operators
// edit, with its revision.
type Document struct {
	// Revision increases with each accepted edit. Zero: there is no document yet.
	Revision uint64 `json:"revision"`
	// Author is the operator who applied it.
	Author string `json:"author"`
	// Applied is the time at which the edit was accepted.
	Applied time.Time `json:"applied"`
	// Text is the document in INI form.
	Text string `json:"text"`
}

// Edit is a request to replace the document.
type Edit struct {
	// Expect is the revision that the edit is based on. If another one is in force,
	// the edit is rejected as a conflict.
	Expect uint64 `json:"expect"`
	// Author is the operator who makes the edit.
	Author string `json:"author"`
	// Text is the new document in INI form.
	Text string `json:"text"`
}

// ApplyResult reports which instances use an accepted edit.
type ApplyResult struct {
	Revision uint64 `json:"revision"`
	// InForce names the instances that use the revision, Behind those that don't yet.
	InForce []string `json:"inforce"`
	Behind  []string `json:"behind"`
}

// State is the state of an instance or endpoint.
type State string

// The states of instances and endpoints.
const (
	StateStarting State = "starting"
	StateReady    State = "ready"
	StateLeaving  State = "leaving"
	StateLost     State = "lost"
)

// Status is the whole system as one instance has recorded it.
type Status struct {
	// Instance is the instance that reports.
	Instance string `json:"instance"`
	// Revision is the highest revision that it has recorded.
	Revision    uint64             `json:"revision"`
	Instances   []InstanceStatus   `json:"instances"`
	Dispatchers []DispatcherStatus `json:"dispatchers"`
	Placers     []PlacerStatus     `json:"placers"`
	Models      []ModelStatus      `json:"models"`
	Endpoints   []EndpointStatus   `json:"endpoints"`
	// Degraded lists what doesn't work as intended. It is empty in a healthy system.
	Degraded []Degradation `json:"degraded"`
}

// InstanceStatus is the state of one instance.
type InstanceStatus struct {
	Name       string `json:"name"`
	Region     string `json:"region"`
	Datacentre string `json:"datacentre"`
	Address    string `json:"address"`
	Revision   uint64 `json:"revision"`
	State      State  `json:"state"`
}

// DispatcherStatus names the instance that dispatches for an endpoint, with its load.
type DispatcherStatus struct {
	Endpoint string `json:"endpoint"`
	Instance string `json:"instance"`
	Running  int    `json:"running"`
	Queued   int    `json:"queued"`
	// Wait is the predicted queueing time of a request of standard rank, in milliseconds.
	Wait int64 `json:"wait"`
}

// PlacerStatus names the instance that places models in a data centre.
type PlacerStatus struct {
	Datacentre string `json:"datacentre"`
	// Instance is empty while no instance holds the lease.
	Instance string `json:"instance"`
	// Fence is the lease's fencing token.
	Fence uint64 `json:"fence"`
	// Lease is the time until the lease expires, in milliseconds. Zero: expired or unknown.
	Lease int64 `json:"lease"`
}

// ModelStatus names the endpoints on which a model is loaded.
type ModelStatus struct {
	Name string `json:"name"`
	// Wanted is the minimum number of copies that the document asks for.
	Wanted int `json:"wanted"`
	// Endpoints are those whose copy was recently seen serving.
	Endpoints []string `json:"endpoints"`
}

// EndpointStatus is the state of one endpoint.
type EndpointStatus struct {
	Name       string   `json:"name"`
	Service    string   `json:"service"`
	Datacentre string   `json:"datacentre"`
	State      State    `json:"state"`
	Models     []string `json:"models"`
	// Memory and Free are the total and free accelerator memory, in bytes.
	Memory int64 `json:"memory"`
	Free   int64 `json:"free"`
}

// Degradation is a component that doesn't work as intended.
type Degradation struct {
	// Part names the component, such as store, placer sask-1 or model matcher-a.
	Part string `json:"part"`
	Why  string `json:"why"`
	// Since is the time at which the problem was first seen.
	Since time.Time `json:"since"`
}

// ProfileReport compares a profile's requests of the last minutes with its target.
type ProfileReport struct {
	Profile string `json:"profile"`
	Rank    string `json:"rank"`
	// Window is the period that the report covers, in milliseconds. Zero: since the
	// start of the instance.
	Window int64 `json:"window"`
	// Requests counts all requests, Met those within target, Refused those that were
	// not run and Failed those without a complete answer. A complete answer that missed
	// its target counts only in Requests.
	Requests int64 `json:"requests"`
	Met      int64 `json:"met"`
	Refused  int64 `json:"refused"`
	Failed   int64 `json:"failed"`
	// Target and TimeToFirstToken are the target and the 95th percentile of the time
	// to the first token, in milliseconds.
	Target           int64 `json:"target"`
	TimeToFirstToken int64 `json:"first"`
	// Why is the most frequent reason for refusals and failures.
	Why string `json:"why"`
}

// Attainment returns the fraction of requests within target, or 1 if there were none.
func (r ProfileReport) Attainment() float64 {
	if r.Requests == 0 {
		return 1
	}
	return float64(r.Met) / float64(r.Requests)
}

// Explanation lists the decisions made for one request.
type Explanation struct {
	Request string `json:"request"`
	Profile string `json:"profile"`
	Model   string `json:"model"`
	// Outcome is ran, not-run or unknown. It is empty while the request is in progress.
	Outcome string `json:"outcome"`
	Steps   []Step `json:"steps"`
}

// Step is one decision made while a request was handled.
type Step struct {
	Time time.Time `json:"time"`
	// Instance is the instance that made the decision.
	Instance string `json:"instance"`
	// Step names the stage, such as admit, route, dispatch or answer.
	Step string `json:"step"`
	// Peer is the instance, endpoint or service that the decision is about.
	Peer string `json:"peer"`
	// Why is the reason for the decision.
	Decision string `json:"decision"`
	Why      string `json:"why"`
}

// DrainResult reports the progress of draining an instance.
type DrainResult struct {
	Instance string `json:"instance"`
	State    State  `json:"state"`
	// Running counts the requests still in flight on the instance.
	Running int `json:"running"`
}
