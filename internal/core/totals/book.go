package totals

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
)

const (
	// passPatience is how long nobody may pass on the totals of a data centre before any
	// instance that heard them does.
	passPatience = 2 * member.DefaultExchange
	// freshFor is how long after it was heard a message may be passed on. Later it would
	// make a data centre look alive that has been lost meanwhile.
	freshFor = member.DefaultExchange
	// heldFor is how long a full is kept that nothing rests on any more.
	heldFor = 2 * mostPeriod
)

// Verdict says what became of a message.
type Verdict string

// The verdicts.
const (
	// Taken: the state is now that of the message.
	Taken Verdict = "taken"
	// Stale: newer news of the same source is known.
	Stale Verdict = "stale"
	// Unknown: the message rests on a full that is not known, and has to be asked for.
	Unknown Verdict = "unknown"
)

// held is one full with the latest difference on it.
type held struct {
	full   Message
	latest Message
	at     time.Time // when last used
}

// centre is what is known of one data centre.
type centre struct {
	held  map[Source]*held
	last  Source // of whom the latest message came
	heard time.Time
	// from is the source whose messages this instance passes on.
	from  Source
	fresh map[Source]time.Time // when heard from there, since last passed on
	// told is when the totals were last passed on by anybody, toldBase on which full.
	told     time.Time
	toldBase ID
}

// Book keeps the totals of other data centres. It is not safe for concurrent use.
type Book struct {
	centres map[fleet.DataCentre]*centre
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{centres: map[fleet.DataCentre]*centre{}}
}

// Hear takes a message from the data centre that it tells of.
func (b *Book) Hear(now time.Time, m Message) Verdict {
	v, c := b.take(now, m)
	if v == Taken && !m.Full() {
		c.fresh[m.Base.Source] = now
	}
	return v
}

// HearPassed takes a message that another instance of the own data centre passed on.
func (b *Book) HearPassed(now time.Time, m Message) Verdict {
	v, c := b.take(now, m)
	if v == Taken && !m.Full() {
		c.told, c.toldBase = now, m.Base
	}
	return v
}

func (b *Book) take(now time.Time, m Message) (Verdict, *centre) {
	c, ok := b.centres[m.Place.DataCentre]
	if !ok {
		c = &centre{held: map[Source]*held{}, fresh: map[Source]time.Time{}}
		b.centres[m.Place.DataCentre] = c
	}
	h, known := c.held[m.Base.Source]
	if known && m.Base.Serial < h.full.Base.Serial {
		return Stale, c
	}
	if m.Full() {
		return c.takeFull(now, m), c
	}
	if !known || m.Base != h.full.Base {
		return Unknown, c
	}
	if m.Number <= h.latest.Number {
		return Stale, c
	}
	h.latest, h.at = m, now
	c.last, c.heard = m.Base.Source, now
	c.forget(now)
	return Taken, c
}

func (c *centre) takeFull(now time.Time, m Message) Verdict {
	if h, ok := c.held[m.Base.Source]; ok && h.full.Base == m.Base {
		return Stale
	}
	c.held[m.Base.Source] = &held{full: m, at: now}
	delete(c.fresh, m.Base.Source) // until a difference comes
	return Taken
}

// forget drops fulls that nothing rests on any more.
func (c *centre) forget(now time.Time) {
	for source, h := range c.held {
		if now.Sub(h.at) > heldFor {
			delete(c.held, source)
			delete(c.fresh, source)
		}
	}
}

// Known returns the full of a source that is held.
func (b *Book) Known(dc fleet.DataCentre, source Source) ID {
	if c, ok := b.centres[dc]; ok && c.held[source] != nil {
		return c.held[source].full.Base
	}
	return ID{}
}

// Held returns the full of a source with the latest difference on it, to be given to
// an instance that lacks it.
func (b *Book) Held(dc fleet.DataCentre, source Source) []Message {
	c, ok := b.centres[dc]
	if !ok || c.held[source] == nil {
		return nil
	}
	h := c.held[source]
	if h.latest.Full() {
		return []Message{h.full}
	}
	return []Message{h.full, h.latest}
}

// Pass returns what to pass on inside the own data centre: of each data centre that
// this instance is the first to speak to, all that it heard, and of others only what
// nobody has passed on for long. A full is passed on once.
func (b *Book) Pass(now time.Time, first func(fleet.DataCentre) bool) []Message {
	var list []Message
	for _, dc := range slices.Sorted(maps.Keys(b.centres)) {
		c := b.centres[dc]
		if first(dc) || now.Sub(c.told) >= passPatience {
			list = append(list, c.pass(now)...)
		}
	}
	return list
}

func (c *centre) pass(now time.Time) []Message {
	maps.DeleteFunc(c.fresh, func(_ Source, at time.Time) bool { return now.Sub(at) > freshFor })
	if len(c.fresh) == 0 {
		return nil
	}
	if _, ok := c.fresh[c.from]; !ok {
		if h, ok := c.held[c.from]; ok && now.Sub(h.at) < passPatience {
			return nil
		}
		c.from = slices.Sorted(maps.Keys(c.fresh))[0]
	}
	clear(c.fresh)
	h := c.held[c.from]
	list := []Message{h.latest}
	if h.full.Base != c.toldBase {
		list = []Message{h.full, h.latest}
	}
	c.told, c.toldBase = now, h.full.Base
	return list
}

// Instances returns the instances of a data centre that take new work, as last told.
func (b *Book) Instances(dc fleet.DataCentre) []member.Peer {
	c, ok := b.centres[dc]
	if !ok || c.held[c.last] == nil {
		return nil
	}
	h := c.held[c.last]
	rows := make(map[uint32]member.Peer, len(h.full.Rows))
	for _, r := range slices.Concat(h.full.Rows, h.latest.Rows) {
		r.Peer.Revision = h.latest.Revision
		rows[r.Number] = r.Peer
	}
	for _, number := range h.latest.Gone {
		delete(rows, number)
	}
	for _, behind := range h.latest.Behind {
		p := rows[behind.Number]
		p.Revision = behind.Revision
		rows[behind.Number] = p
	}
	list := slices.Collect(maps.Values(rows))
	slices.SortFunc(list, func(a, b member.Peer) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}

// Option is a data centre that has copies of a model.
type Option struct {
	Place fleet.Place
	Sum   Sum
}

// Options returns the data centres with copies of a model, by name. What was heard
// longer ago than the expiry is left out.
func (b *Book) Options(now time.Time, model string, expiry time.Duration) []Option {
	var list []Option
	for _, dc := range slices.Sorted(maps.Keys(b.centres)) {
		c := b.centres[dc]
		h := c.held[c.last]
		if h == nil || now.Sub(c.heard) > expiry {
			continue
		}
		sum, changed := find(h.latest.Models, model)
		if !changed {
			sum, _ = find(h.full.Models, model)
		}
		if sum.Copies > 0 {
			list = append(list, Option{Place: h.full.Place, Sum: sum})
		}
	}
	return list
}

func byModel(a, b Sum) int { return cmp.Compare(a.Model, b.Model) }
