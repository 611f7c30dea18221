package main

import (
	_ "embed"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// crash ends the runner as a process that crashes: connections are reset, nothing listens any more.
func (n *runner) crash() {
	n.mu.Lock()
	n.gone = true
	n.mu.Unlock()
	_ = n.server.Close()
}

// poisonCase: the one runner that has a model goes down and up by turns for some seconds. A sound request for that
// model comes again and again, as from a monitor.
func poisonCase(r *record) (bool, string) {
	const (
		period   = 1400 * time.Millisecond // of the runner's going down and up
		flapping = 6500 * time.Millisecond
		pollEach = 200 * time.Millisecond
	)
	d := newDeployment(r, guaibaZones, guaiba())
	newEngine := func(i, start int, model string) *runner {
		n := newRunner(d.store, r, fmt.Sprintf("i-llm%d-%d", i, start), "matcher", guaibaZones[i%3][0], 64, model)
		n.mu.Lock()
		n.events, n.eventGap = 58, 40*time.Millisecond
		n.mu.Unlock()
		return n
	}
	flapper := newEngine(0, 1, "m0")
	for i := 1; i < 10; i++ {
		newEngine(i, 1, "m1")
	}
	d.configure(1, chatRoute)
	d.addInstances("litoral-a", "serra-a", "litoral-b")
	for _, n := range d.instances {
		d.start(n)
	}
	d.awaitReady()
	time.Sleep(4 * time.Second)
	q := newRequester(r)
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	send := func(i int, model, body string) {
		traffic.Go(func() {
			q.send(d.instances[i%3].caller, "POST", "/chat/g", body, 15*time.Second, map[string]string{"Model": model, wire("tokens"): "800,290", wire("parts"): fmt.Sprintf("5c1e07a2:200,%08x:600", i)})
		})
	}
	traffic.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(pollEach):
			}
			send(i, "m0", "is my glove there?")
			send(i+1, "m1", fmt.Sprintf("a red glove, %d", i))
		}
	})
	time.Sleep(8 * time.Second)
	if trouble() {
		n := flapper
		for start, began := 2, time.Now(); time.Since(began) < flapping; start++ {
			n.crash()
			r.logf("%s crashes", n.id)
			old := n.id
			time.AfterFunc(expiry, func() { d.store.remove(wire("entries") + old) })
			time.Sleep(period / 2)
			n = newEngine(0, start, "m0")
			r.logf("it is back as %s", n.id)
			time.Sleep(period / 2)
		}
		r.logf("%s stays up from here on", n.id)
	} else {
		time.Sleep(flapping)
	}
	time.Sleep(25 * time.Second)
	close(stop)
	traffic.Wait()
	denied, all, counts := 0, 0, map[string]int{}
	for _, x := range q.answers() {
		all++
		if x.err == nil && x.status == http.StatusBadRequest && x.seal == "" {
			denied++
		}
		if x.err != nil {
			counts["not complete"]++
		} else {
			counts[fmt.Sprint(x.status)]++
		}
		r.logf("request %s sent at %.3f, ended after %.3f s: %s %s", x.id, r.at(x.sent), x.took.Seconds(), x, refusal(x))
	}
	bound := 5 + all/500
	return denied > bound, fmt.Sprintf("DENIED: %d of %d sound requests were ended with a 400 of the instances' own (allowed: %d); answers %v", denied, all, bound, counts)
}

func refusal(a answer) string {
	if a.seal == "" {
		return a.body
	}
	return ""
}

// chatRoute is citizen-chat of the lost glove board.
//
//go:embed chat.json
var chatRoute string
