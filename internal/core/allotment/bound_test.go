package allotment_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/chiveramp/chiveramp/internal/core/allotment"
	"github.com/chiveramp/chiveramp/internal/coretest"
)

func TestMain(m *testing.M) { coretest.Main(m) }

// bound is what all instances together may spend in a window.
func bound(l allotment.Limit) float64 {
	return l.Burst + l.Rate*(window+allotment.PortionTime).Seconds()
}

// The bound holds under floods, whatever is delayed, lost, frozen, killed, started again or cut
// off, and whomever instances take for the owner.
func TestSumStaysWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := allotment.Limit{Rate: rapid.SampledFrom([]float64{20, 1000}).Draw(t, "rate"), Burst: rapid.SampledFrom([]float64{0, 30, 1000}).Draw(t, "burst")}
		n, parts := rapid.IntRange(1, 9).Draw(t, "instances"), rapid.IntRange(1, 2).Draw(t, "parts")
		s := newSim(rapid.Uint64().Draw(t, "seed"), n, parts, map[string]allotment.Limit{"w": limit})
		s.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
		s.maxDelay = time.Duration(rapid.SampledFrom([]int{0, 50, 900}).Draw(t, "delay")) * ms
		s.turn = time.Duration(rapid.SampledFrom([]int{0, 0, 700, 4000}).Draw(t, "turn")) * ms
		refunded := rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "refunded")
		for range rapid.IntRange(0, 8).Draw(t, "faults") {
			fault(t, s)
		}
		allowed := limit.Burst + limit.Rate*allotment.PortionTime.Seconds() + largestCost*float64(parts)
		watch(s, func(usable []float64, unspent float64) {
			for _, u := range usable {
				if u > 1.000001 {
					t.Fatalf("owners use %v times the allotment at %s", u, s.now)
				}
			}
			if unspent > allowed*1.000001 {
				t.Fatalf("%v unspent at %s, allowed %v", unspent, s.now, allowed)
			}
		})
		flood(s, rapid.SampledFrom([]float64{0.4, 4}).Draw(t, "times"), 25*time.Second, refunded)
		s.run(25 * time.Second)
		most := mostInWindow(s.spent["w"], 0)
		if allowed := bound(limit)*1.000001 + largestCost*float64(parts); most > allowed {
			t.Fatalf("%v spent in a window, allowed %v", most, allowed)
		}
	})
}

// watch calls check periodically with the part of the allotment that the owners of each part may
// use, and what is unspent with them and in portions. It looks at copies: a look at an account
// brings it up to date, which an owner doesn't do for accounts that nobody asks for.
func watch(s *sim, check func(usable []float64, unspent float64)) {
	s.at(s.now, func() {
		usable, unspent := make([]float64, s.parts), 0.0
		for _, n := range s.nodes {
			if n.down {
				continue
			}
			unspent += n.credit(s, "w").Credit(s.now)
			for part, b := range n.accounts {
				b = b.Clone()
				usable[part] += b.Usable(s.now)
				unspent += max(0, b.Credit(s.now, "w"))
			}
		}
		check(usable, unspent)
		s.at(s.now+watchInterval, func() { watch(s, check) })
	})
}

const watchInterval = 20 * ms

const largestCost = 20

// flood sends a number of times the rate to all instances.
func flood(s *sim, times float64, until time.Duration, refunded float64) {
	meanCost := largestCost / 2.0
	var next func()
	next = func() {
		s.request(s.nodes[s.random.IntN(len(s.nodes))], "w", 1+s.random.Float64()*(largestCost-1), refunded)
		pause := time.Duration(s.random.ExpFloat64() * meanCost / (times * s.limits["w"].Rate) * float64(time.Second))
		if s.now+pause < until {
			s.at(s.now+pause, next)
		}
	}
	s.at(0, next)
}

// fault schedules one fault of a kind that is drawn.
func fault(t *rapid.T, s *sim) {
	at := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "at")) * ms
	lasts := time.Duration(rapid.IntRange(1, 6000).Draw(t, "for")) * ms
	some := rapid.Uint32().Draw(t, "instances hit")
	hit := func(i int) bool { return some>>(i%32)&1 == 1 }
	each := func(do func(*node)) {
		for _, n := range s.nodes {
			if hit(n.id) {
				do(n)
			}
		}
	}
	switch rapid.SampledFrom([]string{"freeze", "kill", "leave", "cut", "one way"}).Draw(t, "kind") {
	case "freeze":
		s.at(at, func() { each(func(n *node) { s.freeze(n, lasts) }) })
	case "kill":
		s.at(at, func() { each(s.kill) })
		s.at(at+lasts, func() {
			each(func(n *node) {
				if n.down {
					s.restart(n)
				}
			})
		})
	case "leave":
		gone := time.Duration(rapid.IntRange(0, 3000).Draw(t, "gone after")) * ms
		s.at(at, func() { each(func(n *node) { s.leave(n, gone) }) })
		s.at(at+gone+lasts, func() {
			each(func(n *node) {
				if n.down {
					s.restart(n)
				}
			})
		})
	case "cut":
		s.at(at, func() { s.separated = func(a, b int) bool { return hit(a) != hit(b) } })
		s.at(at+lasts, func() { s.separated = func(int, int) bool { return false } })
	case "one way":
		s.at(at, func() { s.separated = func(a, b int) bool { return hit(a) && !hit(b) } })
		s.at(at+lasts, func() { s.separated = func(int, int) bool { return false } })
	}
}

// An owner that loses the shares loses its credit with them, though nobody asks for it meanwhile:
// another owner has granted the same allotment when the shares come back.
func TestReturningOwnerHasNoOldCredit(t *testing.T) {
	const (
		// The first owner has the shares, then the second one, then the first one again. A share
		// goes to another owner only after its lease and what was granted on it have ended.
		lostAt = 20 * time.Second
		backAt = 40 * time.Second
		gap    = allotment.LeaseTime + allotment.PortionTime
		asksAt = backAt - 4*time.Second
		ends   = backAt + 4*time.Second
	)
	limit := allotment.Limit{Rate: 10, Burst: 100}
	for _, earlier := range []time.Duration{0, 5 * time.Second} {
		t.Run(fmt.Sprint("asked at ", earlier), func(t *testing.T) {
			first, second := allotment.NewAccounts(0, "first"), allotment.NewAccounts(0, "second")
			first.SetLimits(0, map[string]allotment.Limit{"w": limit})
			second.SetLimits(0, map[string]allotment.Limit{"w": limit})
			var all []spent
			for now := 100 * ms; now < ends; now += 100 * ms {
				owner, until := first, lostAt
				switch {
				case now >= backAt:
					until = ends
				case now >= lostAt:
					owner, until = second, backAt
				}
				if now < until-gap {
					owner.Lend(now, allotment.Offer{Lender: "i", Share: 1, Stamp: owner.Stamp(now)})
				}
				if now < asksAt && now != earlier {
					continue
				}
				for owner.Grant(now, "i", allotment.Want{Workspace: "w", Amount: 5, Min: 5, Urgent: true}).Amount > 0 {
					all = append(all, spent{now, 5})
				}
			}
			assert.LessOrEqual(t, mostInWindow(all, 0), bound(limit)*1.000001)
			assert.Positive(t, total(all, backAt, ends), "the first owner grants again")
		})
	}
}

// A workspace whose callers use one instance, all of them, or move between them gets nearly its
// whole rate, though some instances are down.
func TestWholeRateIsUsable(t *testing.T) {
	limit := allotment.Limit{Rate: 1000, Burst: 1000}
	for _, way := range []string{wayOne, wayAll, wayMoving} {
		t.Run(way, func(t *testing.T) {
			s := newSim(1, 24, parts, map[string]allotment.Limit{"w": limit})
			s.at(6*time.Second, func() {
				for _, n := range s.nodes[20:] {
					s.kill(n)
				}
			})
			load(s, way, "w", 10, 1.5*limit.Rate, 25*time.Second)
			s.run(25 * time.Second)
			if got := total(s.spent["w"], 10*time.Second, 25*time.Second) / (15 * limit.Rate); got < 0.9 {
				t.Errorf("%.2f of the rate used", got)
			}
		})
	}
}
