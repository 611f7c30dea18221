// Package beat encodes the heartbeats that one instance sends to another over an open
// stream: the identity and the endpoints' names once, then only changes. The receiver
// rejects a message that doesn't follow the previous one, and the sender starts over with
// its complete state on a new stream.
package beat

import (
	"cmp"
	"errors"
	"maps"
	"slices"

	"github.com/chiveramp/chiveramp/internal/core/directory"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
)

// refreshInterval is the number of messages after which a receiver returns the reports of
// all endpoints again, for endpoints that its directory didn't list before.
const refreshInterval = 10

// ErrGap means that a message doesn't follow the previous one; the sender has to start
// over with its complete state.
var ErrGap = errors.New("heartbeat doesn't follow the last one")

// Update is the changed state of one endpoint.
type Update struct {
	Row uint32
	// Report has the endpoint's name only in its first update, and models, adapters,
	// serial and incarnation only when Full is set.
	Report directory.Report
	Full   bool
}

// Message is one heartbeat.
type Message struct {
	// Number is 1 for the first message, which has the complete state, and rises by one.
	Number uint64
	// Peer is the sender; set in the first message and when it has changed.
	Peer     *member.Peer
	Sequence uint64
	Revision uint64
	Updates  []Update
	// Dropped are the rows of endpoints that the sender no longer dispatches.
	Dropped []uint32
}

type row struct {
	number      uint32
	report      directory.Report
	lastMessage uint64 // number of the last message that included the endpoint
}

// Sender produces the heartbeats of one stream. It is not safe for concurrent use.
type Sender struct {
	number  uint64
	peer    member.Peer
	rows    map[fleet.Endpoint]*row
	lastRow uint32
}

// NewSender returns the sender of a new stream.
func NewSender() *Sender {
	return &Sender{rows: make(map[fleet.Endpoint]*row)}
}

// Next returns the next heartbeat, given the current state of this instance and the reports
// of all endpoints that it dispatches.
func (s *Sender) Next(self member.Peer, reports []directory.Report) Message {
	s.number++
	m := Message{Number: s.number, Sequence: self.Sequence, Revision: self.Revision}
	self.Sequence, self.Revision = 0, 0
	if s.number == 1 || self != s.peer {
		s.peer = self
		m.Peer = &self
	}
	for _, r := range reports {
		if l, changed := s.update(r); changed {
			m.Updates = append(m.Updates, l)
		}
	}
	for endpoint, entry := range s.rows {
		if entry.lastMessage != s.number {
			m.Dropped = append(m.Dropped, entry.number)
			delete(s.rows, endpoint)
		}
	}
	slices.Sort(m.Dropped)
	return m
}

// update returns the changes of an endpoint, false when there are none.
func (s *Sender) update(r directory.Report) (Update, bool) {
	entry, ok := s.rows[r.Endpoint]
	if !ok {
		s.lastRow++
		entry = &row{number: s.lastRow}
		s.rows[r.Endpoint] = entry
	}
	entry.lastMessage = s.number
	if ok && equalReports(entry.report, r) {
		return Update{}, false
	}
	l := Update{Row: entry.number, Report: r}
	l.Full = r.Models != nil && (!ok || entry.report.Models == nil || entry.report.Serial != r.Serial || entry.report.Incarnation != r.Incarnation)
	if !l.Full {
		l.Report = withDetails(r, directory.Report{})
	}
	l.Report.Endpoint = ""
	if !ok {
		l.Report.Endpoint = r.Endpoint
	}
	entry.report = r
	return l, true
}

func equalReports(a, b directory.Report) bool {
	return a.Incarnation == b.Incarnation && a.Serial == b.Serial && a.Running == b.Running &&
		a.Queued == b.Queued && a.PredictedWait == b.PredictedWait && a.Leaving == b.Leaving && a.Down == b.Down &&
		a.AdapterLoads == b.AdapterLoads && (a.Models == nil) == (b.Models == nil) && slices.Equal(a.Drained, b.Drained)
}

// withDetails returns r with the fields that are sent only when Full is set taken from another report.
func withDetails(r, from directory.Report) directory.Report {
	r.Models, r.Adapters, r.Serial, r.Incarnation = from.Models, from.Adapters, from.Serial, from.Incarnation
	return r
}

// Receiver decodes the heartbeats of one stream. It is not safe for concurrent use.
type Receiver struct {
	number uint64
	peer   member.Peer
	rows   map[uint32]directory.Report
}

// Receive decodes the next heartbeat and returns the sender's current state with the
// updated reports, or with all of them every refreshInterval messages. After an error the
// receiver discards its state and accepts only a first message.
func (r *Receiver) Receive(m Message) (member.Peer, []directory.Report, error) {
	if m.Number == 1 && m.Peer != nil {
		r.number, r.rows = 0, make(map[uint32]directory.Report)
	}
	if r.rows == nil || m.Number != r.number+1 {
		r.rows = nil
		return member.Peer{}, nil, ErrGap
	}
	r.number = m.Number
	if m.Peer != nil {
		r.peer = *m.Peer
	}
	updated, err := r.applyUpdates(m)
	if err != nil {
		r.rows = nil
		return member.Peer{}, nil, err
	}
	self := r.peer
	self.Sequence, self.Revision = m.Sequence, m.Revision
	return self, updated, nil
}

func (r *Receiver) applyUpdates(m Message) ([]directory.Report, error) {
	for _, number := range m.Dropped {
		delete(r.rows, number)
	}
	var updated []directory.Report
	for _, l := range m.Updates {
		previous, ok := r.rows[l.Row]
		if !ok && l.Report.Endpoint == "" {
			return nil, ErrGap
		}
		report := l.Report
		report.Endpoint = cmp.Or(report.Endpoint, previous.Endpoint)
		if !l.Full {
			report = withDetails(report, previous)
		}
		r.rows[l.Row] = report
		updated = append(updated, report)
	}
	if m.Number%refreshInterval == 0 {
		return r.reports(), nil
	}
	return updated, nil
}

// reports returns the current reports of all endpoints, sorted by row.
func (r *Receiver) reports() []directory.Report {
	list := make([]directory.Report, 0, len(r.rows))
	for _, number := range slices.Sorted(maps.Keys(r.rows)) {
		list = append(list, r.rows[number])
	}
	return list
}
