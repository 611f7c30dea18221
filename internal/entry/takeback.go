package entry

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

const (
	// takeBackTimeout limits how long other instances are asked for requests that wait there.
	takeBackTimeout = time.Second
	// takeBackLimit is the maximum number of concurrent calls for this.
	takeBackLimit = 16
)

// hops are the first attempts at the dispatchers of other instances. It is safe for concurrent use.
type hops struct {
	mu      sync.Mutex
	current map[*hop]struct{}
}

type hop struct {
	address  string
	attempt  *peerpb.Resume
	deadline time.Time
}

// add adds an attempt and returns the function that removes it.
func (h *hops) add(address string, submit *peerpb.Submit, deadline time.Time) (remove func()) {
	added := &hop{
		address: address, deadline: deadline,
		attempt: &peerpb.Resume{Request: submit.Request, Attempt: submit.Attempt, Endpoint: submit.Endpoint},
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current == nil {
		h.current = make(map[*hop]struct{})
	}
	h.current[added] = struct{}{}
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.current, added)
	}
}

// due returns the attempts whose requests are refused as the instance leaves.
func (h *hops) due(s Shutdown) []*hop {
	h.mu.Lock()
	defer h.mu.Unlock()
	var due []*hop
	for hop := range h.current {
		if s.Refuses(hop.deadline) {
			due = append(due, hop)
		}
	}
	return due
}

// TakeBack has the dispatchers of other instances refuse the requests that wait there in queues and that this
// instance refuses as it leaves. Those that an endpoint has received run on.
func (g *Gateway) TakeBack(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, takeBackTimeout)
	defer cancel()
	var calls errgroup.Group
	calls.SetLimit(takeBackLimit)
	for _, hop := range g.hops.due(g.shutdown) {
		calls.Go(func() error {
			if err := g.peers.Withdraw(ctx, hop.address, hop.attempt); err != nil {
				g.decisions.Note(hop.attempt.Request, "withdraw", hop.address, err.Error())
			}
			return nil
		})
	}
	_ = calls.Wait()
}
