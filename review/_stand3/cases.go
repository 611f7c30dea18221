package main

import (
	"fmt"
	"strconv"
	"time"
)

const host = "ficu95.example"

// slashes sends requests whose path begins with two slashes, as those of requesters do that join a base address which
// ends in a slash with a path. The only route has the prefix "/".
func slashes() {
	s := newStore()
	s.put(wire("configuration"), configuration("slashes"))
	rs := &runners{store: s}
	rs.start("i-1", "board", "a")
	rs.start("i-2", "board", "c")
	startSite(s, "")
	begin := "/"
	if trouble {
		begin = "//"
	}
	var broken []string
	for i := range 12 {
		target := fmt.Sprintf("%shandover/%d?desk=%d", begin, i, i)
		a := site[i%3].send("POST", target, host)
		note("sent POST %s, Host %s, as %s to %s: status %d", target, host, a.id, site[i%3].name, a.status)
		for _, r := range rs.of(a.id) {
			note("  run by %s: %s %s, Host %s", r.runner, r.method, r.target, r.host)
			if r.target != target || r.host != host {
				broken = append(broken, fmt.Sprintf("request %s was sent as POST %s to %s and ran as %s %s of %s", a.id, target, host, r.method, r.target, r.host))
			}
		}
		if len(rs.of(a.id)) == 0 {
			note("  not run")
		}
	}
	verdict("UNASKED", broken)
}

// encoded sends requests whose path doesn't begin with the prefix of one route, but would if it were decoded: they
// belong to the other route, of another service.
func encoded() {
	s := newStore()
	s.put(wire("configuration"), configuration("encoded"))
	rs := &runners{store: s}
	rs.start("i-1", "lobby", "a")
	rs.start("i-2", "board", "c")
	startSite(s, "")
	begin := "/files"
	if trouble {
		begin = "/files%2F"
	}
	var broken []string
	for i := range 12 {
		target := fmt.Sprintf("%s%d", begin, i)
		a := site[i%3].send("POST", target, host)
		note("sent POST %s as %s to %s: status %d", target, a.id, site[i%3].name, a.status)
		for _, r := range rs.of(a.id) {
			note("  run by %s of %s as %s", r.runner, r.service, r.target)
			if r.service != "board" {
				broken = append(broken, fmt.Sprintf("request %s, POST %s, begins with the prefix of the route to board alone and was run by %s", a.id, target, r.service))
			}
		}
	}
	verdict("ROUTE", broken)
}

const revocation = 5 * time.Second

// keyed returns a configuration in which a workspace has keys.
func keyed(version int, keys string) []byte {
	return configuration("keyed", "VERSION", strconv.Itoa(version), "KEYS", keys)
}

// revoked takes a key away while watches hear nothing for a second; then the history is dropped, the watches are cut,
// and the store is down for 4.5 s.
func revoked() {
	s := newStore()
	s.put(wire("configuration"), keyed(1, `"k-old","k-new"`))
	rs := &runners{store: s}
	rs.start("i-1", "board", "a")
	rs.start("i-2", "board", "c")
	startSite(s, "[workspaces]\nstrict = true\nrevoke = 05000ms\n")
	for _, n := range site {
		if a := n.send("GET", "/look/1", host, "Key: k-old"); a.status != 200 {
			fail("%s answers %d to the key before it is taken away", n.name, a.status)
		}
	}
	if plays("deaf") {
		s.setDeaf()
		note("the store's watches hear nothing for 1 s")
	}
	time.Sleep(20 * time.Millisecond)
	s.put(wire("configuration"), keyed(2, `"k-new"`))
	acknowledged := time.Now()
	note("version 2, which takes the key k-old away, is acknowledged")
	time.AfterFunc(980*time.Millisecond, func() {
		if plays("deaf") {
			s.dropHistory()
			note("the store drops its history and cuts the watches")
		}
		if plays("down") {
			s.setBusy(true)
			note("the store is down (503) for 4.5 s")
		}
	})
	time.AfterFunc(980*time.Millisecond+4500*time.Millisecond, func() {
		if plays("down") {
			s.setBusy(false)
			note("the store is back")
		}
	})
	var broken []string
	for k := 0; ; k++ {
		since := time.Since(acknowledged)
		if since > 7*time.Second {
			break
		}
		n := site[k%3]
		a := n.send("GET", fmt.Sprintf("/look/%d", k), host, "Key: k-old")
		late := a.at.Sub(acknowledged)
		runs := rs.of(a.id)
		note("GET /look/%d with k-old as %s to %s, sent %.3f s after the acknowledgement: status %d, %d runs", k, a.id, n.name, late.Seconds(), a.status, len(runs))
		if len(runs) > 0 && late > revocation {
			broken = append(broken, fmt.Sprintf("request %s, sent %.3f s after the acknowledgement that took its key away, was run by %s", a.id, late.Seconds(), runs[0].runner))
		}
		time.Sleep(20 * time.Millisecond)
	}
	verdict("CONFIG", broken)
}
