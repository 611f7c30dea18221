package peer

import (
	"context"
	"fmt"
	"slices"
	"time"

	"google.golang.org/grpc"

	"github.com/chiveramp/chiveramp/internal/core/beat"
	"github.com/chiveramp/chiveramp/internal/core/directory"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// HeartbeatStream is an open stream that sends heartbeats to one peer.
type HeartbeatStream struct {
	address string
	stream  grpc.ClientStreamingClient[peerpb.BeatRequest, peerpb.BeatReply]
	cancel  context.CancelFunc
}

// OpenHeartbeats opens a heartbeat stream. The context applies only to opening it; the stream
// lasts until it is closed or fails.
func (c *Client) OpenHeartbeats(ctx context.Context, address string) (*HeartbeatStream, error) {
	remote, err := c.stub(address)
	if err != nil {
		return nil, err
	}
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	stream, err := remote.Beats(streamCtx)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("open heartbeats to peer %s: %w", address, err)
	}
	return &HeartbeatStream{address: address, stream: stream, cancel: cancel}, nil
}

// Send sends one heartbeat. If the context ends first, the whole stream is cancelled.
func (h *HeartbeatStream) Send(ctx context.Context, r *peerpb.BeatRequest) error {
	stop := context.AfterFunc(ctx, h.cancel)
	defer stop()
	if err := h.stream.Send(r); err != nil {
		return fmt.Errorf("heartbeat to peer %s: %w", h.address, err)
	}
	return nil
}

// Close ends the stream.
func (h *HeartbeatStream) Close() { h.cancel() }

// ToHeartbeat converts a heartbeat to its wire form.
func ToHeartbeat(m beat.Message) *peerpb.BeatRequest {
	r := &peerpb.BeatRequest{Number: m.Number, Sequence: m.Sequence, Revision: m.Revision, Dropped: m.Dropped}
	if p := m.Peer; p != nil {
		r.Identity, r.Instance, r.Incarnation = true, string(p.Instance), p.Incarnation
		r.Region, r.Datacentre = string(p.Place.Region), string(p.Place.DataCentre)
		r.Peer, r.Caller, r.Leaving = p.Address, p.Caller, p.Leaving
	}
	for _, l := range m.Updates {
		r.Loads = append(r.Loads, toLoad(l))
	}
	return r
}

// ToSuspicions converts suspicions to their wire form.
func ToSuspicions(list []member.Suspicion) []*peerpb.Rumour {
	var wire []*peerpb.Rumour
	for _, r := range list {
		wire = append(wire, &peerpb.Rumour{
			Instance: string(r.Instance), Incarnation: r.Incarnation, Sequence: r.Sequence, By: string(r.By),
		})
	}
	return wire
}

// FromSuspicions converts suspicions from their wire form.
func FromSuspicions(wire []*peerpb.Rumour) []member.Suspicion {
	var list []member.Suspicion
	for _, r := range wire {
		list = append(list, member.Suspicion{
			Instance: fleet.Instance(r.Instance), Incarnation: r.Incarnation, Sequence: r.Sequence, By: fleet.Instance(r.By),
		})
	}
	return list
}

func toLoad(l beat.Update) *peerpb.Load {
	r := l.Report
	load := &peerpb.Load{
		Row: l.Row, Endpoint: string(r.Endpoint), Running: uint32(r.Running), Queued: uint32(r.Queued),
		Wait: uint32(r.PredictedWait.Milliseconds()), Leaving: r.Leaving, Serial: r.Serial, Incarnation: r.Incarnation,
		Down: r.Down, Loading: uint32(r.AdapterLoads), Full: l.Full, Adapted: toAdapterGroups(r.Adapters),
	}
	for _, m := range r.Drained {
		load.Drained = append(load.Drained, string(m))
	}
	for _, m := range r.Models {
		load.Models = append(load.Models, string(m))
	}
	return load
}

// FromHeartbeat converts a heartbeat from its wire form.
func FromHeartbeat(r *peerpb.BeatRequest) beat.Message {
	m := beat.Message{Number: r.Number, Sequence: r.Sequence, Revision: r.Revision, Dropped: r.Dropped}
	if r.Identity {
		m.Peer = &member.Peer{
			Instance: fleet.Instance(r.Instance), Incarnation: r.Incarnation,
			Place:   fleet.Place{Region: fleet.Region(r.Region), DataCentre: fleet.DataCentre(r.Datacentre)},
			Address: r.Peer, Caller: r.Caller, Leaving: r.Leaving,
		}
	}
	for _, l := range r.Loads {
		m.Updates = append(m.Updates, beat.Update{Row: l.Row, Full: l.Full, Report: fromLoad(l)})
	}
	return m
}

func fromLoad(l *peerpb.Load) directory.Report {
	r := directory.Report{
		Endpoint: fleet.Endpoint(l.Endpoint), Incarnation: l.Incarnation, Running: int(l.Running),
		Queued: int(l.Queued), PredictedWait: time.Duration(l.Wait) * time.Millisecond,
		Leaving: l.Leaving, Serial: l.Serial, Down: l.Down, AdapterLoads: int(l.Loading),
		Adapters: fromAdapterGroups(l.Adapted),
	}
	for _, m := range l.Drained {
		r.Drained = append(r.Drained, fleet.Model(m))
	}
	if l.Full {
		r.Models = make([]fleet.Model, 0, len(l.Models))
	}
	for _, m := range l.Models {
		r.Models = append(r.Models, fleet.Model(m))
	}
	return r
}

// toAdapterGroups groups adapters by model; the list must be sorted by model.
func toAdapterGroups(list []directory.AdapterKey) []*peerpb.Adapted {
	var groups []*peerpb.Adapted
	for _, a := range list {
		if len(groups) == 0 || groups[len(groups)-1].Model != string(a.Model) {
			groups = append(groups, &peerpb.Adapted{Model: string(a.Model)})
		}
		last := groups[len(groups)-1]
		last.Adapters = append(last.Adapters, string(a.Adapter))
	}
	return groups
}

func fromAdapterGroups(groups []*peerpb.Adapted) []directory.AdapterKey {
	var list []directory.AdapterKey
	for _, g := range groups {
		for _, name := range g.Adapters {
			list = append(list, directory.AdapterKey{Model: fleet.Model(g.Model), Adapter: fleet.Adapter(name)})
		}
	}
	slices.SortFunc(list, directory.AdapterKey.Compare)
	return list
}
