package direct

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/roster"
	"github.com/chiveramp/chiveramp/internal/core/suspect"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/internal/gossip"
	"github.com/chiveramp/chiveramp/internal/loader"
)

// world is the time of an instance under test.
type world struct{ passed time.Duration }

func (w *world) now() time.Time        { return time.Unix(1_000_000, 0).Add(w.passed) }
func (w *world) uptime() time.Duration { return time.Hour + w.passed }

func newTestState(w *world) *state {
	place := fleet.Place{Region: "south", DataCentre: "a"}
	self := member.Peer{Instance: "one", Incarnation: "1", Place: fleet.Place{DataCentre: site}, Address: "a:1", Caller: "a:2"}
	s := newState(self, place, map[fleet.DataCentre]fleet.Region{"a": "south"}, balance.NewBudget(0.2, 10, 10*time.Second), 300*time.Millisecond, w.now, log.NewNopLogger())
	s.uptime = w.uptime
	s.takeRecords([]roster.Record{{ID: "p", Revision: 1, Entry: roster.Entry{ID: "p", Service: "s", Slots: 4, Revision: 1}}}, 1, true)
	return s
}

func beatOf(sequence uint64, sent time.Duration, reports ...gossip.Report) *gossip.Beat {
	return &gossip.Beat{
		Peer: member.Peer{Instance: "two", Incarnation: "7", Sequence: sequence, Place: fleet.Place{DataCentre: site}, Address: "b:1", Caller: "b:2"},
		Sent: sent, Reports: reports, Ready: true,
	}
}

// A beat that waited on a cut connection doesn't make its reports young.
func TestLateBeatsBringOldReports(t *testing.T) {
	w := &world{}
	s := newTestState(w)
	report := func(seq int64) gossip.Report {
		return gossip.Report{Endpoint: "p", Age: 100 * time.Millisecond, Report: roster.Report{Seq: seq}}
	}
	s.hear(beatOf(1, 10*time.Second, report(1)))
	assert.Equal(t, w.now().Add(-100*time.Millisecond), s.roster.Get("p").Report.Taken)
	w.passed = 8 * time.Second
	s.Reported("p", roster.Report{Seq: 5, Taken: w.now().Add(-time.Second)})
	s.hear(beatOf(2, 11*time.Second, report(2))) // left a second after the first, seven ago
	assert.Equal(t, int64(5), s.roster.Get("p").Report.Seq)
	s.hear(beatOf(3, 18*time.Second, report(6)))
	assert.Equal(t, int64(6), s.roster.Get("p").Report.Seq, "in time again")
}

// An endpoint that wasn't asked yet counts with what its entry says: its models aren't lost.
func TestEntriesTellWhatEndpointsHold(t *testing.T) {
	w := &world{}
	s := newTestState(w)
	entry := roster.Entry{ID: "q", Service: "s", Born: 5, Seq: 3, Models: []roster.Holding{{Model: "m"}}, AtHand: []fleet.Model{"m", "n"}, Revision: 2}
	s.takeRecords([]roster.Record{{ID: "q", Revision: 2, Entry: entry}}, 2, false)
	var found *loader.Candidate
	for _, c := range s.Engine("s") {
		if c.ID == "q" {
			found = &c
		}
	}
	require.NotNil(t, found)
	assert.True(t, roster.Holds(found.Report.Models, "m", ""))
	assert.True(t, found.Report.Taken.IsZero(), "too old for an order to rest on it")
	assert.Equal(t, int64(3), found.Report.Seq)
	assert.Equal(t, []fleet.Model{"m", "n"}, found.AtHand)
	s.Reported("q", roster.Report{Seq: 4, Born: 5, Taken: w.now()})
	for _, c := range s.Engine("s") {
		assert.False(t, roster.Holds(c.Report.Models, "m", ""), "the report counts from then on")
	}
}

// A request with which three endpoints died is refused by every instance, whoever saw
// the deaths; connections that break while their endpoint lives count for nothing, and
// an answer clears a request.
func TestRequestsThatKillEndpoints(t *testing.T) {
	w := &world{}
	one, two := newTestState(w), newTestState(w)
	const killer, beside, unlucky = suspect.Fingerprint(1), suspect.Fingerprint(2), suspect.Fingerprint(3)
	revision := int64(1)
	dies := func(s *state, id fleet.Endpoint, runs ...suspect.Fingerprint) {
		for _, r := range []roster.Record{
			{ID: id, Entry: roster.Entry{ID: id, Service: "s", Born: 5}},
			{ID: id, Removed: true},
		} {
			revision++
			r.Revision, r.Entry.Revision = revision, revision
			s.takeRecords([]roster.Record{r}, revision, false)
			for _, f := range runs {
				if !r.Removed {
					began := w.now()
					w.passed += 10 * time.Millisecond
					s.AnswerInterrupted(gateway.Target{ID: id, Born: 5}, f, began)
				}
			}
			s.tidy()
		}
	}
	told := func(from, to *state) {
		_, b := from.beat()
		b.Peer.Instance = "other"
		to.hear(b)
	}
	dies(one, "a", killer, beside)
	dies(one, "b", killer)
	for range 5 {
		one.AnswerInterrupted(gateway.Target{ID: "p"}, unlucky, w.now()) // p lives on
	}
	assert.False(t, one.IsPoison(killer))
	dies(two, "c", killer, beside)
	told(two, one)
	told(one, two)
	for _, s := range []*state{one, two} {
		assert.True(t, s.IsPoison(killer))
		assert.False(t, s.IsPoison(beside))
		assert.False(t, s.IsPoison(unlucky))
	}
	one.AnswerCompleted(beside)
	dies(one, "d", unlucky)
	dies(one, "e", unlucky)
	one.AnswerCompleted(unlucky)
	assert.False(t, one.IsPoison(unlucky))
}

// A run that broke off long before its endpoint died had nothing to do with it.
func TestOldBreaksAreNoDeaths(t *testing.T) {
	w := &world{}
	s := newTestState(w)
	s.AnswerInterrupted(gateway.Target{ID: "p"}, 4, w.now())
	w.passed = brokenKept + time.Second
	s.tidy()
	s.takeRecords([]roster.Record{{ID: "p", Revision: 2, Removed: true}}, 2, false)
	s.tidy()
	assert.Zero(t, s.crashes.Length(w.now(), 4))
}

// A beat that waited on a cut connection tells deaths of that long ago.
func TestLateBeatsTellOldDeaths(t *testing.T) {
	w := &world{}
	s := newTestState(w)
	s.hear(beatOf(1, 10*time.Second))
	w.passed = 8 * time.Second // the next one left a second after the first, seven ago
	b := beatOf(2, 11*time.Second)
	b.Crashes = []gossip.Crash{{Fingerprint: 4, Incarnation: "a/1", Began: time.Second}}
	s.hear(b)
	s.crashes.Add(suspect.Crash{Fingerprint: 4, Incarnation: "b/1", SentAt: w.now().Add(-6 * time.Second), FailedAt: w.now().Add(-500 * time.Millisecond)})
	assert.Equal(t, 2, s.crashes.Length(w.now(), 4), "the second began after the first had died")
}

// Equal requests of many callers are in flight at several endpoints that die at once: that
// is no request that kills them. It takes answers between into account as well.
func TestRequestsBesideDeathsAreNotRefused(t *testing.T) {
	w := &world{}
	s := newTestState(w)
	const lookup = suspect.Fingerprint(9)
	revision := int64(1)
	set := func(removed bool, ids ...fleet.Endpoint) {
		for _, id := range ids {
			revision++
			s.takeRecords([]roster.Record{{ID: id, Revision: revision, Removed: removed, Entry: roster.Entry{ID: id, Service: "s", Born: 5, Revision: revision}}}, revision, false)
		}
	}
	set(false, "a", "b", "c", "d")
	began := w.now()
	w.passed += 60 * time.Millisecond
	for _, id := range []fleet.Endpoint{"a", "b", "c"} {
		s.AnswerInterrupted(gateway.Target{ID: id, Born: 5}, lookup, began)
	}
	set(true, "a", "b", "c")
	s.tidy()
	assert.False(t, s.IsPoison(lookup), "died at once")
	s.AnswerCompleted(lookup)
	w.passed += time.Second
	s.AnswerInterrupted(gateway.Target{ID: "d", Born: 5}, lookup, w.now())
	set(true, "d")
	s.tidy()
	assert.False(t, s.IsPoison(lookup), "answered between")
}

// What is missing from a list that was just read may be listed yet.
func TestAListSettles(t *testing.T) {
	w := &world{}
	s := newTestState(w)
	assert.False(t, s.Settled())
	w.passed = listSettles - time.Millisecond
	s.takeRecords([]roster.Record{{ID: "q", Revision: 2, Entry: roster.Entry{ID: "q", Service: "s", Slots: 4, Revision: 2}}}, 2, false)
	assert.False(t, s.Settled())
	w.passed = listSettles
	assert.True(t, s.Settled(), "since the first list, whatever changes")
}

// A fast model's requests are less work than a slow one's.
func TestDemandCountsByPace(t *testing.T) {
	w := &world{}
	s := newTestState(w)
	ask := func(m fleet.Model) *balance.Request {
		return &balance.Request{Service: "s", Model: m, PromptTokens: 1000, OutputTokens: 10}
	}
	s.board.Measured("fast", 200*time.Millisecond, 50*time.Millisecond)
	for range 50 {
		s.CountRequest(ask("fast"))
		s.CountRequest(ask("slow"))
	}
	newest, steady, _ := s.Demand()
	assert.InEpsilon(t, newest["slow"]/4, newest["fast"], 0.05)
	assert.InEpsilon(t, steady["slow"]/4, steady["fast"], 0.05)
}

// A peer that is ahead is asked; one that fell silent is not named to callers.
func TestPeersNews(t *testing.T) {
	w := &world{}
	s := newTestState(w)
	b := beatOf(1, 0)
	b.Catalog, b.Place = 9, fleet.Place{Region: "south", DataCentre: "a"}
	s.hear(b)
	address, f, ok := s.behind()
	require.True(t, ok)
	assert.Equal(t, "b:1", address)
	assert.Zero(t, f.Catalog)
	assert.Equal(t, []string{"b:2"}, s.addresses("south", "a:2", false))
	for range 20 {
		w.passed += 300 * time.Millisecond
		s.beat()
	}
	assert.Empty(t, s.addresses("south", "a:2", false))
	assert.Equal(t, []string{"a:2"}, s.addresses("south", "a:2", true))
	s.leave()
	assert.Empty(t, s.addresses("south", "a:2", true))
}
