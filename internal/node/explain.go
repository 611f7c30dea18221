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
func (b backend) Explain(ctx context.Context, request string) (operator.Explanation, error) {
	result := operator.Explanation{Request: request}
	for _, s := range b.collectSteps(ctx, request) {
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
	reply := &peerpb.ExplainReply{Steps: n.localSteps(r.Request)}
	if r.Relay {
		reply.Steps = append(reply.Steps, slices.Concat(askDataCentre(ctx, n, n.askExplain(r.Request))...)...)
	}
	return reply, nil
}

// localSteps returns the steps of a request from the decision log of this instance.
func (n *Node) localSteps(request string) []*peerpb.Step {
	var list []*peerpb.Step
	for _, s := range n.decisions.Steps(request) {
		list = append(list, &peerpb.Step{
			Time: s.Time.UnixNano(), Instance: n.config.Instance.Name, Step: s.Step, Peer: s.Peer, Note: s.Note,
		})
	}
	return list
}

// collectSteps returns the steps of a request from all instances, oldest first.
func (n *Node) collectSteps(ctx context.Context, request string) []*peerpb.Step {
	steps := append(n.localSteps(request), slices.Concat(askAll(ctx, n, n.askExplain(request))...)...)
	slices.SortStableFunc(steps, func(a, b *peerpb.Step) int { return cmp.Compare(a.Time, b.Time) })
	return steps
}

// askExplain returns a function that requests the steps of a request from one instance.
func (n *Node) askExplain(request string) askFunc[[]*peerpb.Step] {
	return func(ctx context.Context, address string, relay bool) ([]*peerpb.Step, error) {
		reply, err := n.client.Explain(ctx, address, request, relay)
		return reply.GetSteps(), err
	}
}
