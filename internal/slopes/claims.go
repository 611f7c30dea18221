package slopes

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/claim"
	"github.com/chiveramp/chiveramp/internal/core/once"
	"github.com/chiveramp/chiveramp/internal/platform"
	"github.com/chiveramp/chiveramp/internal/platform/platformtest"
	consul "github.com/chiveramp/chiveramp/internal/platform/wire"
)

// answerBytes is the body of a recorded answer.
const answerBytes = 2 << 10

// storeDelay is the assumed latency of a write to the platform's service.
const storeDelay = 5 * time.Millisecond

// slowStore delays writes by storeDelay.
type slowStore struct {
	*platformtest.Fake
}

func (s slowStore) Swap(ctx context.Context, w platform.Write) (platform.Version, error) {
	time.Sleep(storeDelay)
	return s.Fake.Swap(ctx, w)
}

func (s slowStore) Commit(ctx context.Context, writes ...platform.Write) error {
	time.Sleep(storeDelay)
	return s.Fake.Commit(ctx, writes...)
}

// Claims measures the store writes and CPU time of claims that arrive at one instance at
// various rates.
func Claims(r *Report) error {
	zero := []Point{{Size: 0, Cost: 0}}
	writes := Series{Name: "claim writes a second", By: "claims a second", Unit: "calls", Points: zero}
	cpu := Series{Name: "claim cpu a second", By: "claims a second", Unit: "ns", Points: zero}
	for _, rate := range []int{10, 40, 100, 200, 400, 800, 1600} {
		calls, cost, err := claimsAt(rate)
		if err != nil {
			return fmt.Errorf("claims at %d a second: %w", rate, err)
		}
		writes.Points = append(writes.Points, Point{float64(rate), calls})
		cpu.Points = append(cpu.Points, Point{float64(rate), cost})
	}
	r.Add(writes)
	r.Add(cpu)
	if err := measureClaimEnds(r); err != nil {
		return err
	}
	return measureSweeps(r)
}

// measureSweeps measures the size of the store's reply, without headers, to the deletion of
// one shard of claims.
func measureSweeps(r *Report) error {
	replySize := Series{Name: "sweep reply bytes", By: "records in a shard", Unit: "B"}
	for _, n := range []int{500, 2000, 8000} {
		size, err := sweepReplyBytes(n)
		if err != nil {
			return fmt.Errorf("delete a shard of %d records: %w", n, err)
		}
		replySize.Points = append(replySize.Points, Point{float64(n), size})
	}
	r.Add(replySize)
	return nil
}

func sweepReplyBytes(records int) (size float64, err error) {
	ctx, store := context.Background(), platformtest.New()
	part := once.Partition{Period: 1, Shards: once.MinShards}
	for i := range records {
		if _, err := store.Swap(ctx, platform.Write{Key: fmt.Sprint(part.ShardPrefix(0), "orders/order-", i)}); err != nil {
			return 0, err
		}
	}
	ops := []consul.TxnOp{{KV: consul.TxnKV{Verb: consul.VerbDeleteTree, Key: part.ShardPrefix(0)}}}
	body, err := json.Marshal(ops)
	if err != nil {
		return 0, err
	}
	reply := httptest.NewRecorder()
	store.Server().Handler().ServeHTTP(reply, httptest.NewRequestWithContext(ctx, http.MethodPut, "/v1/txn", bytes.NewReader(body)))
	left, err := store.List(ctx, once.Prefix)
	if err != nil || len(left) > 0 {
		return 0, fmt.Errorf("%d records left: %w", len(left), err)
	}
	return float64(reply.Body.Len()), nil
}

// measureClaimEnds measures the store writes that record the outcomes of claims at one
// instance.
func measureClaimEnds(r *Report) error {
	writes := Series{Name: "claim end writes a second", By: "claim ends a second", Unit: "calls", Points: []Point{{Size: 0, Cost: 0}}}
	for _, rate := range []float64{0.05, 0.25, 0.5, 1, 2, 8} {
		calls, err := claimEndsAt(rate)
		if err != nil {
			return fmt.Errorf("finish claims at %.2f a second: %w", rate, err)
		}
		writes.Points = append(writes.Points, Point{rate, calls})
	}
	r.Add(writes)
	return nil
}

// claimEndsAt simulates one hour of claims that arrive at random times and finish
// immediately, and returns the writes per second beyond the claims themselves.
func claimEndsAt(rate float64) (writes float64, err error) {
	const settlePause = 2 * time.Second
	ctx, store, now := context.Background(), platformtest.New(), startTime
	claims := claim.New(store, claim.WithBatching(func() time.Duration { return claim.DefaultBatchDelay }, nil), claim.WithClock(func() time.Time { return now }))
	random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // a fixed seed is wanted
	next, count := startTime, 0
	for ; now.Before(startTime.Add(time.Hour)); now = now.Add(settlePause) {
		for ; next.Before(now); next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second))) {
			count++
			key := once.Key{Profile: "orders", Text: fmt.Sprint("order-", count)}
			decision, err := claims.Claim(ctx, key, once.Request{ID: key.Text, Fingerprint: 1, Deadline: now.Add(time.Minute)})
			if err != nil {
				return 0, err
			}
			if err := claims.Finish(ctx, key, decision.Claim, once.Answer{Status: 200, Body: make([]byte, answerBytes)}); err != nil {
				return 0, err
			}
		}
		if _, err := claims.Settle(ctx); err != nil {
			return 0, err
		}
	}
	return float64(store.Server().Calls().Writes()-uint64(count)) / time.Hour.Seconds(), nil
}

// claimsAt issues claims at a rate for one second and returns the store writes and the CPU
// time per second.
func claimsAt(rate int) (writes, cpu float64, err error) {
	const seconds = 1
	store := platformtest.New()
	claims := claim.New(slowStore{store}, claim.WithGroupCommit(1))
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	var group errgroup.Group
	before := cpuTime()
	for i := range rate * seconds {
		<-ticker.C
		group.Go(func() error {
			key := once.Key{Profile: "orders", Text: fmt.Sprint("order-", i)}
			_, err := claims.Claim(context.Background(), key, once.Request{ID: key.Text, Fingerprint: 1, Deadline: time.Now().Add(time.Minute)})
			return err
		})
	}
	err = group.Wait()
	return float64(store.Server().Calls().Writes()) / seconds, float64(cpuTime()-before) / seconds, err
}
