package node

import (
	"context"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/directory"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/operator"
	"github.com/chiveramp/chiveramp/internal/placer"
)

// degradationExpiry is the time after which a degradation that was not observed again counts
// as new.
const degradationExpiry = 5 * time.Minute

// Status implements operator.Backend.
func (b backend) Status(ctx context.Context) (operator.Status, error) {
	self := b.members.Self()
	status := operator.Status{Instance: string(self.Instance), Revision: self.Revision}
	for _, p := range readView(b.members, (*member.View).All) {
		status.Instances = append(status.Instances, b.instanceStatus(p))
		status.Revision = max(status.Revision, p.Revision)
	}
	for _, e := range b.directory.All() {
		status.Endpoints = append(status.Endpoints, endpointStatus(e))
		if d, ok := b.members.Dispatcher(e.Endpoint, e.Place); ok {
			status.Dispatchers = append(status.Dispatchers, dispatcherStatus(e, d))
		}
	}
	status.Models = b.modelStatus()
	status.Degraded = b.degraded(status)
	b.placerStatus(ctx, &status)
	return status, nil
}

func (n *Node) instanceStatus(p member.Peer) operator.InstanceStatus {
	state := operator.StateStarting
	found := readView(n.members, func(v *member.View) member.State {
		s, _ := v.State(p.Instance)
		return s
	})
	switch found {
	case member.StateLive:
		state = operator.StateReady
	case member.StateLeaving:
		state = operator.StateLeaving
	case member.StateSuspected, member.StateDead:
		state = operator.StateLost
	}
	return operator.InstanceStatus{
		Name: string(p.Instance), Region: string(p.Place.Region), Datacentre: string(p.Place.DataCentre),
		Address: p.Caller, Revision: p.Revision, State: state,
	}
}

func endpointStatus(e directory.Entry) operator.EndpointStatus {
	state := operator.StateReady
	switch {
	case e.Leaving:
		state = operator.StateLeaving
	case e.Report.Down:
		state = operator.StateLost
	case e.LastReported.IsZero():
		state = operator.StateStarting
	}
	return operator.EndpointStatus{
		Name: string(e.Endpoint), Service: e.Service, Datacentre: string(e.Place.DataCentre),
		State: state, Models: modelNames(e.Report.Models),
	}
}

func modelNames(models []fleet.Model) []string {
	list := make([]string, 0, len(models))
	for _, m := range models {
		list = append(list, string(m))
	}
	return list
}

func dispatcherStatus(e directory.Entry, d member.Peer) operator.DispatcherStatus {
	return operator.DispatcherStatus{
		Endpoint: string(e.Endpoint), Instance: string(d.Instance),
		Running: e.Report.Running, Queued: e.Report.Queued, Wait: e.Report.PredictedWait.Milliseconds(),
	}
}

// placerStatus adds the lease holders from the store, and the memory and lost orders that
// this instance's placer has recorded if it holds a lease.
func (n *Node) placerStatus(ctx context.Context, status *operator.Status) {
	holders, err := placer.Holders(ctx, n.store)
	if err != nil {
		status.Degraded = append(status.Degraded, n.degradation("store", err.Error()))
	}
	for _, h := range holders {
		status.Placers = append(status.Placers, operator.PlacerStatus{
			Datacentre: string(h.DataCentre), Instance: string(h.Instance), Fence: uint64(h.Fence),
		})
	}
	for _, e := range n.placer.Status().Endpoints {
		for i := range status.Endpoints {
			if status.Endpoints[i].Name == string(e.Endpoint) {
				status.Endpoints[i].Memory, status.Endpoints[i].Free = e.Memory, e.Free
			}
		}
	}
	for _, m := range n.placer.Status().Moves {
		if m.Stage == "lost" {
			part := "order for " + m.Item + " at endpoint " + string(m.Endpoint)
			status.Degraded = append(status.Degraded, n.degradation(part, "outcome unknown, its memory stays reserved"))
		}
	}
	for _, why := range n.placer.Status().Degraded {
		status.Degraded = append(status.Degraded, n.degradation("placer "+n.config.Instance.Datacentre, why))
	}
}

// degradation returns an entry for the status, with the time at which the problem was first
// observed.
func (n *Node) degradation(part, why string) operator.Degradation {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock()
	seen, ok := n.degradations[part]
	if !ok || now.Sub(seen.last) > degradationExpiry {
		seen.first = now
	}
	seen.last = now
	n.degradations[part] = seen
	return operator.Degradation{Part: part, Why: why, Since: seen.first}
}

// seenTimes is when a degradation was first and last observed.
type seenTimes struct {
	first time.Time
	last  time.Time
}

func (n *Node) modelStatus() []operator.ModelStatus {
	document, _ := n.Profiles()
	var list []operator.ModelStatus
	for _, m := range document.Models() {
		target, _ := document.Resolve(m.Name)
		status := operator.ModelStatus{Name: m.Name, Wanted: m.Copies, Endpoints: []string{}}
		n.directory.Each(target.LoadedModel(), "", func(e *directory.Entry) {
			status.Endpoints = append(status.Endpoints, string(e.Endpoint))
		})
		list = append(list, status)
	}
	return list
}

// degraded lists the current problems of the fleet, except those of placers and the store.
func (n *Node) degraded(s operator.Status) []operator.Degradation {
	list := []operator.Degradation{}
	for _, i := range s.Instances {
		if i.State == operator.StateLost {
			list = append(list, n.degradation("instance "+i.Name, "no heartbeat received"))
		}
	}
	for _, e := range s.Endpoints {
		if e.State == operator.StateLost {
			list = append(list, n.degradation("endpoint "+e.Name, "does not answer"))
		}
	}
	for _, m := range s.Models {
		if len(m.Endpoints) == 0 && len(n.remote.DataCentres(n.clock(), fleet.Model(m.Name), "")) == 0 {
			list = append(list, n.degradation("model "+m.Name, "no serving copy found"))
		}
	}
	list = append(list, n.unreachableServices()...)
	list = append(list, n.credentialStatus()...)
	if err := n.Ready(); err != nil {
		list = append(list, n.degradation("instance "+s.Instance, err.Error()))
	}
	return list
}

func (n *Node) unreachableServices() []operator.Degradation {
	var list []operator.Degradation
	document, _ := n.Profiles()
	for _, s := range document.Services() {
		served := false
		n.directory.Each("", s.Name, func(e *directory.Entry) { served = served || (!e.Leaving && !e.Report.Down) })
		if !served && len(n.remote.DataCentres(n.clock(), "", s.Name)) == 0 {
			list = append(list, n.degradation("service "+s.Name, "no serving endpoint found"))
		}
	}
	return list
}
