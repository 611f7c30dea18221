package main

import (
	"fmt"
	"sync"
	"time"
)

// holdCase: a burst of requests of a route with short pauses and a long target; one of four runners leaves
// while prompts wait for their turn at it.
func holdCase(r *record) (bool, string) {
	const (
		drainMs = 4 * time.Second
		extra   = time.Second // the runner serves on for that much longer, then exits
	)
	d := newDeployment(r, [][2]string{{"tema-yard", "south-ghana"}}, helmet())
	a := newRunner(d.store, r, "i-llm1", "matcher", "tema-yard", 24, "m0")
	b := newRunner(d.store, r, "i-llm2", "matcher", "tema-yard", 24, "m0")
	d.runners = []*runner{a, b, newRunner(d.store, r, "i-llm3", "matcher", "tema-yard", 24, "m0"), newRunner(d.store, r, "i-llm4", "matcher", "tema-yard", 24, "m0")}
	for _, n := range d.runners {
		n.events, n.eventGap = 8, 60*time.Millisecond
	}
	d.configure(1, digestRoute)
	d.addInstances("tema-yard", "tema-yard")
	for _, n := range d.instances {
		d.start(n)
	}
	d.awaitReady()
	time.Sleep(4 * time.Second)
	q := newRequester(r)
	var burst sync.WaitGroup
	for i := range 360 {
		burst.Go(func() {
			time.Sleep(time.Duration(i) * time.Millisecond)
			q.send(d.instances[i%2].caller, "POST", "/digest/g", "audit", 15*time.Second, map[string]string{
				"Model": "m0", wire("tokens"): "2300,60", wire("parts"): fmt.Sprintf("%08x:2300", 0x91bd0000+i),
			})
		})
	}
	time.Sleep(500 * time.Millisecond)
	var acknowledged time.Time
	if trouble() {
		acknowledged = a.drain()
		r.logf("the store has accepted that %s is draining", a.id)
		time.Sleep(drainMs + extra)
		a.exit()
		r.logf("%s exits", a.id)
	}
	burst.Wait()
	late := 0
	for _, n := range d.runners {
		for _, x := range n.reached() {
			note := ""
			if n == a && !acknowledged.IsZero() && x.at.After(acknowledged.Add(drainMs)) {
				late++
				note = fmt.Sprintf(", %.3f s after the acknowledgement", x.at.Sub(acknowledged).Seconds())
			}
			r.logf("request %s reached %s at %.3f%s", x.id, n.id, r.at(x.at), note)
		}
	}
	counts := map[string]int{}
	for _, x := range q.answers() {
		r.logf("request %s sent at %.3f, %.3f s: %s", x.id, r.at(x.sent), x.took.Seconds(), x)
		switch {
		case x.err != nil:
			counts["not complete"]++
		default:
			counts[fmt.Sprint(x.status)]++
		}
	}
	return late > 0, fmt.Sprintf("DRAIN: %d requests reached the draining runner later than drainMs (4 s) after the acknowledgement; answers %v", late, counts)
}
