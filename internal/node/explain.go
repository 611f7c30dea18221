package node

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/operator"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// relayTries is how many instances of another data centre are asked in turn.
const relayTries = 2

// Explain implements operator.Backend: the own data centre is asked here, each other
// one through one of its instances, so that no instance connects to all.
func (n backend) Explain(ctx context.Context, request string) (operator.Trail, error) {
	result := operator.Trail{Request: request}
	for _, s := range n.explain(ctx, request) {
		result.Steps = append(result.Steps, operator.Step{
			Time: time.Unix(0, s.Time), Instance: s.Instance, Step: s.Step, Peer: s.Peer, Decision: s.Note,
		})
	}
	if len(result.Steps) == 0 {
		return result, fmt.Errorf("explain request %s: %w", request, operator.ErrNotFound)
	}
	for _, s := range result.Steps {
		switch s.Step {
		case "enter":
			result.Profile, result.Model = s.Decision, s.Peer
		case "end":
			result.Outcome, _, _ = strings.Cut(s.Decision, " ")
		}
	}
	return result, nil
}

// Explain implements peer.Handler.
func (n *Node) Explain(ctx context.Context, r *peerpb.ExplainRequest) (*peerpb.ExplainReply, error) {
	reply := &peerpb.ExplainReply{Steps: n.steps(r.Request)}
	if r.Relay {
		reply.Steps = append(reply.Steps, n.explainNear(ctx, r.Request)...)
	}
	return reply, nil
}

// steps returns what was decided here.
func (n *Node) steps(request string) []*peerpb.Step {
	var list []*peerpb.Step
	for _, s := range n.trail.Steps(request) {
		list = append(list, &peerpb.Step{
			Time: s.Time.UnixNano(), Instance: n.config.Instance.Name, Step: s.Step, Peer: s.Peer, Note: s.Note,
		})
	}
	return list
}

// explain returns the steps of all instances, oldest first.
func (n *Node) explain(ctx context.Context, request string) []*peerpb.Step {
	parts := make(chan []*peerpb.Step, 2)
	var g errgroup.Group
	g.Go(func() error {
		parts <- n.explainNear(ctx, request)
		return nil
	})
	g.Go(func() error {
		parts <- n.explainFar(ctx, request)
		return nil
	})
	_ = g.Wait()
	steps := slices.Concat(n.steps(request), <-parts, <-parts)
	slices.SortStableFunc(steps, func(a, b *peerpb.Step) int { return cmp.Compare(a.Time, b.Time) })
	return steps
}

// explainNear asks the others of the own data centre, all at once.
func (n *Node) explainNear(ctx context.Context, request string) []*peerpb.Step {
	self := n.members.Self()
	var asked [][]member.Peer
	for _, p := range n.members.Live(self.Place.DataCentre) {
		if p.Instance != self.Instance {
			asked = append(asked, []member.Peer{p})
		}
	}
	return n.ask(ctx, request, asked, false)
}

// explainFar asks each other data centre through one of its instances.
func (n *Node) explainFar(ctx context.Context, request string) []*peerpb.Step {
	centres := make(map[fleet.DataCentre][]member.Peer)
	for _, p := range n.members.Live("") {
		centres[p.Place.DataCentre] = append(centres[p.Place.DataCentre], p)
	}
	delete(centres, n.members.Self().Place.DataCentre)
	var asked [][]member.Peer
	for _, peers := range centres {
		asked = append(asked, peers[:min(len(peers), relayTries)])
	}
	return n.ask(ctx, request, asked, true)
}

// ask asks the first of each list that answers.
func (n *Node) ask(ctx context.Context, request string, lists [][]member.Peer, relay bool) []*peerpb.Step {
	found := make([][]*peerpb.Step, len(lists))
	var g errgroup.Group
	for i, peers := range lists {
		g.Go(func() error {
			found[i] = n.askFirst(ctx, request, peers, relay)
			return nil
		})
	}
	_ = g.Wait()
	return slices.Concat(found...)
}

func (n *Node) askFirst(ctx context.Context, request string, peers []member.Peer, relay bool) []*peerpb.Step {
	for _, p := range peers {
		asking, cancel := context.WithTimeout(ctx, n.config.Platform.Timeout)
		reply, err := n.client.Explain(asking, p.Address, request, relay)
		cancel()
		if err == nil {
			return reply.Steps
		}
	}
	return nil
}
