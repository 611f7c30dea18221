package main

import (
	_ "embed"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// digestRoute is the bulk route of the helmet logs' grown site: target 6,000 ms, pauses 200 ms.
//
//go:embed digest.json
var digestRoute string

// helmet are the bounds of the helmet logs' grown site.
func helmet() map[string]string {
	return map[string]string{"budgetRatio": "0.2", wire("extra"): "172", "budgetWindowS": "10", "leaseMs": "3000", "ceilingWindowS": "5", wire("over"): "1.1", "graceS": "8"}
}

// termCase: bulk work comes in lumps, whose prompts wait for their turn at two runners. One of two instances
// gets SIGTERM. Requesters that keep its address for three times ttlS send to it for under three seconds more.
func termCase(r *record) (bool, string) {
	const (
		graceS       = 8 * time.Second
		slack        = 200 * time.Millisecond // lossSlackMs
		lumpSize     = 140
		lumpInterval = 10 * time.Second
	)
	d := newDeployment(r, [][2]string{{"tema-yard", "south-ghana"}}, helmet())
	for i := range 2 {
		n := newRunner(d.store, r, fmt.Sprintf("i-llm%d", i+1), "matcher", "tema-yard", 24, "m0")
		n.events, n.eventGap = 8, 60*time.Millisecond
		d.runners = append(d.runners, n)
	}
	d.configure(1, digestRoute)
	d.addInstances("tema-yard", "tema-yard")
	for _, n := range d.instances {
		d.start(n)
	}
	d.awaitReady()
	time.Sleep(4 * time.Second)
	q := newRequester(r)
	var toFirst atomic.Bool
	toFirst.Store(true)
	sentTo := sync.Map{}
	var traffic sync.WaitGroup
	next, kept := 0, time.Time{}
	// lump sends a lump of bulk work, evenly to the addresses that the requesters use.
	lump := func() {
		r.logf("a lump of bulk work begins")
		for range lumpSize {
			next++
			to := d.instances[1]
			if next%2 == 0 && toFirst.Load() && (kept.IsZero() || time.Now().Before(kept)) {
				to = d.instances[0]
			}
			prompt := fmt.Sprintf("%08x:3000", 0x91bd0000+next)
			traffic.Go(func() {
				a := q.send(to.caller, "POST", "/digest/g", "audit", 15*time.Second, map[string]string{"Model": "m0", wire("tokens"): "3000,60", wire("parts"): prompt})
				sentTo.Store(a.id, to.name)
			})
			time.Sleep(3 * time.Millisecond)
		}
	}
	for range 2 {
		lump()
		time.Sleep(lumpInterval)
	}
	ttl, listed := resolve(d.instances[1].directory, "south-ghana", "tema-yard", d.instances[0].caller)
	r.logf("/resolve at %s: ttlS %.1f, %s is listed: %t", d.instances[1].name, ttl.Seconds(), d.instances[0].name, listed)
	// Some requesters keep a response for three times as long.
	kept = time.Now().Add(3 * ttl)
	if !listed {
		cannot("%s is not listed", d.instances[0].name)
	}
	var stopped time.Time
	if trouble() {
		stopped = time.Now()
		_ = d.instances[0].cmd.Process.Signal(syscall.SIGTERM)
		r.logf("%s gets SIGTERM", d.instances[0].name)
		go func() {
			<-d.instances[0].exited
			r.logf("%s has ended, %.3f s after SIGTERM", d.instances[0].name, time.Since(stopped).Seconds())
		}()
	}
	time.Sleep(2 * time.Second)
	lump()
	toFirst.Store(false)
	r.logf("requesters have a new response and don't use %s any more", d.instances[0].name)
	time.Sleep(graceS)
	traffic.Wait()
	reached := map[string]arrival{}
	for _, n := range d.runners {
		for _, x := range n.reached() {
			reached[x.id] = x
			r.logf("request %s reached %s at %.3f", x.id, n.id, r.at(x.at))
		}
	}
	lost, counts := 0, map[string]int{}
	for _, x := range q.answers() {
		to, _ := sentTo.Load(x.id)
		_, ran := reached[x.id]
		note := ""
		if x.err != nil && to == d.instances[0].name && !ran && x.took > slack && !stopped.IsZero() && x.sent.Add(x.took).Before(stopped.Add(graceS+time.Second)) {
			lost++
			note = fmt.Sprintf("; lost: sent %.3f s after SIGTERM, it reached no runner", x.sent.Sub(stopped).Seconds())
		}
		r.logf("request %s sent to %v at %.3f, ended after %.3f s: %s%s", x.id, to, r.at(x.sent), x.took.Seconds(), x, note)
		if x.err != nil {
			counts["not complete"]++
		} else {
			counts[fmt.Sprint(x.status)]++
		}
	}
	return lost > 0, fmt.Sprintf("LOST: %d requests that the stopping process had read ended without an answer and reached no runner; answers %v", lost, counts)
}
