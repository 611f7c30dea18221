package beat

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chiveramp/chiveramp/internal/core/directory"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
)

const randomSteps = 60

// instance is a sender with its current state.
type instance struct {
	self    member.Peer
	reports []directory.Report
	changes int
}

// change applies one random change to the instance or its endpoints.
func (i *instance) change(t *rapid.T) {
	i.self.Sequence++
	i.changes++
	reports := append([]directory.Report(nil), i.reports...)
	defer func() { i.reports = reports }()
	kind := rapid.SampledFrom([]string{"load", "models", "restart", "add", "drop", "leave", "ready", "none"}).Draw(t, "change")
	if kind == "add" || len(reports) == 0 {
		reports = append(reports, directory.Report{Endpoint: fleet.Endpoint(fmt.Sprint("e", i.changes)), Models: []fleet.Model{"a"}, Serial: 1})
		return
	}
	at := rapid.IntRange(0, len(reports)-1).Draw(t, "endpoint")
	switch kind {
	case "load":
		reports[at].Running, reports[at].AdapterLoads = i.changes, i.changes%3
	case "models":
		reports[at].Serial++
		reports[at].Models = []fleet.Model{fleet.Model(fmt.Sprint("m", i.changes))}
		reports[at].Adapters = []directory.AdapterKey{{Model: "a", Adapter: fleet.Adapter(fmt.Sprint("k", i.changes))}}
	case "restart":
		reports[at].Incarnation, reports[at].Models = fmt.Sprint(i.changes), []fleet.Model{}
	case "drop":
		reports = append(reports[:at], reports[at+1:]...)
	case "leave":
		i.self.Leaving = true
	case "ready":
		i.self.Caller = fmt.Sprint("caller:", i.changes)
	}
}

// Messages of a stream get lost, repeated and reordered. The state that a receiver accepts
// with a message must equal the sender's state at that message, and a gap must be reported,
// so that the sender starts over.
func TestReceiverMatchesSenderDespiteLossAndReordering(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, sender, receiver := &instance{self: member.Peer{Instance: "a"}}, NewSender(), &Receiver{}
		sent, inFlight := map[*Message]instance{}, []*Message(nil)
		for range randomSteps {
			from.change(t)
			m := sender.Next(from.self, from.reports)
			sent[&m] = *from
			inFlight = append(inFlight, &m)
			for len(inFlight) > 0 {
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "message")
				delivery := rapid.SampledFrom([]string{"delivered", "delivered", "delivered", "lost", "repeated", "late"}).Draw(t, "fate")
				if delivery == "late" {
					break
				}
				got := inFlight[i]
				if delivery != "repeated" {
					inFlight = append(inFlight[:i:i], inFlight[i+1:]...)
				}
				if delivery == "lost" {
					continue
				}
				self, _, err := receiver.Receive(*got)
				if err != nil {
					require.ErrorIs(t, err, ErrGap)
					sender, inFlight = NewSender(), nil // starts a new stream
					continue
				}
				require.Equal(t, sent[got].self, self)
				require.ElementsMatch(t, sent[got].reports, receiver.reports())
			}
		}
		sender, receiver = NewSender(), &Receiver{}
		self, updated, err := receiver.Receive(sender.Next(from.self, from.reports))
		require.NoError(t, err)
		require.Equal(t, from.self, self)
		require.ElementsMatch(t, from.reports, updated)
	})
}

func TestSenderSendsOnlyChanges(t *testing.T) {
	self := member.Peer{Instance: "a", Address: "a:7000", Sequence: 1, Revision: 3}
	adapters := []directory.AdapterKey{{Model: "m", Adapter: "kit"}}
	report := directory.Report{Endpoint: "e1", Models: []fleet.Model{"m"}, Adapters: adapters, Serial: 1}
	busy := report
	busy.Running, busy.AdapterLoads = 3, 1
	more := busy
	more.Serial, more.Models = 2, []fleet.Model{"m", "n"}
	leaving := self
	leaving.Leaving = true
	tests := []struct {
		name    string
		self    member.Peer
		reports []directory.Report
		want    Message
	}{
		{name: "first", self: self, reports: []directory.Report{report}, want: Message{
			Number: 1, Peer: &member.Peer{Instance: "a", Address: "a:7000"}, Sequence: 1, Revision: 3,
			Updates: []Update{{Row: 1, Report: report, Full: true}},
		}},
		{name: "no change", self: self, reports: []directory.Report{report}, want: Message{Number: 2, Sequence: 1, Revision: 3}},
		{name: "changed adapter loads", self: self, reports: []directory.Report{busy}, want: Message{
			Number: 3, Sequence: 1, Revision: 3, Updates: []Update{{Row: 1, Report: directory.Report{Running: 3, AdapterLoads: 1}}},
		}},
		{name: "models", self: self, reports: []directory.Report{more}, want: Message{
			Number: 4, Sequence: 1, Revision: 3, Updates: []Update{{Row: 1, Full: true, Report: directory.Report{
				Running: 3, AdapterLoads: 1, Serial: 2, Models: more.Models, Adapters: adapters,
			}}},
		}},
		{name: "leaving, endpoint dispatched elsewhere", self: leaving, want: Message{
			Number: 5, Peer: &member.Peer{Instance: "a", Address: "a:7000", Leaving: true}, Sequence: 1, Revision: 3, Dropped: []uint32{1},
		}},
	}
	sender := NewSender()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, sender.Next(tt.self, tt.reports))
		})
	}
}
