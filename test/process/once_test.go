package process

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/standin/platform"
	"github.com/chiveramp/chiveramp/internal/standin/service"
	"github.com/chiveramp/chiveramp/internal/switches"
)

// sendOrder sends one order with an idempotency key and returns the reply. A connection
// error counts as an unknown outcome.
func (dp *deployment) sendOrder(n *instance, key string) reply {
	r, err := sendRequest(dp.t.Context(), n.caller, "/services/order/kits", "one kit for "+key,
		"Chiveramp-Profile", "orders", "Idempotency-Key", key, "Chiveramp-Request", "r-"+key)
	if err != nil {
		return reply{outcome: "unknown"}
	}
	return r
}

// Guards against running an order twice when every instance receives it concurrently, and
// again after it ran. Without claims it runs more than once.
func TestOrderSentToEveryInstanceRunsOnce(t *testing.T) {
	for _, p := range withAndWithout(switches.Claim) {
		t.Run(p.name(), func(t *testing.T) {
			b := newSouthDeployment(t, p.disabled)
			b.orders.SetFaults(service.Faults{Delay: 50})
			for round := range 3 {
				key := fmt.Sprint("kit-", round)
				var group errgroup.Group
				for range 3 {
					for _, n := range b.instances {
						group.Go(func() error { b.sendOrder(n, key); return nil })
					}
				}
				_ = group.Wait()
			}
			if !p.holds {
				require.Greater(t, b.orders.Counts().Keys["kit-0"], 1)
				return
			}
			for round := range 3 {
				key := fmt.Sprint("kit-", round)
				require.Equal(t, 1, b.orders.Counts().Keys[key])
				again := b.sendOrder(b.instances[round], key)
				require.Equal(t, "ran", again.outcome, string(again.body))
				require.Equal(t, http.StatusOK, again.status)
				require.Equal(t, 1, b.orders.Counts().Keys[key])
			}
		})
	}
}

// Guards against running an order twice through retries: an instance is killed while orders
// are in flight and the service loses replies. Callers retry until the outcome is "ran".
func TestOrdersRunOnceWhenInstancesAreKilled(t *testing.T) {
	b := newSouthDeployment(t, "")
	b.orders.SetFaults(service.Faults{Delay: 30, ReplyLost: 3})
	const orders = 40
	var group errgroup.Group
	group.SetLimit(8)
	for i := range orders {
		if i == orders/2 {
			b.instances[1].signal(t, syscall.SIGKILL)
		}
		group.Go(func() error {
			key := fmt.Sprint("o-", i)
			for try := range 6 {
				if b.sendOrder(b.instances[(i+try)%3], key).outcome == "ran" {
					return nil
				}
				time.Sleep(100 * time.Millisecond)
			}
			return nil
		})
	}
	_ = group.Wait()
	counts := b.orders.Counts()
	require.GreaterOrEqual(t, len(counts.Keys), orders/2)
	for key, n := range counts.Keys {
		require.Equal(t, 1, n, "order %s", key)
	}
}

// Guards against running an order without a claim: while the store is down, orders are
// refused as not run and inference requests are still served.
func TestOrderIsNotRunWhileStoreIsDown(t *testing.T) {
	b := newSouthDeployment(t, "")
	b.platform.SetFaults(platform.Faults{Down: true})
	r := b.sendOrder(b.instances[0], "down")
	require.Equal(t, "not-run", r.outcome, string(r.body))
	require.Equal(t, "store-unavailable", r.errorCode())
	require.NotEmpty(t, r.header.Get("Retry-After"))
	require.Zero(t, b.orders.Counts().Total)
	b.requireChat(t, b.instances[1].caller, "chat", "matcher-a", "serving goes on", true)

	b.platform.SetFaults(platform.Faults{})
	b.eventually("order after the outage", func() bool { return b.sendOrder(b.instances[1], "down").outcome == "ran" })
	require.Equal(t, 1, b.orders.Counts().Keys["down"])
}

// Guards against treating a claim as lost to another instance when the store committed it
// but its reply was lost: the order must still run, and only once.
func TestOrderRunsOnceWhenClaimReplyIsLost(t *testing.T) {
	b := newSouthDeployment(t, "")
	for i := range 5 {
		b.platform.SetFaults(platform.Faults{LoseReply: 1})
		key := fmt.Sprint("lost-", i)
		b.eventually(key, func() bool { return b.sendOrder(b.instances[i%3], key).outcome == "ran" })
		require.Equal(t, 1, b.orders.Counts().Keys[key])
	}
}

// Guards against a false outcome "not-run": orders are sent concurrently and an instance is
// killed meanwhile; each outcome is compared with the runs that the service counted.
func TestNotRunOutcomeMeansOrderDidNotRun(t *testing.T) {
	b := newSouthDeployment(t, "")
	b.orders.SetFaults(service.Faults{Delay: 20})
	var group errgroup.Group
	group.SetLimit(32)
	var refused atomic.Int32
	for i := range 120 {
		if i == 60 {
			b.instances[2].signal(t, syscall.SIGKILL)
		}
		group.Go(func() error {
			key := fmt.Sprint("n-", i)
			r := b.sendOrder(b.instances[i%3], key)
			ran := b.orders.Counts().Keys[key]
			if r.outcome == "not-run" {
				refused.Add(1)
				if ran > 0 {
					return fmt.Errorf("order %s was reported as not run but ran: %s", key, r.body)
				}
			}
			return nil
		})
	}
	require.NoError(t, group.Wait())
	t.Logf("outcomes not run: %d", refused.Load())
	time.Sleep(200 * time.Millisecond)
	for key, n := range b.orders.Counts().Keys {
		require.Equal(t, 1, n, "order %s", key)
	}
}
