package node

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
)

// maxRelayAttempts is how many instances of another data centre are tried as relay, one
// after the other.
const maxRelayAttempts = 2

// askFunc queries one instance. With relay set, that instance also queries the others of its
// data centre.
type askFunc[T any] func(ctx context.Context, address string, relay bool) (T, error)

// askAll queries all other instances in parallel: those of the local data centre directly,
// each other data centre through one of its instances, so that no instance connects to all.
// Instances that do not answer in time leave a zero value.
func askAll[T any](ctx context.Context, n *Node, ask askFunc[T]) []T {
	return collectAnswers(ctx, n, append(n.localTargets(), n.relayTargets()...), ask)
}

// askDataCentre queries the other instances of the local data centre.
func askDataCentre[T any](ctx context.Context, n *Node, ask askFunc[T]) []T {
	return collectAnswers(ctx, n, n.localTargets(), ask)
}

// askTarget is a list of instances that are tried in turn until one answers.
type askTarget struct {
	peers []member.Peer
	relay bool
}

func (n *Node) localTargets() []askTarget {
	self := n.members.Self()
	var list []askTarget
	for _, p := range n.members.Live(self.Place.DataCentre) {
		if p.Instance != self.Instance {
			list = append(list, askTarget{peers: []member.Peer{p}})
		}
	}
	return list
}

func (n *Node) relayTargets() []askTarget {
	centres := make(map[fleet.DataCentre][]member.Peer)
	for _, p := range n.members.Live("") {
		centres[p.Place.DataCentre] = append(centres[p.Place.DataCentre], p)
	}
	delete(centres, n.members.Self().Place.DataCentre)
	var list []askTarget
	for _, peers := range centres {
		list = append(list, askTarget{peers: peers[:min(len(peers), maxRelayAttempts)], relay: true})
	}
	return list
}

func collectAnswers[T any](ctx context.Context, n *Node, targets []askTarget, ask askFunc[T]) []T {
	answers := make([]T, len(targets))
	var g errgroup.Group
	for i, a := range targets {
		g.Go(func() error {
			answers[i] = firstAnswer(ctx, n, a, ask)
			return nil
		})
	}
	_ = g.Wait()
	return answers
}

// firstAnswer returns the first answer, or the zero value if no instance answers.
func firstAnswer[T any](ctx context.Context, n *Node, a askTarget, ask askFunc[T]) T {
	for _, p := range a.peers {
		limited, cancel := context.WithTimeout(ctx, n.config.Platform.Timeout)
		answer, err := ask(limited, p.Address, a.relay)
		cancel()
		if err == nil {
			return answer
		}
	}
	var none T
	return none
}
