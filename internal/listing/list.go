// Package listing keeps an instance's copy of the platform's member list, restricted to the
// instances and the endpoints of its own data centre, and sends it to peers as deltas.
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
	// MinReadInterval is the shortest time between two reads of one service by a watcher.
	MinReadInterval = 2 * time.Second
	// WatchTimeout is how long a watch waits for a change before it returns without one.
	WatchTimeout = 5 * time.Minute
	// restoreTimeout is how long reads older than the recorded list are ignored before the
	// store is treated as restored.
	restoreTimeout = 10 * time.Second
	// departureRetention is how long an endpoint that was leaving is still treated as leaving,
	// even if a stale list shows it as live.
	departureRetention = 10 * time.Minute
)

// Store is the part of platform.Store that reads the member list.
type Store interface {
	Watch(ctx context.Context, q platform.MemberQuery) (platform.MemberList, error)
}

// List holds all instances and the endpoints of one data centre. It is safe for
// concurrent use.
type List struct {
	instanceService  string
	endpointServices []string
	dataCentre       fleet.DataCentre
	store            Store

	mu         sync.Mutex
	byService  map[string]*serviceList
	cursors    map[string]cursor
	departures map[endpointKey]departure
}

// cursor is the position of this instance's own watch of a service.
type cursor struct {
	index      uint64
	staleSince time.Time // when reads older than the recorded list began, zero if the last read was current
}

// endpointKey identifies an endpoint in the list.
type endpointKey struct {
	service string
	name    string
}

// departure records the incarnation of an endpoint that was leaving.
type departure struct {
	incarnation string
	expires     time.Time
}

// New returns an empty list for the instances and the endpoints of a data centre.
func New(instanceService string, endpointServices []string, dataCentre fleet.DataCentre, store Store) *List {
	l := &List{
		instanceService: instanceService, endpointServices: endpointServices, dataCentre: dataCentre, store: store,
		byService: make(map[string]*serviceList), cursors: make(map[string]cursor), departures: make(map[endpointKey]departure),
	}
	for _, service := range l.Services() {
		l.byService[service] = &serviceList{rows: make(map[string]*peerpb.Listed)}
	}
	return l
}

// Services returns the names of the services whose members are recorded.
func (l *List) Services() []string {
	return append([]string{l.instanceService}, l.endpointServices...)
}

// Watch waits until the platform's list of a service changes and records it. It reports
// whether the recorded list changed.
func (l *List) Watch(ctx context.Context, service string, clock func() time.Time) (bool, error) {
	query := platform.MemberQuery{Service: service, After: l.watchIndex(service), Wait: WatchTimeout}
	if service != l.instanceService {
		query.DataCentre = string(l.dataCentre)
	}
	list, err := l.store.Watch(ctx, query)
	if err != nil {
		return false, fmt.Errorf("watch list of %s: %w", service, err)
	}
	return l.Update(clock(), service, list), nil
}

func (l *List) watchIndex(service string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cursors[service].index
}

// Update records a list read from the platform and reports whether the recorded list
// changed. If the index decreases, the watch restarts from index zero, as the watch protocol
// requires. A read that is older than the recorded list is ignored for restoreTimeout, because
// it comes either from a replica that lags or from a store that was restored.
func (l *List) Update(now time.Time, service string, list platform.MemberList) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, c := l.byService[service], l.cursors[service]
	epoch, index := p.serial>>indexBits, p.serial&indexMask
	indexFell := list.Index < c.index
	c.index = list.Index
	if indexFell || list.Index < index {
		c.index = 0
	}
	rows := make(map[string]*peerpb.Listed, len(list.Members))
	for _, m := range list.Members {
		rows[m.Name] = toListed(m)
	}
	s := p.diff(rows)
	initialized := p.serial > 0
	if !initialized || list.Index >= index {
		c.staleSince = time.Time{}
	} else if c.staleSince.IsZero() {
		c.staleSince = now
	}
	l.cursors[service] = c
	stale := !c.staleSince.IsZero()
	if stale && now.Sub(c.staleSince) < restoreTimeout {
		return false
	}
	if initialized && !stale && s.empty() {
		p.confirmedSerial = max(p.confirmedSerial, epoch<<indexBits|list.Index)
		return false
	}
	if initialized && list.Index <= index {
		epoch++
	}
	l.cursors[service] = cursor{index: list.Index}
	p.apply(s, epoch<<indexBits|list.Index)
	return !initialized || !s.empty()
}

func toListed(m platform.Member) *peerpb.Listed {
	return &peerpb.Listed{
		Name: m.Name, Address: m.Address, Region: m.Region, Datacentre: m.DataCentre,
		Incarnation: m.Incarnation, Leaving: m.State == platform.MemberLeaving,
	}
}

// Request returns the request for everything that a peer has recorded and this instance has
// not. A service without a base in the request is sent as a snapshot.
func (l *List) Request() *peerpb.ListRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &peerpb.ListRequest{Datacentre: string(l.dataCentre)}
	for _, service := range l.Services() {
		if p := l.byService[service]; p.serial > 0 && !p.needsSnapshot {
			r.Bases = append(r.Bases, &peerpb.ListBase{Service: service, Serial: p.serial, Digest: p.digest})
		}
	}
	return r
}

// Reply returns what the requesting peer lacks: a delta if the peer's base is in the recorded
// history, otherwise a snapshot. A peer in another data centre gets only the instances.
func (l *List) Reply(r *peerpb.ListRequest) *peerpb.ListReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := &peerpb.ListReply{}
	for _, service := range l.Services() {
		p := l.byService[service]
		if p.serial == 0 || (service != l.instanceService && r.Datacentre != string(l.dataCentre)) {
			continue
		}
		var base *peerpb.ListBase
		if i := slices.IndexFunc(r.Bases, func(b *peerpb.ListBase) bool { return b.Service == service }); i >= 0 {
			base = r.Bases[i]
		}
		if base.GetSerial() >= p.serial {
			continue
		}
		reply.Parts = append(reply.Parts, p.encode(service, base))
	}
	return reply
}

func (l *serviceList) encode(service string, base *peerpb.ListBase) *peerpb.ListPart {
	encoded := &peerpb.ListPart{Service: service, Serial: l.serial, Digest: l.digest}
	if s, ok := l.changeSince(base); ok {
		encoded.Base, encoded.Rows, encoded.Gone = s.fromSerial, s.changed, s.removed
		return encoded
	}
	for _, r := range l.rows {
		encoded.Rows = append(encoded.Rows, r)
	}
	return encoded
}

// ApplyReply records a peer's reply and reports whether the list of any service changed.
func (l *List) ApplyReply(reply *peerpb.ListReply) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := false
	for _, received := range reply.Parts {
		if p, ok := l.byService[received.Service]; ok && received.Serial > p.serial {
			changed = p.merge(received) || changed
		}
	}
	return changed
}

// merge records a peer's newer state of the service and reports whether the rows changed.
// If this instance's own watch has already confirmed its rows at a later index, the received
// state is superseded: it is dropped, and the serial is raised so that peers pull the newer
// state. A delta from another base is ignored. If the digest differs from the sender's, the
// next pull requests a snapshot.
func (l *serviceList) merge(received *peerpb.ListPart) bool {
	if received.Serial <= l.confirmedSerial {
		l.apply(change{fromSerial: l.serial}, l.confirmedSerial)
		return false
	}
	if received.Base != 0 && received.Base != l.serial {
		return false
	}
	rows := byName(received.Rows)
	if received.Base != 0 {
		rows = l.rowsAfter(change{changed: received.Rows, removed: received.Gone})
	}
	if digest(rows) != received.Digest {
		l.needsSnapshot = true
		return false
	}
	s, first := l.diff(rows), l.serial == 0
	l.apply(s, received.Serial)
	return first || !s.empty()
}

// StateHash identifies the state of all services; it is zero until every service has been
// read. If two instances have different hashes, either may lack something that the other has,
// since each may be ahead in a different service.
func (l *List) StateHash() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var hash xxhash.Digest
	hash.Reset()
	var serial [8]byte
	for _, service := range l.Services() {
		p := l.byService[service]
		if p.serial == 0 {
			return 0
		}
		binary.LittleEndian.PutUint64(serial[:], p.serial)
		_, _ = hash.Write(serial[:])
	}
	return max(hash.Sum64(), 1)
}

// Version is zero until every service has been read, and increases with each change.
func (l *List) Version() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sum uint64
	for _, p := range l.byService {
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
	for _, r := range l.byService[l.instanceService].rows {
		list = append(list, member.Peer{
			Instance: fleet.Instance(r.Name), Place: placeOf(r), Incarnation: r.Incarnation,
			Address: r.Address, Leaving: r.Leaving,
		})
	}
	return list
}

// Endpoints returns the listed endpoints of the data centre. An incarnation that was leaving,
// according to an earlier list or to its own report among the recorded entries, is still
// returned as leaving even if the current list shows it as live.
func (l *List) Endpoints(now time.Time, recorded []directory.Entry) []directory.Registration {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range recorded {
		if e.Leaving {
			l.departures[endpointKey{e.Service, string(e.Endpoint)}] = departure{e.Incarnation, now.Add(departureRetention)}
		}
	}
	var rows []directory.Registration
	for _, service := range l.endpointServices {
		for _, r := range l.byService[service].rows {
			if fleet.DataCentre(r.Datacentre) == l.dataCentre {
				rows = append(rows, l.registration(now, service, r))
			}
		}
	}
	for key, d := range l.departures {
		if now.After(d.expires) {
			delete(l.departures, key)
		}
	}
	return rows
}

func (l *List) registration(now time.Time, service string, r *peerpb.Listed) directory.Registration {
	key := endpointKey{service, r.Name}
	departed, ok := l.departures[key]
	leaving := r.Leaving || (ok && departed.incarnation == r.Incarnation && !now.After(departed.expires))
	if leaving {
		l.departures[key] = departure{r.Incarnation, now.Add(departureRetention)}
	}
	return directory.Registration{
		Endpoint: fleet.Endpoint(r.Name), Service: service, Address: r.Address,
		Place: placeOf(r), Incarnation: r.Incarnation, Leaving: leaving,
	}
}

func placeOf(r *peerpb.Listed) fleet.Place {
	return fleet.Place{Region: fleet.Region(r.Region), DataCentre: fleet.DataCentre(r.Datacentre)}
}
