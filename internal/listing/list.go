// Package listing keeps what an instance needs of the platform's list, and hands it
// to its peers as differences.
package listing

import (
	"context"
	"encoding/binary"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveramp/chiveramp/internal/core/directory"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
	"github.com/chiveramp/chiveramp/internal/platform"
)

const (
	// Pause is the shortest time between two reads of one service by a watcher.
	Pause = 2 * time.Second
	// Wait is how long a watch waits for a change before it reads again anyway.
	Wait = 5 * time.Minute
	// behindLimit is how long a reading older than the known list is passed over,
	// before the store counts as restored.
	behindLimit = 10 * time.Second
	// leftKept is how long a list that lags can't bring a leaving endpoint back.
	leftKept = 10 * time.Minute
)

// Store is the part of platform.Store that reads the list.
type Store interface {
	Watch(ctx context.Context, q platform.MemberQuery) (platform.MemberList, error)
}

// List keeps all instances and the endpoints of one data centre. It is safe for
// concurrent use.
type List struct {
	instances string
	services  []string
	centre    fleet.DataCentre
	store     Store

	mu     sync.Mutex
	parts  map[string]*part
	cursor map[string]cursor
	left   map[seat]departure
}

// cursor is where the own watch of a service stands.
type cursor struct {
	index  uint64
	behind time.Time // since when the store tells an older list than is known
}

// seat is an endpoint's place in the list.
type seat struct {
	service string
	name    string
}

// departure remembers the incarnation that left a seat.
type departure struct {
	incarnation string
	until       time.Time
}

// New returns an empty list of the instances, and of the endpoints of a data centre.
func New(instances string, services []string, centre fleet.DataCentre, store Store) *List {
	l := &List{
		instances: instances, services: services, centre: centre, store: store,
		parts: make(map[string]*part), cursor: make(map[string]cursor), left: make(map[seat]departure),
	}
	for _, service := range l.Watched() {
		l.parts[service] = &part{rows: make(map[string]*peerpb.Listed)}
	}
	return l
}

// Watched are the services whose lists are kept.
func (l *List) Watched() []string {
	return append([]string{l.instances}, l.services...)
}

// Watch waits until the platform's list of a service changes, and reports whether
// the part that is kept of it did.
func (l *List) Watch(ctx context.Context, service string, clock func() time.Time) (bool, error) {
	query := platform.MemberQuery{Service: service, After: l.index(service), Wait: Wait}
	if service != l.instances {
		query.DataCentre = string(l.centre)
	}
	list, err := l.store.Watch(ctx, query)
	if err != nil {
		return false, fmt.Errorf("watch list of %s: %w", service, err)
	}
	return l.Take(clock(), service, list), nil
}

func (l *List) index(service string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cursor[service].index
}

// Take takes in what the platform told. An index that fell starts the watch anew, as
// the protocol demands. What is older than the known list is passed over for a while:
// it is either a reader that lags, or a store that was restored.
func (l *List) Take(now time.Time, service string, list platform.MemberList) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, c := l.parts[service], l.cursor[service]
	epoch, index := p.serial>>indexBits, p.serial&indexMask
	fell := list.Index < c.index
	c.index = list.Index
	if fell || list.Index < index {
		c.index = 0
	}
	rows := make(map[string]*peerpb.Listed, len(list.Members))
	for _, m := range list.Members {
		rows[m.Name] = listed(m)
	}
	s := p.change(rows)
	known := p.serial > 0
	if !known || list.Index >= index {
		c.behind = time.Time{}
	} else if c.behind.IsZero() {
		c.behind = now
	}
	l.cursor[service] = c
	behind := !c.behind.IsZero()
	if behind && now.Sub(c.behind) < behindLimit {
		return false
	}
	if known && !behind && s.empty() {
		p.confirmed = max(p.confirmed, epoch<<indexBits|list.Index)
		return false
	}
	if known && list.Index <= index {
		epoch++
	}
	l.cursor[service] = cursor{index: list.Index}
	p.apply(s, epoch<<indexBits|list.Index)
	return !known || !s.empty()
}

func listed(m platform.Member) *peerpb.Listed {
	return &peerpb.Listed{
		Name: m.Name, Address: m.Address, Region: m.Region, Datacentre: m.DataCentre,
		Incarnation: m.Incarnation, Leaving: m.State == platform.MemberLeaving,
	}
}

// Request asks a peer for what it knows beyond this instance.
func (l *List) Request() *peerpb.ListRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &peerpb.ListRequest{Datacentre: string(l.centre)}
	for _, service := range l.Watched() {
		if p := l.parts[service]; p.serial > 0 && !p.whole {
			r.Bases = append(r.Bases, &peerpb.ListBase{Service: service, Serial: p.serial, Digest: p.digest})
		}
	}
	return r
}

// Reply tells a peer what it lacks: as a difference when its state is known here,
// and only the instances when it is of another data centre.
func (l *List) Reply(r *peerpb.ListRequest) *peerpb.ListReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := &peerpb.ListReply{}
	for _, service := range l.Watched() {
		p := l.parts[service]
		if p.serial == 0 || (service != l.instances && r.Datacentre != string(l.centre)) {
			continue
		}
		var base *peerpb.ListBase
		if i := slices.IndexFunc(r.Bases, func(b *peerpb.ListBase) bool { return b.Service == service }); i >= 0 {
			base = r.Bases[i]
		}
		if base.GetSerial() >= p.serial {
			continue
		}
		reply.Parts = append(reply.Parts, p.pack(service, base))
	}
	return reply
}

func (p *part) pack(service string, base *peerpb.ListBase) *peerpb.ListPart {
	packed := &peerpb.ListPart{Service: service, Serial: p.serial, Digest: p.digest}
	if s, ok := p.since(base); ok {
		packed.Base, packed.Rows, packed.Gone = s.before, s.changed, s.gone
		return packed
	}
	for _, r := range p.rows {
		packed.Rows = append(packed.Rows, r)
	}
	return packed
}

// Adopt takes what another instance knows beyond this one, and reports whether any
// part of the list changed.
func (l *List) Adopt(reply *peerpb.ListReply) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := false
	for _, packed := range reply.Parts {
		if p, ok := l.parts[packed.Service]; ok && packed.Serial > p.serial {
			changed = p.adopt(packed) || changed
		}
	}
	return changed
}

// adopt takes a newer state of the part. One that the own watch has already seen
// superseded is answered by a higher serial. A difference to another state than the one
// held, or one that gives other rows than the sender's, is left for the next pull.
func (p *part) adopt(packed *peerpb.ListPart) bool {
	if packed.Serial <= p.confirmed {
		p.apply(step{before: p.serial}, p.confirmed)
		return false
	}
	if packed.Base != 0 && packed.Base != p.serial {
		return false
	}
	rows := byName(packed.Rows)
	if packed.Base != 0 {
		rows = p.after(step{changed: packed.Rows, gone: packed.Gone})
	}
	if digest(rows) != packed.Digest {
		p.whole = true
		return false
	}
	s, first := p.change(rows), p.serial == 0
	p.apply(s, packed.Serial)
	return first || !s.empty()
}

// Mark names the state of all parts, zero until the whole list is known. Of two
// instances with different marks one may lack something that the other has: each of
// them may be ahead in another part.
func (l *List) Mark() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var digest xxhash.Digest
	digest.Reset()
	var serial [8]byte
	for _, service := range l.Watched() {
		p := l.parts[service]
		if p.serial == 0 {
			return 0
		}
		binary.LittleEndian.PutUint64(serial[:], p.serial)
		_, _ = digest.Write(serial[:])
	}
	return max(digest.Sum64(), 1)
}

// Current is zero until the whole list is known, and rises with each change of it.
func (l *List) Current() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sum uint64
	for _, p := range l.parts {
		if p.serial == 0 {
			return 0
		}
		sum += p.serial
	}
	return sum
}

// Peers returns the listed instances.
func (l *List) Peers() []member.Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []member.Peer
	for _, r := range l.parts[l.instances].rows {
		list = append(list, member.Peer{
			Instance: fleet.Instance(r.Name), Place: placeOf(r), Incarnation: r.Incarnation,
			Address: r.Address, Leaving: r.Leaving,
		})
	}
	return list
}

// Endpoints returns the listed endpoints of the data centre. Those that were known
// to leave, by an earlier list or by themselves, leave on whatever the list says now.
func (l *List) Endpoints(now time.Time, known []directory.Entry) []directory.Registration {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range known {
		if e.Leaving {
			l.left[seat{e.Service, string(e.Endpoint)}] = departure{e.Incarnation, now.Add(leftKept)}
		}
	}
	var rows []directory.Registration
	for _, service := range l.services {
		for _, r := range l.parts[service].rows {
			if fleet.DataCentre(r.Datacentre) == l.centre {
				rows = append(rows, l.row(now, service, r))
			}
		}
	}
	for at, d := range l.left {
		if now.After(d.until) {
			delete(l.left, at)
		}
	}
	return rows
}

func (l *List) row(now time.Time, service string, r *peerpb.Listed) directory.Registration {
	at := seat{service, r.Name}
	known, ok := l.left[at]
	leaving := r.Leaving || (ok && known.incarnation == r.Incarnation && !now.After(known.until))
	if leaving {
		l.left[at] = departure{r.Incarnation, now.Add(leftKept)}
	}
	return directory.Registration{
		Endpoint: fleet.Endpoint(r.Name), Service: service, Address: r.Address,
		Place: placeOf(r), Incarnation: r.Incarnation, Leaving: leaving,
	}
}

func placeOf(r *peerpb.Listed) fleet.Place {
	return fleet.Place{Region: fleet.Region(r.Region), DataCentre: fleet.DataCentre(r.Datacentre)}
}
