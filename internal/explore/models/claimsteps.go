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

// callSteps returns all possible results of a dispatcher's call.
func (s claimState) callSteps(i int, c call) []explore.Step {
	name := fmt.Sprintf("dispatcher %d %s", i+1, c.description())
	steps := []explore.Step{{Name: name, Take: func() explore.State {
		next := s.clone()
		return next.resume(i, next.perform(c))
	}}}
	if s.faultsLeft == 0 {
		return steps
	}
	fault := func(text string, take func(next *claimState) explore.State) {
		steps = append(steps, explore.Step{Name: name + ": " + text, Take: func() explore.State {
			next := s.clone()
			next.faultsLeft--
			return take(next)
		}})
	}
	for _, f := range callFaults(c.kind) {
		fault(f.text, func(next *claimState) explore.State {
			if f.takesEffect {
				next.perform(c)
			}
			if f.delayed {
				next.delayedWrites = append(slices.Clone(next.delayedWrites), c)
			}
			return next.resume(i, reply{err: f.err})
		})
	}
	fault("it dies before", func(next *claimState) explore.State { return next.restart(i) })
	fault("it dies after", func(next *claimState) explore.State {
		next.perform(c)
		return next.restart(i)
	})
	return steps
}

// callFault is one way in which a call fails.
type callFault struct {
	text        string
	takesEffect bool
	delayed     bool
	err         error
}

func callFaults(kind callKind) []callFault {
	switch kind {
	case callGet:
		return []callFault{{text: "the store is down", err: platform.ErrUnavailable}}
	case callWrite:
		return []callFault{
			{text: "the store is down", err: platform.ErrUnavailable},
			{text: "the reply is lost", takesEffect: true, err: platform.ErrUncertain},
			{text: "the write is lost", err: platform.ErrUncertain},
			{text: "no reply, the write is delayed", delayed: true, err: platform.ErrUncertain},
		}
	default:
		return []callFault{
			{text: "the endpoint is not reached", err: errNoRoute},
			{text: "the answer is lost", takesEffect: true, err: errNoAnswer},
		}
	}
}

func (c call) description() string {
	switch c.kind {
	case callGet:
		return "reads " + keyDescription(c.key)
	case callWrite:
		last := c.writes[len(c.writes)-1]
		return fmt.Sprintf("writes %s over version %d", keyDescription(last.Key), last.Expect)
	default:
		return "runs attempt " + c.key
	}
}

// keyDescription describes a key of the store in the name of a step.
func keyDescription(key string) string {
	switch key {
	case once.LayoutKey:
		return "the layout"
	case once.InitialLayout().Current.Path(claimKey):
		return "the claim"
	default:
		return "the claim of the next period"
	}
}

// perform executes a call and returns its reply.
func (s *claimState) perform(c call) reply {
	switch c.kind {
	case callGet:
		found := s.entry(c.key)
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

// entry returns the entry of a key, with version zero if it is absent.
func (s *claimState) entry(key string) storeEntry {
	i := slices.IndexFunc(s.entries, func(c storeEntry) bool { return c.key == key })
	if i < 0 {
		return storeEntry{key: key}
	}
	return s.entries[i]
}

// commit makes all writes or, if a condition fails, none.
func (s *claimState) commit(writes []platform.Write) reply {
	for _, w := range writes {
		if !s.allows(w) {
			return reply{err: platform.ErrConflict}
		}
	}
	for _, w := range writes {
		s.apply(w)
	}
	return reply{version: s.commitIndex}
}

// allows reports whether the conditions of a write hold.
func (s *claimState) allows(w platform.Write) bool {
	if w.IfUnchanged.Key != "" && s.entry(w.IfUnchanged.Key).version != uint64(w.IfUnchanged.Version) {
		return false
	}
	taken := slices.ContainsFunc(w.IfAbsent, func(key string) bool { return s.entry(key).version != 0 })
	return !taken && (s.disabled == mechanismCompare || s.entry(w.Key).version == uint64(w.Expect))
}

func (s *claimState) apply(w platform.Write) {
	s.commitIndex++
	s.entries = slices.DeleteFunc(slices.Clone(s.entries), func(c storeEntry) bool { return c.key == w.Key })
	if w.Delete {
		return
	}
	s.entries = append(s.entries, storeEntry{key: w.Key, version: s.commitIndex, value: w.Value})
	slices.SortFunc(s.entries, func(a, b storeEntry) int { return cmp.Compare(a.key, b.key) })
}

// resume gives a dispatcher the reply to its call and runs it to the next one.
func (s *claimState) resume(i int, r reply) explore.State {
	a := &s.dispatchers[i]
	a.replies = append(slices.Clone(a.replies), r)
	a.replyHash = sha256.Sum256(fmt.Appendf(a.replyHash[:], "%x %d %v", r.value, r.version, r.err))
	s.advance(i)
	return *s
}

// restart starts a dispatcher again without state. The request that it had is counted as
// sent, and the following ones repeat it.
func (s *claimState) restart(i int) explore.State {
	s.dispatchers[i] = dispatcher{restarts: s.dispatchers[i].restarts + 1, sentBefore: s.dispatchers[i].sentBefore + 1}
	s.advance(i)
	return *s
}

// replayStore is a claim.Store whose calls are replayed.
type replayStore struct {
	replayer *replayer
}

// Get implements claim.Store.
func (s *replayStore) Get(_ context.Context, key string) (platform.Entry, error) {
	r := s.replayer.replyTo(call{kind: callGet, key: key})
	if r.err != nil {
		return platform.Entry{}, r.err
	}
	return platform.Entry{Key: key, Value: r.value, Version: platform.Version(r.version)}, nil
}

// Swap implements claim.Store.
func (s *replayStore) Swap(_ context.Context, w platform.Write) (platform.Version, error) {
	r := s.replayer.replyTo(call{kind: callWrite, writes: []platform.Write{w}})
	return platform.Version(r.version), r.err
}

// List implements claim.Store. Claims list keys only during a sweep, which is not modelled.
func (*replayStore) List(context.Context, string) ([]platform.Entry, error) {
	return nil, platform.ErrUnavailable
}

// Commit implements claim.Store.
func (s *replayStore) Commit(_ context.Context, writes ...platform.Write) error {
	return s.replayer.replyTo(call{kind: callWrite, writes: writes}).err
}
