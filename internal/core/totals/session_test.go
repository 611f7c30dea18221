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

// The sessions run between data centre d2, with senders b and c, and one instance of
// another data centre. Instances are written name/incarnation/revision, models name=copies.
func TestSessions(t *testing.T) {
	coretest.Run(t, "*.session", func() coretest.Handler {
		s := &session{
			state: State{Place: remotePlace}, tracker: NewTracker(), sent: map[string][]Message{},
			senders: map[string]*Sender{"b": NewSender(instance("b", "1")), "c": NewSender(instance("c", "1"))},
		}
		return s.handle
	})
}

type session struct {
	state   State
	senders map[string]*Sender
	tracker *Tracker
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
		return s.handleMessage(now, e)
	}
	return nil
}

func (s *session) handleMessage(now time.Time, e coretest.Event) []string {
	switch e.Verb {
	case "tell": // argument: the sender; its messages are kept for later events
		sender := s.senders[e.Field(0)]
		s.sent[e.Field(0)] = sender.Messages(now, s.state, s.tracker.KnownSnapshot("d2", sender.LatestSnapshot().Source))
		return show(s.sent[e.Field(0)])
	case "hear":
		return s.receive(e, func(m Message) Result { return s.tracker.Receive(now, m) })
	case "passed":
		return s.receive(e, func(m Message) Result { return s.tracker.ReceiveForwarded(now, m) })
	case "pass":
		return show(s.tracker.Forward(now, func(fleet.DataCentre) bool { return e.Field(0) == "first" }))
	case "known":
		return []string{peers(s.tracker.Instances("d2")), fmt.Sprint(len(s.tracker.Locations(now, e.Field(0), time.Minute)))}
	default:
		return []string{"unknown verb " + e.Verb}
	}
}

// receive delivers the last messages of a sender; with "difference" only the delta
// arrives and the snapshot before it is lost.
func (s *session) receive(e coretest.Event, receive func(Message) Result) []string {
	var lines []string
	for _, m := range s.sent[e.Field(0)] {
		if e.Field(1) != "difference" || !m.IsSnapshot() {
			lines = append(lines, string(receive(m)))
		}
	}
	return lines
}

func show(list []Message) []string {
	var lines []string
	for _, m := range list {
		if m.IsSnapshot() {
			lines = append(lines, fmt.Sprintf("full %d: %d models, %d instances", m.Base.Serial, len(m.Models), len(m.Rows)))
			continue
		}
		var rows []string
		for _, r := range m.Rows {
			rows = append(rows, fmt.Sprintf("%d=%s/%s", r.Number, r.Peer.Instance, r.Peer.Incarnation))
		}
		lines = append(lines, fmt.Sprintf("difference %d on %d: models %v rows %v gone %v revision %d behind %v",
			m.Number, m.Base.Serial, m.Models, rows, m.Removed, m.Revision, m.Behind))
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
