package node

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chiveramp/chiveramp/internal/core/directory"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
	"github.com/chiveramp/chiveramp/internal/platform"
)

// listPause is the time between two reads of the platform's list by a watcher.
const listPause = 2 * time.Second

// listing keeps the platform's list as last read or heard of.
type listing struct {
	instances string
	services  []string
	store     interface {
		Members(ctx context.Context, service string) ([]platform.Member, error)
	}

	mu     sync.Mutex
	serial uint64
	rows   []*peerpb.Listed
}

// read asks the platform, and reports whether the list has changed. The serial
// is the time of the change, so that the newest reading wins among instances.
func (l *listing) read(ctx context.Context, now time.Time) (bool, error) {
	var rows []*peerpb.Listed
	for _, service := range append([]string{l.instances}, l.services...) {
		found, err := l.store.Members(ctx, service)
		if err != nil {
			return false, fmt.Errorf("read list of %s: %w", service, err)
		}
		for _, m := range found {
			rows = append(rows, listed(m))
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	same := slices.EqualFunc(l.rows, rows, func(a, b *peerpb.Listed) bool { return proto.Equal(a, b) })
	if same && l.serial > 0 {
		return false, nil
	}
	l.rows, l.serial = rows, uint64(now.UnixMilli())
	return true, nil
}

func listed(m platform.Member) *peerpb.Listed {
	return &peerpb.Listed{
		Name: m.Name, Service: m.Service, Address: m.Address,
		Region: m.Region, Datacentre: m.DataCentre,
		Incarnation: m.Incarnation, Leaving: m.State == platform.MemberLeaving,
	}
}

// adopt takes a newer list that another instance has read.
func (l *listing) adopt(reply *peerpb.ListReply) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if reply.Serial <= l.serial {
		return false
	}
	l.serial, l.rows = reply.Serial, reply.Members
	return true
}

func (l *listing) reply() *peerpb.ListReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &peerpb.ListReply{Serial: l.serial, Members: l.rows}
}

func (l *listing) current() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.serial
}

// peers returns the listed instances.
func (l *listing) peers() []member.Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []member.Peer
	for _, r := range l.rows {
		if r.Service == l.instances {
			list = append(list, member.Peer{
				Instance: fleet.Instance(r.Name), Place: placeOf(r), Incarnation: r.Incarnation,
				Address: r.Address, Leaving: r.Leaving,
			})
		}
	}
	return list
}

// endpoints returns the listed endpoints of one data centre.
func (l *listing) endpoints(dc fleet.DataCentre) []directory.Row {
	l.mu.Lock()
	defer l.mu.Unlock()
	var rows []directory.Row
	for _, r := range l.rows {
		if r.Service == l.instances || fleet.DataCentre(r.Datacentre) != dc {
			continue
		}
		rows = append(rows, directory.Row{
			Endpoint: fleet.Endpoint(r.Name), Service: r.Service, Address: r.Address,
			Place: placeOf(r), Incarnation: r.Incarnation, Leaving: r.Leaving,
		})
	}
	return rows
}

func placeOf(r *peerpb.Listed) fleet.Place {
	return fleet.Place{Region: fleet.Region(r.Region), DataCentre: fleet.DataCentre(r.Datacentre)}
}
