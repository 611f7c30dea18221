// Package beat decides what goes into the heartbeats that one instance sends to
// another over an open stream: identity and endpoints' names once, then only what has
// changed. A message that doesn't follow the one before it is refused, and the sender
// starts anew with everything.
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

// refresh is after how many messages a receiver reports all endpoints again, for those
// that its directory didn't list before.
const refresh = 10

// ErrGap means that a message doesn't follow the one before it; the sender has to
// start anew.
var ErrGap = errors.New("heartbeat doesn't follow the last one")

// Load is the news of one endpoint.
type Load struct {
	Row uint32
	// Report names its endpoint only the first time, and models, adapters, serial and
	// incarnation only when Full.
	Report directory.Report
	Full   bool
}

// Message is one heartbeat.
type Message struct {
	// Number is 1 for the first message, which tells everything, and rises by one.
	Number uint64
	// Peer is the sender, in the first message and when it has changed.
	Peer     *member.Peer
	Sequence uint64
	Revision uint64
	Loads    []Load
	// Dropped are the rows of endpoints that the sender doesn't dispatch any more.
	Dropped []uint32
}

type row struct {
	number uint32
	report directory.Report
	seen   uint64 // number of the message that last had it
}

// Sender writes the heartbeats of one stream. It is not safe for concurrent use.
type Sender struct {
	number uint64
	peer   member.Peer
	rows   map[fleet.Endpoint]*row
	next   uint32
}

// NewSender returns the sender of a fresh stream.
func NewSender() *Sender {
	return &Sender{rows: make(map[fleet.Endpoint]*row)}
}

// Next returns the next heartbeat: the own instance as it stands, and all reports of
// the endpoints that it dispatches.
func (s *Sender) Next(self member.Peer, reports []directory.Report) Message {
	s.number++
	m := Message{Number: s.number, Sequence: self.Sequence, Revision: self.Revision}
	self.Sequence, self.Revision = 0, 0
	if s.number == 1 || self != s.peer {
		s.peer = self
		m.Peer = &self
	}
	for _, r := range reports {
		if l, changed := s.load(r); changed {
			m.Loads = append(m.Loads, l)
		}
	}
	for endpoint, known := range s.rows {
		if known.seen != s.number {
			m.Dropped = append(m.Dropped, known.number)
			delete(s.rows, endpoint)
		}
	}
	slices.Sort(m.Dropped)
	return m
}

// load returns what there is to tell of an endpoint, false when nothing has changed.
func (s *Sender) load(r directory.Report) (Load, bool) {
	known, ok := s.rows[r.Endpoint]
	if !ok {
		s.next++
		known = &row{number: s.next}
		s.rows[r.Endpoint] = known
	}
	known.seen = s.number
	if ok && same(known.report, r) {
		return Load{}, false
	}
	l := Load{Row: known.number, Report: r}
	l.Full = r.Models != nil && (!ok || known.report.Models == nil || known.report.Serial != r.Serial || known.report.Incarnation != r.Incarnation)
	if !l.Full {
		l.Report = keep(r, directory.Report{})
	}
	l.Report.Endpoint = ""
	if !ok {
		l.Report.Endpoint = r.Endpoint
	}
	known.report = r
	return l, true
}

func same(a, b directory.Report) bool {
	return a.Incarnation == b.Incarnation && a.Serial == b.Serial && a.Running == b.Running &&
		a.Queued == b.Queued && a.PredictedWait == b.PredictedWait && a.Leaving == b.Leaving && a.Down == b.Down &&
		a.AdapterLoads == b.AdapterLoads && (a.Models == nil) == (b.Models == nil) && slices.Equal(a.Drained, b.Drained)
}

// keep returns a report with what is told only when full taken from another one.
func keep(r, from directory.Report) directory.Report {
	r.Models, r.Adapters, r.Serial, r.Incarnation = from.Models, from.Adapters, from.Serial, from.Incarnation
	return r
}

// Receiver reads the heartbeats of one stream. It is not safe for concurrent use.
type Receiver struct {
	number uint64
	peer   member.Peer
	rows   map[uint32]directory.Report
}

// Take reads the next heartbeat and returns the sender as it stands with the reports
// that there is news of, now and then all of them. After an error the receiver knows
// nothing until a first message comes.
func (r *Receiver) Take(m Message) (member.Peer, []directory.Report, error) {
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
	news, err := r.loads(m)
	if err != nil {
		r.rows = nil
		return member.Peer{}, nil, err
	}
	self := r.peer
	self.Sequence, self.Revision = m.Sequence, m.Revision
	return self, news, nil
}

func (r *Receiver) loads(m Message) ([]directory.Report, error) {
	for _, number := range m.Dropped {
		delete(r.rows, number)
	}
	var news []directory.Report
	for _, l := range m.Loads {
		known, ok := r.rows[l.Row]
		if !ok && l.Report.Endpoint == "" {
			return nil, ErrGap
		}
		report := l.Report
		report.Endpoint = cmp.Or(report.Endpoint, known.Endpoint)
		if !l.Full {
			report = keep(report, known)
		}
		r.rows[l.Row] = report
		news = append(news, report)
	}
	if m.Number%refresh == 0 {
		return r.all(), nil
	}
	return news, nil
}

// all returns every report as it stands, by row.
func (r *Receiver) all() []directory.Report {
	list := make([]directory.Report, 0, len(r.rows))
	for _, number := range slices.Sorted(maps.Keys(r.rows)) {
		list = append(list, r.rows[number])
	}
	return list
}
