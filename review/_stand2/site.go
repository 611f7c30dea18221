package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	timeForm  = "15:04:05.000"
	readyTime = 30 * time.Second
	// maxSeeds is how many instances the settings name.
	maxSeeds = 3
)

// site is a small deployment: a store, instances of the system and runners, each a process on loopback.
type site struct {
	daemon, folder string
	store, control string
	instances      []*process
	all            []*process

	mu     sync.Mutex
	record *os.File
	next   int
}

// process is one that the case has started.
type process struct {
	name    string
	address string // where it takes requests
	ready   string // of an instance
	command *exec.Cmd
	ended   chan struct{}
}

// newSite starts a store and creates the record.
func newSite(daemon, folder string) (*site, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review2")
	if err != nil {
		return nil, err
	}
	s := &site{daemon: daemon, folder: temporary, record: record, store: freeAddress(), control: freeAddress()}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	if _, err := s.start("store", self, "store", s.store, s.control); err != nil {
		return s, err
	}
	return s, s.await("the store", func() bool { return listens(s.control) && listens(s.store) })
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func listens(address string) bool {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err == nil {
		_ = c.Close()
	}
	return err == nil
}

func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%s %s\n", time.Now().Format(timeForm), fmt.Sprintf(format, args...))
}

func (s *site) start(name, program string, args ...string) (*process, error) {
	p := &process{name: name, command: exec.Command(program, args...), ended: make(chan struct{})}
	out, err := os.OpenFile(filepath.Join(s.folder, name+".out"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	p.command.Stdout, p.command.Stderr = out, out
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go func() { _ = p.command.Wait(); close(p.ended) }()
	s.all = append(s.all, p)
	s.note("start %s", name)
	return p, nil
}

func (s *site) signal(p *process, sig syscall.Signal) {
	s.note("signal %s to %s", sig, p.name)
	_ = p.command.Process.Signal(sig)
}

// kill ends a process at once.
func (s *site) kill(p *process) {
	s.signal(p, syscall.SIGKILL)
	<-p.ended
}

// runner starts a runner.
func (s *site) runner(id, service string, args ...string) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	address := freeAddress()
	p, err := s.start(id, self, append([]string{"runner", "-id", id, "-service", service, "-listen", address, "-control", s.control, "-log", filepath.Join(s.folder, "runners.log")}, args...)...)
	if err != nil {
		return nil, err
	}
	p.address = address
	return p, s.await(id, func() bool { return listens(address) })
}

// set writes a key as the operator or a runner does.
func (s *site) set(key, value string) error {
	response, err := http.Post("http://"+s.control+"/set?key="+url.QueryEscape(key), "application/json", bytes.NewReader([]byte(value)))
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// settings are those of deploy/gateway.ini as the platform fills them in for a small installation.
const settings = `[instance]
name = %s
region = %s
datacentre = %s
[listen]
caller = %s
directory = %s
ready = %s
peer = %s
metrics = %s
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
[workspaces]
strict =
revoke = 0ms
`

// startInstances starts instances of the system in one data centre, and waits until all are ready.
func (s *site) startInstances(count int) error {
	return s.startInstancesIn(strings.Split(strings.Repeat("a", count), ""), func(int) string { return s.store })
}

// startInstancesIn starts an instance in each of the data centres, which reaches the store at its own address.
func (s *site) startInstancesIn(dataCentres []string, store func(i int) string) error {
	peers := make([]string, len(dataCentres))
	for i := range peers {
		peers[i] = freeAddress()
	}
	seeds := strings.Join(peers[:min(len(peers), maxSeeds)], ",")
	regions := map[string]string{"a": "south", "b": "south", "c": "north"}
	for i, peer := range peers {
		name := fmt.Sprint("front-", i+1)
		caller, ready := freeAddress(), freeAddress()
		file := filepath.Join(s.folder, name+".ini")
		text := fmt.Sprintf(settings, name, regions[dataCentres[i]], dataCentres[i], caller, freeAddress(), ready, peer, freeAddress(), seeds, store(i))
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return err
		}
		p, err := s.start(name, s.daemon, "gateway", "--config", file)
		if err != nil {
			return err
		}
		p.address, p.ready = caller, ready
		s.instances = append(s.instances, p)
	}
	for _, p := range s.instances {
		if err := s.await(p.name, func() bool { return s.isReady(p) }); err != nil {
			return err
		}
	}
	return nil
}

// restart starts an instance again with its settings.
func (s *site) restart(p *process) error {
	again, err := s.start(p.name, p.command.Path, p.command.Args[1:]...)
	if err == nil {
		p.command, p.ended = again.command, again.ended
	}
	return err
}

func (s *site) isReady(p *process) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.ready+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (s *site) await(what string, done func() bool) error {
	for limit := time.Now().Add(readyTime); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(limit) {
			return errors.New(what + " is not ready in time")
		}
	}
	return nil
}

// close ends all processes that the case has started, and adds to the record what runners have seen.
func (s *site) close() {
	for _, p := range s.all {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
	}
	for _, p := range s.all {
		<-p.ended
	}
	runs, _ := os.ReadFile(filepath.Join(s.folder, "runners.log"))
	_, _ = fmt.Fprintf(s.record, "what runners have seen:\n%s", runs)
	_ = s.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Fprintln(os.Stderr, s.folder)
	}
}
