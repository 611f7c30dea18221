package main

import "fmt"

const host = "ficu95.example"

// slashes sends requests whose path begins with two slashes, as those of requesters do that join a base address which
// ends in a slash with a path. The only route has the prefix "/".
func slashes() {
	s := newStore()
	s.put(wire("configuration"), configuration("slashes"))
	rs := &runners{store: s}
	rs.start("i-1", "board", "a")
	rs.start("i-2", "board", "c")
	startSite(s)
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
	startSite(s)
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
