// Command stand3 plays the cases of review/11 and review/12: it starts the instances of a small deployment with the
// command of the deploy file, and plays the store, the runners and the requesters.
//
//	stand3 CASE FOLDER    writes FOLDER/record.txt
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 it does the
// same without the disruption.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

var (
	record  *os.File
	started = time.Now()
	mu      sync.Mutex
	site    []*instance
	folder  string // of the settings
	// trouble is unset without the requests in question.
	trouble = os.Getenv("TROUBLE") != "0"
)

// note writes a line to the record, with the time since the start.
func note(format string, args ...any) {
	mu.Lock()
	defer mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(started).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = io.WriteString(record, line)
	_, _ = io.WriteString(os.Stdout, line)
}

// end ends all processes that were started, and exits.
func end(code int) {
	for _, n := range site {
		_ = n.process.Process.Kill()
	}
	for _, n := range site {
		_ = n.process.Wait()
	}
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// fail ends a case that couldn't run.
func fail(format string, args ...any) {
	note("couldn't run: "+format, args...)
	end(2)
}

// verdict ends a case.
func verdict(rule string, broken []string) {
	for _, b := range broken {
		note("%s broken: %s", rule, b)
	}
	if len(broken) > 0 {
		end(1)
	}
	note("%s held", rule)
	end(0)
}

// instance is one process of the system.
type instance struct {
	name, caller, directory, ready, peer string
	process                              *exec.Cmd
}

// lowestPort and ports give the ports of the instances' addresses, below those that the kernel gives to connections.
const lowestPort, ports = 12000, 18000

var taken = make(map[string]bool)

func freeAddress() string {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(ports))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		if taken[address] {
			continue
		}
		taken[address] = true
		return address
	}
	fail("no free address")
	return ""
}

// startSite starts three instances with the settings that deploy/gateway.ini gives a small deployment, and waits
// until they are ready.
func startSite(s *store) {
	var err error
	if folder, err = os.MkdirTemp("", "review"); err != nil {
		fail("temporary folder: %v", err)
	}
	var seeds []string
	zones := []string{"a", "b", "c"}
	for _, zone := range zones {
		n := &instance{name: "front-" + zone + "-1", caller: freeAddress(), directory: freeAddress(), ready: freeAddress(), peer: freeAddress()}
		site, seeds = append(site, n), append(seeds, n.peer)
	}
	for i, n := range site {
		region := "south"
		if i == 2 {
			region = "north"
		}
		file := filepath.Join(folder, n.name+".ini")
		text := fmt.Sprintf(`[instance]
name = %s
region = %s
datacentre = %s
[listen]
caller = %s
directory = %s
ready = %s
peer = %s
[peer]
seeds = %s
places = a:south,b:south,c:north
[store]
address = %s
[retry]
share = 0.2
extra = 58
window = 10s
[orders]
apart = 3000ms
window = 5s
over = 1.1
[drain]
grace = 8s
`, n.name, region, zones[i], n.caller, n.directory, n.ready, n.peer, strings.Join(seeds, ","), s.address)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			fail("settings: %v", err)
		}
		log, err := os.Create(filepath.Join(folder, n.name+".log"))
		if err != nil {
			fail("log: %v", err)
		}
		n.process = exec.Command("target/chiverampd", "gateway", "--config", file)
		n.process.Stdout, n.process.Stderr = log, log
		if err := n.process.Start(); err != nil {
			site = site[:i]
			fail("start: %v", err)
		}
	}
	for _, n := range site {
		for begin := time.Now(); !n.isReady(); time.Sleep(50 * time.Millisecond) {
			if time.Since(begin) > 20*time.Second {
				fail("%s is not ready", n.name)
			}
		}
	}
	time.Sleep(3 * time.Second)
	note("3 instances are ready")
}

func (n *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

var sent int

// answer is what a requester got.
type answer struct {
	id     string
	at     time.Time // when it was sent
	status int       // 0 for none
	body   string
}

// send sends a request on a connection of its own, with the request line as it is given.
func (n *instance) send(method, target, host string, header ...string) answer {
	sent++
	a := answer{id: fmt.Sprintf("%016x", 0x5eed0000+sent), at: time.Now()}
	conn, err := net.DialTimeout("tcp", n.caller, time.Second)
	if err != nil {
		a.body = err.Error()
		return a
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	body := ""
	if method == http.MethodPost {
		body = "body of " + a.id
	}
	lines := []string{method + " " + target + " HTTP/1.1", "Host: " + host, "Request-Id: " + a.id, wire("deadline") + ": 2000"}
	lines = append(lines, header...)
	if body != "" {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(body)))
	}
	_, _ = io.WriteString(conn, strings.Join(lines, "\r\n")+"\r\n\r\n"+body)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		a.body = err.Error()
		return a
	}
	text, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	a.status, a.body = response.StatusCode, string(text)
	return a
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "stand3 CASE FOLDER")
		os.Exit(2)
	}
	var err error
	if record, err = os.Create(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	cases := map[string]func(){"slashes": slashes, "encoded": encoded}
	play := cases[os.Args[1]]
	if play == nil {
		fail("no case %q", os.Args[1])
	}
	note("case %s, trouble %v", os.Args[1], trouble)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		fail("stopped")
	}()
	time.AfterFunc(110*time.Second, func() { fail("took too long") })
	play()
}
