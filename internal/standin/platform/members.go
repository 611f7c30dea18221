package platform

import (
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/chiveramp/chiveramp/internal/platform/wire"
)

// Member is one row of the instance list, as the admin path takes it.
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

// change is one change of the list and when it shows.
type change struct {
	visible time.Time
	member  Member
}

// members is the list of instances, whose changes show after a lag.
type members struct {
	mu      sync.Mutex
	changes []change
}

func (m *members) put(visible time.Time, member Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changes = append(m.changes, change{visible: visible, member: member})
}

// list returns what shows at the given time, in the order of first listing.
func (m *members) list(now time.Time, service string) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	position := make(map[string]int)
	var rows []Member
	for _, c := range m.changes {
		if c.member.Service != service || c.visible.After(now) {
			continue
		}
		if at, ok := position[c.member.Name]; ok {
			rows[at] = c.member
			continue
		}
		position[c.member.Name] = len(rows)
		rows = append(rows, c.member)
	}
	listed := make([]Member, 0, len(rows))
	for _, row := range rows {
		if !row.Gone {
			listed = append(listed, row)
		}
	}
	return listed
}

// entry turns a member into a row of the health list.
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
