package main

import (
	_ "embed"
	"fmt"
	"sync"
	"time"
)

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(*record) (bool, string){
	"recover": recoverCase, "hold": holdCase, "poison": poisonCase,
}

// guaiba are the bounds of the lost glove board (SYSTEM.md).
func guaiba() map[string]string {
	return map[string]string{"budgetRatio": "0.2", wire("extra"): "58", "budgetWindowS": "10", "leaseMs": "3000", "ceilingWindowS": "5", wire("over"): "1.1", "graceS": "8"}
}

var guaibaZones = [][2]string{{"litoral-a", "litoral-sul"}, {"serra-a", "serra-gaucha"}, {"litoral-b", "litoral-sul"}}

//go:embed configuration.json.tmpl
var configuration string

func (d *deployment) configure(version int, more string) {
	if !d.store.put(wire("config"), fmt.Appendf(nil, configuration, version, more)) {
		cannot("the store does not take the configuration")
	}
	d.record.logf("configuration %d is acknowledged", version)
}

// recoverCase: all processes are killed right after a configuration is acknowledged and start again.
// Some seconds later the store is down for as long as the site file lets it be, entries of runners
// expire meanwhile, and the runners are back in it within two seconds of its return.
func recoverCase(r *record) (bool, string) {
	const (
		recoverS = 12 * time.Second
		down     = 8 * time.Second
		returnAt = 12600 * time.Millisecond // after the instances have started again
	)
	d := newDeployment(r, guaibaZones, guaiba())
	for i, z := range []string{"litoral-a", "serra-a", "litoral-b"} {
		d.runners = append(d.runners, newRunner(d.store, r, fmt.Sprintf("i-app%d", i+1), "board-app", z, 6), newRunner(d.store, r, fmt.Sprintf("i-llm%d", i+1), "matcher", z, 64, "m0"))
	}
	d.configure(1, "")
	d.addInstances("litoral-a", "litoral-a", "litoral-a", "litoral-a", "serra-a", "serra-a", "serra-a", "litoral-b", "litoral-b")
	for _, n := range d.instances {
		d.start(n)
	}
	d.awaitReady()
	time.Sleep(3 * time.Second)

	q := newRequester(r)
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	traffic.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			address := d.instances[i%len(d.instances)].caller
			traffic.Go(func() {
				switch i % 3 {
				case 0:
					q.send(address, "POST", "/handover/g", "gloves", 2*time.Second, nil)
				case 1:
					q.send(address, "GET", "/listing/g", "", 2*time.Second, nil)
				default:
					q.send(address, "POST", "/match/g", "a red glove", 5*time.Second, map[string]string{"Model": "m0", wire("tokens"): "300,20", wire("parts"): "5c1e07a2:200,91bd3f06:100"})
				}
			})
		}
	})
	time.Sleep(8 * time.Second)
	before := time.Now()
	d.configure(2, "")
	for _, n := range d.instances {
		n.kill()
	}
	r.logf("final fault: all processes are killed")
	time.Sleep(1400 * time.Millisecond)
	started := time.Now()
	for _, n := range d.instances {
		d.start(n)
	}
	back := d.awaitReady()
	time.Sleep(time.Until(started.Add(returnAt - down)))
	if trouble() {
		d.store.setDown(true)
		r.logf("the store is down")
		time.Sleep(down)
		d.store.setDown(false)
		r.logf("the store is back")
		back = time.Now().Add(2 * time.Second)
	} else {
		time.Sleep(down)
	}
	time.Sleep(time.Until(back.Add(recoverS)))
	from := time.Now()
	r.logf("from here on the requests count for RECOVER")
	time.Sleep(10 * time.Second)
	close(stop)
	traffic.Wait()
	sum := func(match func(answer) bool) (served, all int) {
		for _, a := range q.answers() {
			if match(a) {
				all++
				if a.served() {
					served++
				}
			}
		}
		return served, all
	}
	for _, a := range q.answers() {
		r.logf("request %s sent at %.3f: %s", a.id, r.at(a.sent), a)
	}
	servedBefore, allBefore := sum(func(a answer) bool { return a.sent.Before(before) })
	served, all := sum(func(a answer) bool { return a.sent.After(from) })
	listed := 0
	for _, n := range d.runners {
		n.mu.Lock()
		if time.Since(n.beatAt) < expiry {
			listed++
		}
		n.mu.Unlock()
	}
	if allBefore == 0 || servedBefore*4 < allBefore {
		cannot("%d of %d served before the final fault", servedBefore, allBefore)
	}
	return served*4 < all, fmt.Sprintf("RECOVER: served before the final fault %d of %d; sent later than recoverS after the machines and the store are back: %d of %d; runners in the store at the end: %d of %d", servedBefore, allBefore, served, all, listed, len(d.runners))
}
