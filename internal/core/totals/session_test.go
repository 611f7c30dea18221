package totals

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/coretest"
)

// Sessions run between a data centre d2, where b and c tell, and one instance of
// another. Instances are written name/incarnation/revision, models name=copies.
func TestSessions(t *testing.T) {
	coretest.Run(t, "*.session", func() coretest.Handler {
		s := &session{
			state: State{Place: there}, book: NewBook(), sent: map[string][]Message{},
			tellers: map[string]*Teller{"b": NewTeller(instance("b", "1")), "c": NewTeller(instance("c", "1"))},
		}
		return s.handle
	})
}

type session struct {
	state   State
	tellers map[string]*Teller
	book    *Book
	sent    map[string][]Message
}

func (s *session) handle(now time.Time, e coretest.Event) []string {
	switch e.Verb {
	case "instances":
		s.state.Instances = nil
		for _, f := range e.Fields {
			parts := strings.Split(f, "/")
			p := instance(parts[0], parts[1])
			_, _ = fmt.Sscan(parts[2], &p.Revision)
			s.state.Instances = append(s.state.Instances, p)
		}
	case "models":
		s.state.Models = nil
		for _, f := range e.Fields {
			name, copies, _ := strings.Cut(f, "=")
			sum := Sum{Model: name}
			_, _ = fmt.Sscan(copies, &sum.Copies)
			s.state.Models = append(s.state.Models, sum)
		}
	case "many":
		for i := range 1000 {
			s.state.Models = append(s.state.Models, Sum{Model: fmt.Sprintf("z%03d", i), Copies: 1})
		}
	default:
		return s.move(now, e)
	}
	return nil
}

func (s *session) move(now time.Time, e coretest.Event) []string {
	switch e.Verb {
	case "tell": // teller, message; what is sent stays under the teller's name
		t := s.tellers[e.Field(0)]
		s.sent[e.Field(0)] = t.Tell(now, s.state, s.book.Known("d2", t.Latest().Source))
		return show(s.sent[e.Field(0)])
	case "hear":
		return s.take(e, func(m Message) Verdict { return s.book.Hear(now, m) })
	case "passed":
		return s.take(e, func(m Message) Verdict { return s.book.HearPassed(now, m) })
	case "pass":
		return show(s.book.Pass(now, func(fleet.DataCentre) bool { return e.Field(0) == "first" }))
	case "known":
		return []string{peers(s.book.Instances("d2")), fmt.Sprint(len(s.book.Options(now, e.Field(0), time.Minute)))}
	default:
		return []string{"unknown verb " + e.Verb}
	}
}

// take hears what a teller sent; with "difference" the full before it is lost.
func (s *session) take(e coretest.Event, hear func(Message) Verdict) []string {
	var lines []string
	for _, m := range s.sent[e.Field(0)] {
		if e.Field(1) != "difference" || !m.Full() {
			lines = append(lines, string(hear(m)))
		}
	}
	return lines
}

func show(list []Message) []string {
	var lines []string
	for _, m := range list {
		if m.Full() {
			lines = append(lines, fmt.Sprintf("full %d: %d models, %d instances", m.Base.Serial, len(m.Models), len(m.Rows)))
			continue
		}
		var rows []string
		for _, r := range m.Rows {
			rows = append(rows, fmt.Sprintf("%d=%s/%s", r.Number, r.Peer.Instance, r.Peer.Incarnation))
		}
		lines = append(lines, fmt.Sprintf("difference %d on %d: models %v rows %v gone %v revision %d behind %v",
			m.Number, m.Base.Serial, m.Models, rows, m.Gone, m.Revision, m.Behind))
	}
	return lines
}

func peers(list []member.Peer) string {
	var names []string
	for _, p := range list {
		names = append(names, fmt.Sprintf("%s/%s/%d", p.Instance, p.Incarnation, p.Revision))
	}
	slices.Sort(names)
	return "[" + strings.Join(names, " ") + "]"
}
