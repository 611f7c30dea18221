package totals

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/coretest"
)

const (
	randomSteps = 80
	fleetSize   = 6
	modelCount  = 50 // a full every 2 s
)

var there = fleet.Place{Region: "r2", DataCentre: "d2"}

func instance(name, incarnation string) member.Peer {
	return member.Peer{Instance: fleet.Instance(name), Place: there, Incarnation: incarnation, Address: name + ":7000", Caller: name + ":8000"}
}

// world is a data centre with two instances that tell of it, and every state that was told.
type world struct {
	state   State
	tellers []*Teller
	told    map[string]State // by full and number
	flight  []Message
	starts  int
	taken   map[Source]Message // the latest that the book took
}

func newWorld() *world {
	w := &world{told: map[string]State{}, taken: map[Source]Message{}, state: State{Place: there}}
	for i := range modelCount {
		w.state.Models = append(w.state.Models, Sum{Model: fmt.Sprintf("m%02d", i), Copies: 1})
	}
	for i := range fleetSize {
		w.state.Instances = append(w.state.Instances, instance(fmt.Sprint("i", i), "1"))
	}
	w.tellers = []*Teller{NewTeller(w.state.Instances[0]), NewTeller(w.state.Instances[1])}
	return w
}

// change draws one change of the data centre.
func (w *world) change(t *rapid.T) {
	i := rapid.IntRange(0, len(w.state.Instances)-1).Draw(t, "instance")
	m := rapid.IntRange(0, modelCount-1).Draw(t, "model")
	instances := append([]member.Peer(nil), w.state.Instances...)
	models := append([]Sum(nil), w.state.Models...)
	w.starts++
	switch rapid.SampledFrom([]string{"restart", "leave", "join", "revision", "copies", "none"}).Draw(t, "change") {
	case "restart":
		instances[i].Incarnation, instances[i].Revision = fmt.Sprint(w.starts), 0
	case "leave":
		if len(instances) > 1 {
			instances = append(instances[:i], instances[i+1:]...)
		}
	case "join":
		instances = append(instances, instance(fmt.Sprintf("j%03d", w.starts), "1"))
	case "revision":
		instances[i].Revision = uint64(w.starts)
	case "copies":
		models[m].Copies = rapid.Uint32Range(0, 2).Draw(t, "copies")
	}
	w.state.Instances, w.state.Models = instances, models
}

// tell lets a teller tell the state as it stands; the messages are on their way.
func (w *world) tell(now time.Time, teller int, known ID) {
	for _, m := range w.tellers[teller].Tell(now, w.state, known) {
		if !m.Full() {
			w.told[fmt.Sprint(m.Base, m.Number)] = w.state
		}
		w.flight = append(w.flight, m)
	}
}

func reachable(s State) map[string]bool {
	list := map[string]bool{}
	for _, m := range s.Models {
		list[m.Model] = m.Copies > 0
	}
	return list
}

func heard(now time.Time, b *Book) map[string]bool {
	list := map[string]bool{}
	for i := range modelCount {
		name := fmt.Sprintf("m%02d", i)
		list[name] = len(b.Options(now, name, time.Hour)) > 0
	}
	return list
}

// Whatever is lost, repeated or reordered, and whoever tells: what a book takes is a
// state that was told, whole; an unknown full is asked for, and then all is well again.
func TestDifferencesNeverLeadToAWrongState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, b, now := newWorld(), NewBook(), coretest.Start
		for range randomSteps {
			now = now.Add(500 * time.Millisecond)
			w.change(t)
			teller := rapid.IntRange(0, 1).Draw(t, "teller")
			known := b.Known(there.DataCentre, w.tellers[teller].Latest().Source)
			w.tell(now, teller, known)
			for len(w.flight) > 3 {
				w.deliver(t, now, b)
			}
		}
		w.flight = nil
		for range 2 {
			w.tell(now, 0, b.Known(there.DataCentre, w.tellers[0].Latest().Source))
			for _, m := range w.flight {
				b.Hear(now, m)
			}
		}
		require.Equal(t, w.state.Instances, b.Instances(there.DataCentre))
		require.Equal(t, reachable(w.state), heard(now, b))
	})
}

func (w *world) deliver(t *rapid.T, now time.Time, b *Book) {
	i := rapid.IntRange(0, len(w.flight)-1).Draw(t, "message")
	m := w.flight[i]
	fate := rapid.SampledFrom([]string{"delivered", "delivered", "lost", "repeated"}).Draw(t, "fate")
	if fate != "repeated" {
		w.flight = append(w.flight[:i:i], w.flight[i+1:]...)
	}
	if fate == "lost" || b.Hear(now, m) != Taken || m.Full() {
		return
	}
	last := w.taken[m.Base.Source]
	require.True(t, m.Base.Serial > last.Base.Serial || m.Base == last.Base && m.Number > last.Number, "news never goes back")
	w.taken[m.Base.Source] = m
	told := w.told[fmt.Sprint(m.Base, m.Number)]
	require.Equal(t, told.Instances, b.Instances(there.DataCentre))
	require.Equal(t, reachable(told), heard(now, b))
}
