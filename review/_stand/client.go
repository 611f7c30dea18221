package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answer is what a requester saw of one attempt.
type answer struct {
	id     string
	sent   time.Time
	took   time.Duration
	status int
	seal   string
	body   string
	err    error
}

func (a answer) served() bool { return a.err == nil && a.status/100 == 2 && a.seal != "" }

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("status %d, not complete: %v", a.status, a.err)
	}
	return fmt.Sprintf("status %d, seal %q", a.status, a.seal)
}

type requester struct {
	record *record
	client *http.Client
	next   atomic.Int64
	mu     sync.Mutex
	all    []answer
}

func newRequester(r *record) *requester {
	return &requester{record: r, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}}
}

// send sends one attempt with its own id to an address and waits for its end.
func (q *requester) send(address, method, path, body string, deadline time.Duration, header map[string]string) answer {
	a := answer{id: fmt.Sprintf("rq-%06d", q.next.Add(1)), sent: time.Now()}
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		cannot("%v", err)
	}
	r.Host = "board.example"
	r.Header.Set("Request-Id", a.id)
	r.Header.Set(wire("deadline"), fmt.Sprint(deadline.Milliseconds()))
	for k, v := range header {
		r.Header.Set(k, v)
	}
	c := *q.client
	c.Timeout = deadline
	response, err := c.Do(r)
	if err == nil {
		var text []byte
		a.status, a.seal = response.StatusCode, response.Header.Get(wire("seal"))
		text, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.body = string(text)
	}
	a.err, a.took = err, time.Since(a.sent)
	q.mu.Lock()
	q.all = append(q.all, a)
	q.mu.Unlock()
	return a
}

// resolve asks a directory where to connect. It returns how long its response may be kept, and whether it names an
// address.
func resolve(directory, region, zone, address string) (ttl time.Duration, listed bool) {
	c := http.Client{Timeout: time.Second}
	response, err := c.Get("http://" + directory + "/resolve?name=board.example&region=" + region + "&zone=" + zone)
	if err != nil {
		cannot("resolve: %v", err)
	}
	defer func() { _ = response.Body.Close() }()
	var body struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttlS"`
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		cannot("resolve: %v", err)
	}
	return time.Duration(min(body.TTL, 5) * float64(time.Second)), slices.Contains(body.Addresses, address)
}

func (q *requester) answers() []answer {
	q.mu.Lock()
	defer q.mu.Unlock()
	return append([]answer(nil), q.all...)
}
