package node

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/chiveramp/chiveramp/internal/operator"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// Explain implements operator.Backend.
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
		reply.Steps = append(reply.Steps, slices.Concat(near(ctx, n, n.askExplain(r.Request))...)...)
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
	steps := append(n.steps(request), slices.Concat(everywhere(ctx, n, n.askExplain(request))...)...)
	slices.SortStableFunc(steps, func(a, b *peerpb.Step) int { return cmp.Compare(a.Time, b.Time) })
	return steps
}

// askExplain returns how one instance is asked about a request.
func (n *Node) askExplain(request string) asking[[]*peerpb.Step] {
	return func(ctx context.Context, address string, relay bool) ([]*peerpb.Step, error) {
		reply, err := n.client.Explain(ctx, address, request, relay)
		return reply.GetSteps(), err
	}
}
