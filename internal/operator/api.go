// Package operator speaks to operators: the HTTP API of the daemon, its types
// and its client. Callers can't reach it; it has its own listener and token.
package operator

import "time"

// Document is the operators' document with its revision.
type Document struct {
	// Revision rises with each accepted edit. Zero: there is no document yet.
	Revision uint64 `json:"revision"`
	// Author says who applied it.
	Author string `json:"author"`
	// Applied is the time at which the edit was accepted.
	Applied time.Time `json:"applied"`
	// Text is the document in INI form.
	Text string `json:"text"`
}

// Edit asks to replace the document.
type Edit struct {
	// Expect is the revision that the edit was made on. Another one in force is a conflict.
	Expect uint64 `json:"expect"`
	// Author says who asks.
	Author string `json:"author"`
	// Text is the new document in INI form.
	Text string `json:"text"`
}

// ApplyResult says where an accepted edit is in force.
type ApplyResult struct {
	Revision uint64 `json:"revision"`
	// InForce and Behind name instances.
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

// Status is what one instance knows of the whole system.
type Status struct {
	// Instance is the instance that answered.
	Instance string `json:"instance"`
	// Revision is the highest revision it knows of.
	Revision    uint64             `json:"revision"`
	Instances   []InstanceStatus   `json:"instances"`
	Dispatchers []DispatcherStatus `json:"dispatchers"`
	Placers     []PlacerStatus     `json:"placers"`
	Models      []ModelStatus      `json:"models"`
	Endpoints   []EndpointStatus   `json:"endpoints"`
	// Degraded lists what does not work as it should. Empty: all well.
	Degraded []Degradation `json:"degraded"`
}

// InstanceStatus is one instance.
type InstanceStatus struct {
	Name       string `json:"name"`
	Region     string `json:"region"`
	Datacentre string `json:"datacentre"`
	Address    string `json:"address"`
	Revision   uint64 `json:"revision"`
	State      State  `json:"state"`
}

// DispatcherStatus says who dispatches for an endpoint and how much.
type DispatcherStatus struct {
	Endpoint string `json:"endpoint"`
	Instance string `json:"instance"`
	Running  int    `json:"running"`
	Queued   int    `json:"queued"`
	// Wait is the predicted wait of a standard request, milliseconds.
	Wait int64 `json:"wait"`
}

// PlacerStatus says who places models in a data centre.
type PlacerStatus struct {
	Datacentre string `json:"datacentre"`
	// Instance is empty while nobody holds the lease.
	Instance string `json:"instance"`
	// Fence is the lease's fencing number.
	Fence uint64 `json:"fence"`
	// Lease is the time left, milliseconds. Zero: lapsed or unknown.
	Lease int64 `json:"lease"`
}

// ModelStatus says where a model is loaded.
type ModelStatus struct {
	Name string `json:"name"`
	// Wanted is the least number of copies that the document asks for.
	Wanted int `json:"wanted"`
	// Endpoints hold a copy that is lately seen serving.
	Endpoints []string `json:"endpoints"`
}

// EndpointStatus is one endpoint.
type EndpointStatus struct {
	Name       string   `json:"name"`
	Service    string   `json:"service"`
	Datacentre string   `json:"datacentre"`
	State      State    `json:"state"`
	Models     []string `json:"models"`
	// Memory and Free are bytes of accelerator memory.
	Memory int64 `json:"memory"`
	Free   int64 `json:"free"`
}

// Degradation is one thing that does not work as it should.
type Degradation struct {
	// Part names it, such as store, placer sask-1 or model matcher-a.
	Part string `json:"part"`
	Why  string `json:"why"`
	// Since is the time of the first sign.
	Since time.Time `json:"since"`
}

// ProfileReport compares one profile's requests of the last minutes with its targets.
type ProfileReport struct {
	Profile string `json:"profile"`
	Rank    string `json:"rank"`
	// Window is the longest time that the report looks back, milliseconds. Zero: to the start of the instance.
	Window int64 `json:"window"`
	// Requests counts all, Met those within target, Refused and Failed the rest by kind.
	Requests int64 `json:"requests"`
	Met      int64 `json:"met"`
	Refused  int64 `json:"refused"`
	Failed   int64 `json:"failed"`
	// Target and First are the target and the 95th percentile of the time to
	// the first token, milliseconds.
	Target           int64 `json:"target"`
	TimeToFirstToken int64 `json:"first"`
	// Why names the most frequent reason of refusals and failures.
	Why string `json:"why"`
}

// Attainment returns the share of requests within target, 1 when there were none.
func (r ProfileReport) Attainment() float64 {
	if r.Requests == 0 {
		return 1
	}
	return float64(r.Met) / float64(r.Requests)
}

// Explanation is what was decided for one request.
type Explanation struct {
	Request string `json:"request"`
	Profile string `json:"profile"`
	Model   string `json:"model"`
	// Outcome is ran, not-run or unknown; empty while the request runs.
	Outcome string `json:"outcome"`
	Steps   []Step `json:"steps"`
}

// Step is one decision on the way of a request.
type Step struct {
	Time time.Time `json:"time"`
	// Instance decided it.
	Instance string `json:"instance"`
	// Step names the stage, such as admit, route, dispatch or answer.
	Step string `json:"step"`
	// Peer is the instance, endpoint or service that it concerned.
	Peer string `json:"peer"`
	// Decision is what was decided, Why the reason.
	Decision string `json:"decision"`
	Why      string `json:"why"`
}

// DrainResult says how far an instance is with leaving.
type DrainResult struct {
	Instance string `json:"instance"`
	State    State  `json:"state"`
	// Running counts requests still in flight there.
	Running int `json:"running"`
}
