package member

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/coretest"
)

// The sessions run against the view of instance "a" in data centre d1 of region r1. A peer
// is written name/region/datacentre/incarnation, with a trailing ! if it is leaving.
func TestSessions(t *testing.T) {
	coretest.Run(t, "*.session", func() coretest.Handler {
		v := New(peer("a", "r1", "d1"), WithInterval(time.Second), WithExchangeInterval(4*time.Second))
		s := &session{view: v, sequence: map[string]uint64{}}
		return s.handle
	})
}

type session struct {
	view     *View
	sequence map[string]uint64
}

func (s *session) handle(now time.Time, e coretest.Event) []string {
	switch e.Verb {
	case "beat":
		for _, f := range e.Fields {
			s.view.Observe(now, s.parse(f))
		}
	case "old-beat":
		p := s.parse(e.Field(0))
		p.Sequence = 1
		s.view.Observe(now, p)
	case "totals":
		s.view.ObserveRemote(now, s.list(e.Fields))
	case "list":
		s.view.ApplyList(now, s.list(e.Fields))
	case "unreachable":
		s.view.Unreachable(fleet.Instance(e.Field(0)))
	case "rumour": // instance/incarnation/sequence/by
		s.view.ReceiveSuspicions([]Suspicion{parseSuspicion(e.Field(0))})
	case "leave":
		s.view.Leave()
	case "tick":
		return changes(s.view.Tick(now))
	default:
		return s.query(now, e)
	}
	return nil
}

func parseSuspicion(text string) Suspicion {
	parts := strings.Split(text, "/")
	r := Suspicion{Instance: fleet.Instance(parts[0]), Incarnation: parts[1], By: fleet.Instance(parts[3])}
	_, _ = fmt.Sscan(parts[2], &r.Sequence)
	return r
}

func (s *session) query(now time.Time, e coretest.Event) []string {
	switch e.Verb {
	case "live":
		return []string{names(s.view.Live(fleet.DataCentre(e.Field(0))))}
	case "targets":
		return []string{names(s.view.Targets(now))}
	case "entries":
		return []string{names(s.view.Entries(place(e.Field(0), e.Field(1)), e.Field(2), 3))}
	case "settled":
		return []string{fmt.Sprint(s.view.Settled(now))}
	case "watcher":
		return []string{fmt.Sprint(s.view.IsWatcher("d1"))}
	case "dispatcher":
		p, ok := s.view.Dispatcher(fleet.Endpoint(e.Field(0)), place(e.Field(1), e.Field(2)))
		return []string{fmt.Sprintf("%s %t", p.Instance, ok)}
	default:
		return []string{"unknown verb " + e.Verb}
	}
}

func (s *session) parse(text string) Peer {
	leaving := strings.HasSuffix(text, "!")
	parts := strings.Split(strings.TrimSuffix(text, "!"), "/")
	s.sequence[parts[0]]++
	p := peer(parts[0], parts[1], parts[2])
	p.Incarnation, p.Leaving, p.Sequence = parts[3], leaving, 1+s.sequence[parts[0]]
	return p
}

func (s *session) list(texts []string) []Peer {
	var list []Peer
	for _, text := range texts {
		p := s.parse(text)
		p.Sequence = 0
		list = append(list, p)
	}
	return list
}

func names(peers []Peer) string {
	list := make([]string, 0, len(peers))
	for _, p := range peers {
		list = append(list, string(p.Instance))
	}
	return "[" + strings.Join(list, " ") + "]"
}

func changes(list []Change) []string {
	var lines []string
	for _, c := range list {
		lines = append(lines, fmt.Sprintf("%s/%s %s -> %s", c.Instance, c.Incarnation, c.From, c.To))
	}
	return lines
}
