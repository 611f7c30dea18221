package main

import (
	"fmt"
	"sync"
	"time"
)

// holdCase: a burst of requests of a route with short pauses and a long target; one of two runners leaves
// while prompts wait for their turn at it.
func holdCase(r *record) (bool, string) {
	const (
		drainMs = 4 * time.Second
		extra   = time.Second // the runner serves on for that much longer, then exits
	)
	d := newDeployment(r, [][2]string{{"tema-yard", "south-ghana"}}, helmet())
	a := newRunner(d.store, r, "i-llm1", "matcher", "tema-yard", 24, "m0")
	b := newRunner(d.store, r, "i-llm2", "matcher", "tema-yard", 24, "m0")
	d.runners = []*runner{a, b}
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
	for i := range 140 {
		burst.Go(func() {
			time.Sleep(time.Duration(i) * 3 * time.Millisecond)
			q.send(d.instances[i%2].caller, "POST", "/digest/g", "audit", 15*time.Second, map[string]string{
				"Model": "m0", wire("tokens"): "3000,60", wire("parts"): fmt.Sprintf("%08x:3000", 0x91bd0000+i),
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

// cutCase: runners leave without a report of draining, as some do, while a watch of the store that waits is cut.
func cutCase(r *record) (bool, string) {
	const drainMs = 2500 * time.Millisecond
	d := newDeployment(r, guaibaZones, guaiba())
	for i := range 10 {
		d.runners = append(d.runners, newRunner(d.store, r, fmt.Sprintf("i-app%d", i+1), "board-app", "litoral-a", 6))
	}
	d.configure(1, "")
	d.addInstances("litoral-a")
	d.start(d.instances[0])
	d.awaitReady()
	time.Sleep(6 * time.Second)
	q := newRequester(r)
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	traffic.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			traffic.Go(func() {
				if i%2 == 0 {
					q.send(d.instances[0].caller, "POST", "/handover/g", "gloves", 2*time.Second, nil)
				} else {
					q.send(d.instances[0].caller, "GET", "/listing/g", "", 2*time.Second, nil)
				}
			})
		}
	})
	left := map[*runner]time.Time{}
	for _, n := range d.runners[:8] {
		time.Sleep(7 * time.Second)
		if trouble() {
			for range 4 {
				d.store.cutWatches()
				time.Sleep(100 * time.Millisecond)
			}
			r.logf("the watches that wait were cut four times within 0.4 s")
		}
		time.Sleep(20 * time.Millisecond)
		left[n] = n.leaveSilently()
		r.logf("the entry of %s is removed; it serves on", n.id)
	}
	time.Sleep(8 * time.Second)
	close(stop)
	traffic.Wait()
	late := 0
	for _, n := range d.runners {
		last, count := 0.0, 0
		for _, x := range n.reached() {
			at, ok := left[n]
			if !ok || !x.at.After(at) {
				continue
			}
			count++
			last = max(last, x.at.Sub(at).Seconds())
			if x.at.After(at.Add(drainMs)) {
				late++
				r.logf("request %s reached %s %.3f s after the store had removed it", x.id, n.id, x.at.Sub(at).Seconds())
			}
		}
		r.logf("%s: %d requests after its removal, the last %.3f s after it", n.id, count, last)
	}
	return late > 0, fmt.Sprintf("DRAIN: %d requests reached a runner later than drainMs (2.5 s) after the store had acknowledged that it is gone", late)
}
