package platform

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/chiveramp/chiveramp/internal/platform"
	"github.com/chiveramp/chiveramp/internal/platform/wire"
)

// Member is a row of the instance list, and the body of PUT /standin/members.
type Member struct {
	Service     string            `json:"service"`
	Name        string            `json:"name"`
	Address     string            `json:"address"` // host:port
	Region      string            `json:"region"`
	DataCentre  string            `json:"datacentre"`
	Incarnation string            `json:"incarnation"`
	State       string            `json:"state"` // live or leaving
	Meta        map[string]string `json:"meta"`
	// Gone removes the member from the list.
	Gone bool `json:"gone"`
}

// memberChange is a change of the list and the time at which it becomes visible.
type memberChange struct {
	visibleAt time.Time
	member    Member
}

// memberList is the list of instances. Its changes become visible after a lag.
type memberList struct {
	mu      sync.Mutex
	changes []memberChange
	changed chan struct{} // closed and replaced at each change, before it is visible
}

func newMemberList() *memberList {
	return &memberList{changed: make(chan struct{})}
}

func (m *memberList) add(visibleAt time.Time, member Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changes = append(m.changes, memberChange{visibleAt: visibleAt, member: member})
	m.notify()
}

func (m *memberList) truncate(changes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changes = m.changes[:min(max(changes, 0), len(m.changes))]
	m.notify()
}

func (m *memberList) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// visibleList is the visible part of the list for one service.
type visibleList struct {
	rows  []Member
	index uint64
	// nextChange is the time until the next change becomes visible, zero if none
	// is pending.
	nextChange time.Duration
	changed    <-chan struct{}
}

// list returns the members visible at the given time, in the order in which they
// were first added. The index is one more than the number of visible changes of
// the service.
func (m *memberList) list(now time.Time, service string) visibleList {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := visibleList{index: 1, changed: m.changed}
	position := make(map[string]int)
	var rows []Member
	for _, c := range m.changes {
		if c.member.Service != service {
			continue
		}
		if wait := c.visibleAt.Sub(now); wait > 0 {
			list.addPending(wait)
			continue
		}
		list.index++
		if at, ok := position[c.member.Name]; ok {
			rows[at] = c.member
			continue
		}
		position[c.member.Name] = len(rows)
		rows = append(rows, c.member)
	}
	for _, row := range rows {
		if !row.Gone {
			list.rows = append(list.rows, row)
		}
	}
	return list
}

// addPending records a change that becomes visible after the wait.
func (l *visibleList) addPending(wait time.Duration) {
	if l.nextChange == 0 || wait < l.nextChange {
		l.nextChange = wait
	}
}

// listMembers serves the health list of a service. With an index in the query it
// is a blocking query.
func (s *Server) listMembers(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	kind := platform.KindMembers
	if query.Has("index") {
		kind = platform.KindWatch
	}
	if !s.admit(w, kind) {
		return
	}
	dc, err := parseDataCentreFilter(query.Get("filter"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	list, err := s.blockingListMembers(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f := s.Faults(); f.Down || f.Cut {
		panic(http.ErrAbortHandler)
	}
	rows := []wire.ServiceEntry{}
	for _, m := range list.rows {
		if dc == "" || m.DataCentre == dc {
			rows = append(rows, m.entry())
		}
	}
	w.Header().Set(wire.HeaderIndex, strconv.FormatUint(list.index, 10))
	writeJSON(w, http.StatusOK, rows)
}

// parseDataCentreFilter returns the data centre of a filter expression, the only
// form of filter that is supported.
func parseDataCentreFilter(filter string) (string, error) {
	if filter == "" {
		return "", nil
	}
	text, ok := strings.CutPrefix(filter, wire.FilterDataCentre)
	if !ok {
		return "", fmt.Errorf("unsupported filter %q", filter)
	}
	return strconv.Unquote(text)
}

// blockingListMembers returns the list of a service once its index differs from the
// requested one, which includes a lower index after RestoreMembers, or when the
// wait ends.
func (s *Server) blockingListMembers(r *http.Request) (visibleList, error) {
	after, service := uint64(0), r.PathValue("service")
	query := r.URL.Query()
	if text := query.Get("index"); text != "" {
		index, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return visibleList{}, err
		}
		after = index
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil || wait > maxWait {
		wait = maxWait
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	for {
		list := s.members.list(s.clock(), service)
		if after == 0 || list.index != after || ctx.Err() != nil {
			return list, nil
		}
		waitForChange(ctx, list.changed, list.nextChange)
	}
}

// waitForChange waits for a change, the limit or the end of the context. A limit
// of zero means no limit.
func waitForChange(ctx context.Context, changed <-chan struct{}, limit time.Duration) {
	if limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	select {
	case <-changed:
	case <-ctx.Done():
	}
}

// entry converts a member to a row of the health list.
func (m Member) entry() wire.ServiceEntry {
	host, text, err := net.SplitHostPort(m.Address)
	if err != nil {
		host = m.Address
	}
	port, _ := strconv.Atoi(text)
	meta := map[string]string{wire.MetaRegion: m.Region, wire.MetaIncarnation: m.Incarnation}
	for k, v := range m.Meta {
		meta[k] = v
	}
	checks := []wire.Check{{CheckID: "service:" + m.Name, Status: wire.StatusPassing}}
	if strings.EqualFold(m.State, "leaving") {
		checks = append(checks, wire.Check{CheckID: wire.CheckMaintenance + ":" + m.Name, Status: wire.StatusCritical})
	}
	return wire.ServiceEntry{
		Node:    wire.Node{Node: m.Name, Address: host, Datacenter: m.DataCentre},
		Service: wire.Service{ID: m.Name, Service: m.Service, Address: host, Port: port, Meta: meta},
		Checks:  checks,
	}
}
