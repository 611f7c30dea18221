package node

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
)

// relayTries is how many instances of another data centre are asked in turn.
const relayTries = 2

// asking asks one instance; with relay, that one asks the others of its data centre.
type asking[T any] func(ctx context.Context, address string, relay bool) (T, error)

// everywhere asks all other instances at once: those of the own data centre here, each
// other data centre through one of its instances, so that no instance connects to all.
// Who does not answer in time is left out.
func everywhere[T any](ctx context.Context, n *Node, ask asking[T]) []T {
	return gather(ctx, n, append(n.nearby(), n.relays()...), ask)
}

// near asks the others of the own data centre.
func near[T any](ctx context.Context, n *Node, ask asking[T]) []T {
	return gather(ctx, n, n.nearby(), ask)
}

// asked are instances of which one has to answer.
type asked struct {
	peers []member.Peer
	relay bool
}

func (n *Node) nearby() []asked {
	self := n.members.Self()
	var list []asked
	for _, p := range n.members.Live(self.Place.DataCentre) {
		if p.Instance != self.Instance {
			list = append(list, asked{peers: []member.Peer{p}})
		}
	}
	return list
}

func (n *Node) relays() []asked {
	centres := make(map[fleet.DataCentre][]member.Peer)
	for _, p := range n.members.Live("") {
		centres[p.Place.DataCentre] = append(centres[p.Place.DataCentre], p)
	}
	delete(centres, n.members.Self().Place.DataCentre)
	var list []asked
	for _, peers := range centres {
		list = append(list, asked{peers: peers[:min(len(peers), relayTries)], relay: true})
	}
	return list
}

func gather[T any](ctx context.Context, n *Node, list []asked, ask asking[T]) []T {
	answers := make([]T, len(list))
	var g errgroup.Group
	for i, a := range list {
		g.Go(func() error {
			answers[i] = first(ctx, n, a, ask)
			return nil
		})
	}
	_ = g.Wait()
	return answers
}

// first returns the first answer, the zero value without any.
func first[T any](ctx context.Context, n *Node, a asked, ask asking[T]) T {
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
