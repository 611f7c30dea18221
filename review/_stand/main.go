// Command stand plays the cases of the review: it starts the deployment's own program as separate
// processes on loopback, with stand-ins of the store, the runners and the requesters in this process.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) at(t time.Time) float64 { return t.Sub(r.begin).Seconds() }

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannot("listen: %v", err)
	}
	return l
}

var (
	cleanMu sync.Mutex
	clean   []func()
)

func atEnd(f func()) {
	cleanMu.Lock()
	defer cleanMu.Unlock()
	clean = append(clean, f)
}

func end(code int) {
	cleanMu.Lock()
	for _, f := range clean {
		f()
	}
	os.Exit(code)
}

func cannot(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	end(exitCannot)
}

var takenPorts = map[string]bool{}

// freeAddress returns a loopback address on which nothing listens, below the range from which the
// kernel takes ports for outgoing connections.
func freeAddress() string {
	for port := 20000 + os.Getpid()*89%11000; port < 32000; port++ {
		a := fmt.Sprintf("127.0.0.1:%d", port)
		if takenPorts[a] {
			continue
		}
		l, err := net.Listen("tcp", a)
		if err != nil {
			continue
		}
		_ = l.Close()
		takenPorts[a] = true
		return a
	}
	cannot("no free port")
	return ""
}

// instance is one process of the deployment.
type instance struct {
	name, zone                              string
	caller, directory, ready, peer, metrics string
	file                                    string
	cmd                                     *exec.Cmd
	exited                                  chan struct{}
	log                                     *os.File
}

// deployment is a small deployment: the store, runners and instances.
type deployment struct {
	dir       string
	record    *record
	store     *store
	runners   []*runner
	instances []*instance
	bounds    map[string]string
	zones     [][2]string // zone and region
}

func newDeployment(record *record, zones [][2]string, bounds map[string]string) *deployment {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		cannot("%v", err)
	}
	atEnd(func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		} else {
			fmt.Fprintln(os.Stderr, dir)
		}
	})
	d := &deployment{dir: dir, record: record, store: newStore(), bounds: bounds, zones: zones}
	return d
}

func (d *deployment) addInstances(zones ...string) {
	for i, z := range zones {
		n := &instance{name: fmt.Sprintf("front-%s-%d", z, i+1), zone: z}
		for _, a := range []*string{&n.caller, &n.directory, &n.ready, &n.peer, &n.metrics} {
			*a = freeAddress()
		}
		d.instances = append(d.instances, n)
	}
	atEnd(func() {
		for _, n := range d.instances {
			n.kill()
		}
	})
}

// settings fills in deploy/gateway.ini as the platform does.
func (d *deployment) settings(n *instance) string {
	text, err := os.ReadFile("deploy/gateway.ini")
	if err != nil {
		cannot("%v", err)
	}
	var seeds, places []string
	for _, o := range d.instances[:min(3, len(d.instances))] {
		seeds = append(seeds, o.peer)
	}
	region := ""
	for _, z := range d.zones {
		places = append(places, z[0]+":"+z[1])
		if z[0] == n.zone {
			region = z[1]
		}
	}
	values := map[string]string{
		"nodeName": n.name, "region": region, "zone": n.zone, "listen.front": n.caller, "listen.directory": n.directory,
		"listen.ready": n.ready, "listen.control": n.peer, "seeds": strings.Join(seeds, ","), "provider.address": d.store.address(),
	}
	for k, v := range d.bounds {
		values["bounds."+k] = v
	}
	// All instances share one address here, so that each has a port of its own for its metrics.
	out := strings.ReplaceAll(string(text), "{{ip}}:9464", n.metrics)
	out = regexp.MustCompile(`\{\{#zones\}\}.*\{\{/zones\}\}`).ReplaceAllString(out, strings.Join(places, ","))
	return regexp.MustCompile(`\{\{([A-Za-z.0-9]+)\}\}`).ReplaceAllStringFunc(out, func(m string) string { return values[m[2:len(m)-2]] })
}

func (d *deployment) start(n *instance) {
	n.file = filepath.Join(d.dir, n.name+".ini")
	if err := os.WriteFile(n.file, []byte(d.settings(n)), 0o600); err != nil {
		cannot("%v", err)
	}
	log, err := os.OpenFile(filepath.Join(d.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannot("%v", err)
	}
	n.log, n.exited = log, make(chan struct{})
	n.cmd = exec.Command("target/chiverampd", "gateway", "--config", n.file)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		cannot("start %s: %v", n.name, err)
	}
	d.record.logf("process %s is started", n.name)
	cmd, exited := n.cmd, n.exited
	go func() { _ = cmd.Wait(); close(exited) }()
}

func (n *instance) kill() {
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Kill()
	<-n.exited
}

func (n *instance) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + n.ready + "/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (d *deployment) awaitReady() time.Time {
	deadline := time.Now().Add(25 * time.Second)
	for _, n := range d.instances {
		for !n.isReady() {
			if time.Now().After(deadline) {
				cannot("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.record.logf("all %d processes are ready", len(d.instances))
	return time.Now()
}

func trouble() bool { return os.Getenv("TROUBLE") != "0" }

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(exitCannot)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case", os.Args[1])
		os.Exit(exitCannot)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannot)
	}
	r := &record{file: file, begin: time.Now()}
	timer := time.AfterFunc(118*time.Second, func() { cannot("it took too long") })
	defer timer.Stop()
	broken, summary := play(r)
	r.logf("%s", summary)
	fmt.Println(summary)
	if broken {
		end(exitBroken)
	}
	end(exitHeld)
}
