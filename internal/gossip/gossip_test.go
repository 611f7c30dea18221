package gossip_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/allotment"
	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/origin"
	"github.com/chiveramp/chiveramp/internal/core/roster"
	"github.com/chiveramp/chiveramp/internal/core/transfer"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

type handler struct{ heartbeats chan *gossip.Heartbeat }

func (h handler) Heartbeat(_ context.Context, p *gossip.PackedHeartbeat) (*gossip.Ack, error) {
	b, err := p.Unpack()
	if err != nil {
		return nil, err
	}
	h.heartbeats <- b
	return &gossip.Ack{}, nil
}

func (handler) Fetch(_ context.Context, f *gossip.Fetch) (*gossip.FetchReply, error) {
	return &gossip.FetchReply{Catalog: []byte("text"), Roster: f.Roster + 1}, nil
}

func (handler) FetchCatalog(_ context.Context, f *gossip.FetchCatalog) (*gossip.CatalogPart, error) {
	return &gossip.CatalogPart{Part: transfer.Part{ID: f.Text, Size: f.Offset + 2, Offset: f.Offset, Data: []byte("ab")}}, nil
}

func (handler) PushCatalog(context.Context, *gossip.PushCatalog) (*gossip.PushReply, error) {
	return &gossip.PushReply{}, nil
}

func (handler) Ensure(_ context.Context, e *gossip.Ensure) (*gossip.EnsureReply, error) {
	return &gossip.EnsureReply{Refused: "no " + string(e.Adapter)}, nil
}

func (handler) Admit(_ context.Context, a *gossip.Admit) (*gossip.AdmitReply, error) {
	return &gossip.AdmitReply{Wait: a.Work, Refused: a.Work > a.Limit}, nil
}

func (handler) Portions(_ context.Context, p *gossip.Portions) (*gossip.PortionsReply, error) {
	reply := &gossip.PortionsReply{Stamp: p.Offer.Stamp}
	for _, w := range p.Wants {
		reply.Grants = append(reply.Grants, allotment.Grant{Workspace: w.Workspace, ID: 1 << 63, Amount: w.Amount})
	}
	return reply, nil
}

func (handler) HandOver(_ context.Context, h *gossip.HandOver) (*gossip.HandOverReply, error) {
	return &gossip.HandOverReply{Stamp: h.Handover.Stamp, Taken: len(h.Handover.Shares) == 1}, nil
}

func (handler) Origins(_ context.Context, o *gossip.Origins) (*gossip.OriginsReply, error) {
	return &gossip.OriginsReply{}, nil
}

func (handler) Relay(ctx context.Context, r *gossip.Relay) (net.Conn, error) {
	switch r.Endpoint {
	case "refused":
		return nil, gossip.ErrRelayRefused
	case "unknown":
		return nil, gossip.ErrRelayUnreachable
	case "busy":
		return nil, gossip.ErrRelayBusy
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", string(r.Endpoint))
}

func (handler) FindOrigin(_ context.Context, f *gossip.FindOrigin) (*gossip.FindOriginReply, error) {
	return &gossip.FindOriginReply{Known: true, Software: fleet.Software(f.ID), Versions: []fleet.Software{"1", "2"}}, nil
}

func TestMessagesRoundTripOverGRPC(t *testing.T) {
	h := handler{heartbeats: make(chan *gossip.Heartbeat, 1)}
	server := gossip.NewServer(h)
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var group errgroup.Group
	group.Go(func() error { return server.Serve(l) })
	t.Cleanup(server.Stop)
	client := gossip.NewClient()
	t.Cleanup(client.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	sent := &gossip.Heartbeat{
		Place: fleet.Place{Region: "south", DataCentre: "a"}, Ready: true, Catalog: 7,
		Loads:   map[fleet.Endpoint]balance.Load{"p": {Running: 2, Pending: [3]time.Duration{1, 2, 3}}},
		Uses:    []balance.Use{{Endpoint: "p", Model: "m", Adapter: "x"}},
		Reports: []gossip.Report{{Endpoint: "p", Age: time.Second, Report: roster.Report{Seq: 4, Models: []roster.Holding{{Model: "m", Adapters: []fleet.Adapter{"x"}}}}}},
		Leaving: []gossip.Incarnation{{Endpoint: "q", Born: 17}},
	}
	packed, err := gossip.Pack(sent)
	require.NoError(t, err)
	_, err = client.Heartbeat(ctx, l.Addr().String(), packed)
	require.NoError(t, err)
	got := <-h.heartbeats
	got.Reports[0].Report.Taken = sent.Reports[0].Report.Taken // decoding a zero time changes its location
	assert.Equal(t, sent.Loads, got.Loads)
	assert.Equal(t, sent.Uses, got.Uses)
	assert.Equal(t, sent.Reports, got.Reports)
	assert.Equal(t, sent.Leaving, got.Leaving)
	known, err := client.Fetch(ctx, l.Addr().String(), &gossip.Fetch{Roster: 3})
	require.NoError(t, err)
	assert.Equal(t, int64(4), known.Roster)
	id := transfer.ID{Version: 7, Base: 3, Digest: 1 << 63}
	part, err := client.FetchCatalog(ctx, l.Addr().String(), &gossip.FetchCatalog{Have: 3, Text: id, Offset: 5})
	require.NoError(t, err)
	assert.Equal(t, transfer.Part{ID: id, Size: 7, Offset: 5, Data: []byte("ab")}, part.Part)
	stamp := allotment.Stamp{Incarnation: "i", At: time.Hour + 1}
	portions, err := client.Portions(ctx, l.Addr().String(), &gossip.Portions{Offer: allotment.Offer{Stamp: stamp}, Wants: []allotment.Want{{Workspace: "w", Amount: 0.25}}})
	require.NoError(t, err)
	assert.Equal(t, &gossip.PortionsReply{Stamp: stamp, Grants: []allotment.Grant{{Workspace: "w", ID: 1 << 63, Amount: 0.25}}}, portions)
	handed, err := client.HandOver(ctx, l.Addr().String(), &gossip.HandOver{Handover: allotment.Handover{Stamp: stamp, Shares: []allotment.HandedShare{{Share: 1}}}})
	require.NoError(t, err)
	assert.Equal(t, &gossip.HandOverReply{Stamp: stamp, Taken: true}, handed)
	_, err = client.Origins(ctx, l.Addr().String(), &gossip.Origins{Streams: []origin.Stream{{Service: "s", ID: "r1", Software: "1"}}})
	require.NoError(t, err)
	found, err := client.FindOrigin(ctx, l.Addr().String(), &gossip.FindOrigin{Service: "s", ID: "r1"})
	require.NoError(t, err)
	assert.Equal(t, &gossip.FindOriginReply{Known: true, Software: "r1", Versions: []fleet.Software{"1", "2"}}, found)
	client.Reset(l.Addr().String())
	reply, err := client.Ensure(ctx, l.Addr().String(), &gossip.Ensure{Adapter: "x"})
	require.NoError(t, err, "the client reconnects after Reset")
	assert.Equal(t, "no x", reply.Refused)
}

func TestMalformedHeartbeatsAreErrors(t *testing.T) {
	for _, text := range []string{"", "nonsense", "\x01\x00"} {
		_, err := (&gossip.PackedHeartbeat{Data: []byte(text)}).Unpack()
		assert.Error(t, err, "%q", text)
	}
}
