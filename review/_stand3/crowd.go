package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// bodyLimit and headLimit are limits of the configuration.
	bodyLimit, headLimit = 4 << 20, 16 << 10
	// crowdTime is how long the crowd is there.
	crowdTime = 8 * time.Second
)

// memory returns a value of an instance's memory in KiB, 0 if its process has ended.
func (n *instance) memory(name string) int64 {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Process.Pid))
	for line := range bytes.Lines(status) {
		if text, ok := bytes.CutPrefix(line, []byte(name+":")); ok {
			kilobytes, _ := strconv.ParseInt(strings.Fields(string(text))[0], 10, 64)
			return kilobytes
		}
	}
	return 0
}

// limitMemory ends an instance that exceeds the memory of its machine in KiB, as the platform does, and closes killed.
func (n *instance) limitMemory(machine int64) (killed <-chan struct{}) {
	over := make(chan struct{})
	go func() {
		for range time.Tick(2 * time.Millisecond) {
			if m := n.memory("VmRSS"); m > machine {
				_ = n.process.Process.Kill()
				note("%s has %d KiB resident, its machine has %d KiB: the platform kills it", n.name, m, machine)
				close(over)
				return
			}
		}
	}()
	return over
}

// kept is a requester that sends one request after the other on a connection that it keeps.
type kept struct {
	unanswered []string // ids of requests that ended with their connection, which had been answered before
	statuses   map[int]int
}

func (k *kept) run(name string, n *instance, done <-chan struct{}) {
	k.statuses = make(map[int]int)
	for i, conn := 0, net.Conn(nil); ; i++ {
		select {
		case <-done:
			return
		default:
		}
		answered := conn != nil
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", n.caller, time.Second); err != nil {
				return
			}
		}
		id := fmt.Sprintf("%s%012x", name, i)
		_ = conn.SetDeadline(time.Now().Add(7 * time.Second))
		_, _ = fmt.Fprintf(conn, "POST /register/%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n%s: 6000\r\nContent-Length: 4\r\n\r\ncase", i, host, id, wire("deadline"))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err != nil {
			if answered {
				k.unanswered = append(k.unanswered, id)
			}
			_ = conn.Close()
			conn = nil
			continue
		}
		k.statuses[response.StatusCode]++
		if response.Close {
			_ = conn.Close()
			conn = nil
		}
	}
}

// fields returns lines of different header fields with a total length.
func fields(length int) string {
	var text strings.Builder
	for n := 0; text.Len() < length; n++ {
		fmt.Fprintf(&text, "%x:\r\n", n)
	}
	return text.String()
}

// crowd has clients come at callers' address that don't behave. 130 of the site's 142 machines have 136 MB.
func crowd() {
	bear(136<<10, func(n *instance) (leave func()) {
		var conns []net.Conn
		come := func(count int, what string, send func(net.Conn)) {
			note("%d clients come: %s", count, what)
			for range count {
				conn, err := net.DialTimeout("tcp", n.caller, time.Second)
				if err != nil {
					return
				}
				conns = append(conns, conn)
				_ = conn.SetDeadline(time.Now().Add(2 * crowdTime))
				go send(conn)
			}
		}
		if plays("bodies") {
			body := make([]byte, bodyLimit-1)
			come(60, "a body of the largest size in one chunk, which stops one byte short of its end", func(c net.Conn) {
				_, _ = fmt.Fprintf(c, "POST /register/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", host, c.LocalAddr(), bodyLimit)
				_, _ = c.Write(body)
			})
		}
		if plays("heads") {
			come(1500, "a head of 15.5 KiB of short lines, without the last", func(c net.Conn) {
				text := fmt.Sprintf("POST /register/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n", host, c.LocalAddr())
				_, _ = io.WriteString(c, text+fields(headLimit-512-len(text)))
			})
		}
		return func() {
			for _, c := range conns {
				_ = c.Close()
			}
		}
	})
}

// bear has a crowd come to an instance whose machine has a memory in KiB, while others send ordinary requests.
func bear(machine int64, come func(n *instance) (leave func())) {
	s := newStore()
	s.put(wire("configuration"), configuration("crowd"))
	rs := &runners{store: s}
	rs.start("i-1", "board", "a")
	rs.start("i-2", "board", "b")
	rs.start("i-3", "board", "c")
	startSite(s, "")
	n, done := site[0], make(chan struct{})
	killed := n.limitMemory(machine)
	var group sync.WaitGroup
	callers := make([]kept, 16)
	for i := range callers {
		group.Go(func() { callers[i].run(fmt.Sprintf("%04x", i+1), n, done) })
	}
	time.Sleep(2 * time.Second)
	note("%s has %d KiB resident, of these %d anonymous", n.name, n.memory("VmRSS"), n.memory("RssAnon"))
	leave := func() {}
	if trouble {
		leave = come(n)
	}
	select {
	case <-killed:
		time.Sleep(300 * time.Millisecond)
	case <-time.After(crowdTime):
		note("%s has had %d KiB resident at most", n.name, n.memory("VmHWM"))
	}
	close(done)
	leave()
	group.Wait()
	var lost []string
	answered, statuses := 0, map[int]int{}
	for i := range callers {
		for status, count := range callers[i].statuses {
			answered, statuses[status] = answered+count, statuses[status]+count
		}
		for _, id := range callers[i].unanswered {
			if runs := rs.of(id); len(runs) > 0 {
				lost = append(lost, fmt.Sprintf("request %s, on a kept connection, was passed on to %s and ended without an answer", id, runs[0].runner))
			}
		}
	}
	note("%d ordinary requests were answered, by status %v; %d were passed on from kept connections and have no answer (3 are allowed)", answered, statuses, len(lost))
	if len(lost) <= 3 {
		lost = nil
	}
	verdict("LOST", lost)
}
