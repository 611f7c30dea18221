package command

import (
	"context"
	"fmt"
	"time"

	"github.com/chiveramp/chiveramp/internal/operator"
)

var startTime = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

// fakeBackend is a system of three instances. An instance in behindCalls loads a new
// document only after that number of status calls.
type fakeBackend struct {
	document        operator.Document
	behindCalls     map[string]int
	lost            map[string]bool
	statusCalls     int
	applyErr        error
	applyDespiteErr bool // an edit takes effect although Apply returns applyErr
	explanations    map[string]operator.Explanation
	reports         []operator.ProfileReport
	degraded        []operator.Degradation
	draining        map[string]bool
}

func newFakeBackend() *fakeBackend {
	return &fakeBackend{behindCalls: map[string]int{}, lost: map[string]bool{}, explanations: map[string]operator.Explanation{}, draining: map[string]bool{}}
}

func (f *fakeBackend) Document(context.Context) (operator.Document, error) {
	if f.document.Revision == 0 {
		return operator.Document{}, fmt.Errorf("read: %w", operator.ErrNotFound)
	}
	return f.document, nil
}

func (f *fakeBackend) Apply(_ context.Context, e operator.Edit) (operator.ApplyResult, error) {
	if f.applyErr != nil && !f.applyDespiteErr {
		return operator.ApplyResult{}, f.applyErr
	}
	if e.Expect != f.document.Revision {
		return operator.ApplyResult{}, &operator.ConflictError{Expected: e.Expect, Revision: f.document.Revision, Author: f.document.Author}
	}
	f.document = operator.Document{Revision: e.Expect + 1, Author: e.Author, Applied: startTime, Text: e.Text}
	f.statusCalls = 0
	return operator.ApplyResult{Revision: f.document.Revision}, f.applyErr
}

func (f *fakeBackend) Status(context.Context) (operator.Status, error) {
	f.statusCalls++
	s := operator.Status{Instance: "litoral-1a", Revision: f.document.Revision, Degraded: f.degraded}
	for i, name := range []string{"litoral-1a", "litoral-2a", "serra-1a"} {
		s.Instances = append(s.Instances, f.instance(i, name))
	}
	s.Placers = []operator.PlacerStatus{
		{Datacentre: "litoral-1", Instance: "litoral-1a", Fence: 7, Lease: 8500},
		{Datacentre: "litoral-2"},
	}
	s.Dispatchers = []operator.DispatcherStatus{{Endpoint: "matcher-01", Instance: "litoral-1a", Running: 16, Queued: 3, Wait: 420}}
	s.Endpoints = []operator.EndpointStatus{
		{Name: "matcher-01", Service: "matcher", Datacentre: "litoral-1", State: operator.StateReady, Models: []string{"matcher-a"}, Memory: 80 << 30, Free: 12 << 30},
		{Name: "matcher-02", Service: "matcher", Datacentre: "litoral-2", State: operator.StateLost},
	}
	s.Models = []operator.ModelStatus{{Name: "matcher-a", Wanted: 2, Endpoints: []string{"matcher-01"}}, {Name: "matcher-b", Wanted: 1}}
	return s, nil
}

func (f *fakeBackend) instance(i int, name string) operator.InstanceStatus {
	dataCentres := []string{"litoral-1", "litoral-2", "serra-1"}
	regions := []string{"litoral-sul", "litoral-sul", "serra-gaucha"}
	v := operator.InstanceStatus{
		Name: name, Region: regions[i], Datacentre: dataCentres[i], Address: fmt.Sprintf("10.0.%d.1:7080", i),
		Revision: f.document.Revision, State: operator.StateReady,
	}
	if f.statusCalls <= f.behindCalls[name] && v.Revision > 0 {
		v.Revision--
	}
	if f.lost[name] {
		v.Revision, v.State = 1, operator.StateLost
	}
	if f.draining[name] {
		v.State = operator.StateLeaving
	}
	return v
}

func (f *fakeBackend) Profiles(context.Context) ([]operator.ProfileReport, error) {
	return f.reports, nil
}

func (f *fakeBackend) Explain(_ context.Context, request string) (operator.Explanation, error) {
	t, found := f.explanations[request]
	if !found {
		return operator.Explanation{}, fmt.Errorf("request %s: %w", request, operator.ErrNotFound)
	}
	return t, nil
}

func (f *fakeBackend) Drain(_ context.Context, instance string) (operator.DrainResult, error) {
	if instance == "serra-1a" {
		return operator.DrainResult{}, fmt.Errorf("drain instance %s: ask that instance itself: %w", instance, operator.ErrNotFound)
	}
	f.draining[instance] = true
	return operator.DrainResult{Instance: instance, State: operator.StateLeaving, Running: 4}, nil
}
