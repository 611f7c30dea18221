package models

import (
	"cmp"
	"context"
	"crypto/sha256"
	"fmt"
	"slices"

	"github.com/chiveramp/chiveramp/internal/core/once"
	"github.com/chiveramp/chiveramp/internal/explore"
	"github.com/chiveramp/chiveramp/internal/platform"
)

// answers returns all that may come of a dispatcher's call.
func (s claimState) answers(i int, c call) []explore.Step {
	name := fmt.Sprintf("dispatcher %d %s", i+1, c.title())
	steps := []explore.Step{{Name: name, Take: func() explore.State {
		next := s.clone()
		return next.reply(i, next.effect(c))
	}}}
	if s.faults == 0 {
		return steps
	}
	fault := func(text string, take func(next *claimState) explore.State) {
		steps = append(steps, explore.Step{Name: name + ": " + text, Take: func() explore.State {
			next := s.clone()
			next.faults--
			return take(next)
		}})
	}
	for _, f := range faultsOf(c.kind) {
		fault(f.text, func(next *claimState) explore.State {
			if f.effect {
				next.effect(c)
			}
			if f.late {
				next.late = append(slices.Clone(next.late), c)
			}
			return next.reply(i, reply{err: f.err})
		})
	}
	fault("it dies before", func(next *claimState) explore.State { return next.die(i) })
	fault("it dies after", func(next *claimState) explore.State {
		next.effect(c)
		return next.die(i)
	})
	return steps
}

// outcome is one way in which a call fails.
type outcome struct {
	text   string
	effect bool
	late   bool
	err    error
}

func faultsOf(kind callKind) []outcome {
	switch kind {
	case callGet:
		return []outcome{{text: "the store is down", err: platform.ErrUnavailable}}
	case callWrite:
		return []outcome{
			{text: "the store is down", err: platform.ErrUnavailable},
			{text: "the reply is lost", effect: true, err: platform.ErrUncertain},
			{text: "the write is lost", err: platform.ErrUncertain},
			{text: "no reply, the write is delayed", late: true, err: platform.ErrUncertain},
		}
	default:
		return []outcome{
			{text: "the endpoint is not reached", err: errNoRoute},
			{text: "the answer is lost", effect: true, err: errNoAnswer},
		}
	}
}

func (c call) title() string {
	switch c.kind {
	case callGet:
		return "reads " + what(c.key)
	case callWrite:
		last := c.writes[len(c.writes)-1]
		return fmt.Sprintf("writes %s over version %d", what(last.Key), last.Expect)
	default:
		return "runs attempt " + c.key
	}
}

// what names a key of the store.
func what(key string) string {
	switch key {
	case once.LayoutKey:
		return "the layout"
	case once.InitialLayout().Current.Path(claimKey):
		return "the claim"
	default:
		return "the claim of the next period"
	}
}

// effect does what a call asks for.
func (s *claimState) effect(c call) reply {
	switch c.kind {
	case callGet:
		found := s.cell(c.key)
		if found.version == 0 {
			return reply{err: platform.ErrNotFound}
		}
		return reply{value: found.value, version: found.version}
	case callWrite:
		return s.commit(c.writes)
	default:
		s.runs = append(slices.Clone(s.runs), c.key)
		return reply{}
	}
}

// cell returns a key of the store, with version zero when it is absent.
func (s *claimState) cell(key string) cell {
	i := slices.IndexFunc(s.cells, func(c cell) bool { return c.key == key })
	if i < 0 {
		return cell{key: key}
	}
	return s.cells[i]
}

// commit makes all writes or none.
func (s *claimState) commit(writes []platform.Write) reply {
	for _, w := range writes {
		if !s.allows(w) {
			return reply{err: platform.ErrConflict}
		}
	}
	for _, w := range writes {
		s.apply(w)
	}
	return reply{version: s.index}
}

// allows tells whether the conditions of a write hold.
func (s *claimState) allows(w platform.Write) bool {
	if w.IfUnchanged.Key != "" && s.cell(w.IfUnchanged.Key).version != uint64(w.IfUnchanged.Version) {
		return false
	}
	taken := slices.ContainsFunc(w.IfAbsent, func(key string) bool { return s.cell(key).version != 0 })
	return !taken && (s.off == offCompare || s.cell(w.Key).version == uint64(w.Expect))
}

func (s *claimState) apply(w platform.Write) {
	s.index++
	s.cells = slices.DeleteFunc(slices.Clone(s.cells), func(c cell) bool { return c.key == w.Key })
	if w.Delete {
		return
	}
	s.cells = append(s.cells, cell{key: w.Key, version: s.index, value: w.Value})
	slices.SortFunc(s.cells, func(a, b cell) int { return cmp.Compare(a.key, b.key) })
}

// reply gives a dispatcher its answer.
func (s *claimState) reply(i int, r reply) explore.State {
	a := &s.actors[i]
	a.replies = append(slices.Clone(a.replies), r)
	a.past = sha256.Sum256(fmt.Appendf(a.past[:], "%x %d %v", r.value, r.version, r.err))
	s.advance(i)
	return *s
}

// die starts a dispatcher again, knowing nothing. The request that it had is sent again.
func (s *claimState) die(i int) explore.State {
	s.actors[i] = dispatcher{lives: s.actors[i].lives + 1, sent: s.actors[i].sent + 1}
	s.advance(i)
	return *s
}

// taped is the store as a dispatcher sees it.
type taped struct {
	tape *tape
}

// Get implements claim.Store.
func (t *taped) Get(_ context.Context, key string) (platform.Entry, error) {
	r := t.tape.ask(call{kind: callGet, key: key})
	if r.err != nil {
		return platform.Entry{}, r.err
	}
	return platform.Entry{Key: key, Value: r.value, Version: platform.Version(r.version)}, nil
}

// Swap implements claim.Store.
func (t *taped) Swap(_ context.Context, w platform.Write) (platform.Version, error) {
	r := t.tape.ask(call{kind: callWrite, writes: []platform.Write{w}})
	return platform.Version(r.version), r.err
}

// List implements claim.Store; claims list only to sweep.
func (*taped) List(context.Context, string) ([]platform.Entry, error) {
	return nil, platform.ErrUnavailable
}

// Commit implements claim.Store.
func (t *taped) Commit(_ context.Context, writes ...platform.Write) error {
	return t.tape.ask(call{kind: callWrite, writes: writes}).err
}
