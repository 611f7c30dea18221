package direct

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/roster"
	"github.com/chiveramp/chiveramp/internal/core/suspect"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

const (
	siteBeat          = 300 * time.Millisecond
	siteEndpoints     = 18
	siteRestart       = 5 * time.Second         // from a crash until the endpoint is back
	siteEntryLapse    = 3300 * time.Millisecond // from a crash until its entry is removed
	siteSubjects      = 40                      // second parts that sound requests share
	sitePolls         = 12                      // requests that callers send again and again
	siteAttempts      = 2
	siteLinkDelay     = 40 * time.Millisecond
	siteFirstEvent    = 150 * time.Millisecond // mean time from the arrival at an endpoint to the first event
	siteStream        = 1500 * time.Millisecond
	siteAdmissionWait = 100 * time.Millisecond
	siteRepeatAfter   = 800 * time.Millisecond // until a caller sends a failed request again
)

// promptSite simulates instances that share endpoints and exchange heartbeats, in virtual time.
type promptSite struct {
	promptSiteSettings
	t       *testing.T
	clock   *testClock
	random  *rand.Rand
	states  []*state
	peers   map[fleet.Instance]*state
	killed  map[*state]bool
	stored  map[suspect.Key]verdictRecord // by the store, which instances write and read as one with records
	servers []*siteEndpoint
	events  siteEvents

	revision, incarnations int64
	requests               uint64

	crashes     []time.Duration                     // of endpoints by requests that crash them
	crashingRun []time.Duration                     // when such requests were sent
	sound       map[bool]map[time.Duration]*siteSum // whether the first part is the hot one, second
	refused     map[string]bool                     // sound parts refused at any time
	refusals    int                                 // of sound requests
}

type siteSum struct{ requests, begun int }

type promptSiteSettings struct {
	instances     int
	seed          uint64
	crashingRate  float64       // requests with the crashing part a second
	crashingFrom  time.Duration // when they begin
	crashingUntil time.Duration // when they end, 0 for never
	crashesFirst  bool          // the first part crashes instead of the second
	soundRate     float64       // sound requests a second, most with the same first part
	loss          float64       // share of heartbeats lost
	slow          float64       // share of heartbeats that arrive a second late
	resets        float64       // share of the runs whose connection is reset by an endpoint that goes on
	hot           float64       // share of the sound requests with the first part of the crashing ones
	subjects      int           // second parts that sound requests share, siteSubjects if 0
	endpoints     int           // siteEndpoints if 0
	firstEvent    time.Duration // siteFirstEvent if 0
	ends          float64       // endpoints that end for another reason, a second
	rack          int           // how many of them end at once
	companion     float64       // share of the crashing requests beside which a rare sound part is asked for
	identical     bool          // the crashing requests are the same one and share no part with others
	variants      bool          // they differ in their callers or queries
	copies        int           // how many crashing requests arrive at once, 1 if 0
	polled        float64       // share of the sound requests that are one of sitePolls that come again and again
	restart       time.Duration // siteRestart if 0
	storeAway     bool          // entries of endpoints that have ended stay
	turns         int           // the crashing part is followed by one of so many parts
	callers       int           // the crashing requests are for one resource, from so many callers
	models        int           // each endpoint has one of so many models, 1 if 0; the crashing requests are for the first
	repeats       int           // how often a caller sends a request again that has failed
}

// crashingIdentity is the identity of identical requests that crash endpoints.
var crashingIdentity = suspect.Identity{Request: 1 << 41, Resource: 1 << 42}

type siteEndpoint struct {
	id    fleet.Endpoint
	born  int64
	model int
	up    bool
	runs  []*siteRun
	// downAt is when it crashed.
	downAt time.Duration
}

type siteRequest struct {
	parts    []balance.PromptPart
	identity suspect.Identity
	model    int
	crashing bool
	hot      bool
	repeats  int
	arrived  time.Duration
	sent     int
	begun    bool
	exclude  []fleet.Endpoint
}

type siteRun struct {
	request  *siteRequest
	at       *state
	endpoint *siteEndpoint
	target   gateway.Target
	sentAt   time.Duration
	begun    bool
	ended    bool
}

type siteEvent struct {
	at  time.Duration
	n   uint64
	run func()
}

type siteEvents struct {
	list []siteEvent
	next uint64
}

func (e *siteEvents) Len() int { return len(e.list) }
func (e *siteEvents) Less(i, j int) bool {
	return e.list[i].at < e.list[j].at || e.list[i].at == e.list[j].at && e.list[i].n < e.list[j].n
}
func (e *siteEvents) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *siteEvents) Push(x any)    { e.list = append(e.list, x.(siteEvent)) }
func (e *siteEvents) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

func newPromptSite(t *testing.T, settings promptSiteSettings) *promptSite {
	t.Helper()
	p := &promptSite{
		promptSiteSettings: settings, t: t, clock: &testClock{}, random: rand.New(rand.NewPCG(settings.seed, 7)),
		peers: make(map[fleet.Instance]*state), killed: make(map[*state]bool), stored: make(map[suspect.Key]verdictRecord), sound: map[bool]map[time.Duration]*siteSum{true: {}, false: {}}, refused: make(map[string]bool),
	}
	var members []member.Peer
	for i := range p.instances {
		name := fmt.Sprintf("front-%03d", i)
		members = append(members, member.Peer{Instance: fleet.Instance(name), Incarnation: "1", Place: fleet.Place{DataCentre: allDataCentres}, Address: name, Caller: name, Sequence: 1})
	}
	for i := range members {
		p.addInstance(members[i], members)
	}
	for i := range cmp.Or(p.endpoints, siteEndpoints) {
		p.startEndpoint(i % max(1, p.models))
	}
	for _, s := range p.states {
		p.startTasks(s)
	}
	p.at(p.soundRate, 0, 0, func() { p.arrive(p.soundRequest()) })
	p.at(p.crashingRate, p.crashingFrom, p.crashingUntil, func() {
		for range max(1, p.copies) {
			p.arrive(p.crashingRequest())
		}
		if p.random.Float64() < p.companion {
			p.arrive(p.newRequest("rare", "companion"))
		}
	})
	p.at(p.ends, p.crashingFrom, p.crashingUntil, p.endRack)
	return p
}

func (p *promptSite) startTasks(s *state) {
	p.every(siteBeat, func() { p.beat(s) })
	p.every(cleanUpInterval, func() { s.cleanUp() })
	written := make(map[suspect.Key]writtenVerdict)
	var store func()
	store = func() { // without a random phase, which would change what the seeds give
		if p.killed[s] {
			return
		}
		due := s.verdictsToStore(written)
		for _, v := range due {
			p.stored[v.Key] = v
		}
		s.recordWrittenVerdicts(written, due)
		p.after(verdictInterval, store)
	}
	p.after(verdictInterval, store)
}

// killAll kills all instances at once, and starts them with the list of endpoints only.
func (p *promptSite) killAll() {
	var members []member.Peer
	for _, s := range p.states {
		p.killed[s] = true
		self := s.view.Self()
		self.Incarnation += "+"
		members = append(members, self)
	}
	for _, e := range p.servers {
		for _, r := range e.runs {
			r.ended = true
		}
		e.runs = nil
	}
	p.states = nil
	for i := range members {
		s := p.addInstance(members[i], members)
		for _, e := range p.servers {
			r := roster.Record{ID: e.id, Revision: p.revision, Entry: roster.Entry{ID: e.id, Service: "s", Born: e.born, Slots: 64, Revision: p.revision}}
			s.applyRecords(fromStore, []roster.Record{r}, p.revision, false)
		}
		p.after(verdictInterval, func() { s.applyVerdictRecords(slices.Collect(maps.Values(p.stored))) })
		p.startTasks(s)
	}
}

// endRack ends one or more endpoints at once, for a reason that is not a request.
func (p *promptSite) endRack() {
	for range max(1, p.rack) {
		if len(p.servers) > 0 {
			p.end(p.servers[p.random.IntN(len(p.servers))])
		}
	}
}

func (p *promptSite) addInstance(self member.Peer, members []member.Peer) *state {
	s := newState(self, fleet.Place{Region: "south", DataCentre: "a"}, map[fleet.DataCentre]fleet.Region{"a": "south"},
		balance.NewBudget(0.2, 10, 10*time.Second), siteBeat, p.clock.now, log.NewNopLogger())
	s.uptime = p.clock.uptime
	for i := range members {
		if members[i].Instance != self.Instance {
			s.view.Observe(p.clock.now(), members[i])
		}
	}
	p.states = append(p.states, s)
	p.peers[self.Instance] = s
	return s
}

// after runs a function later, every one at each interval with a random phase.
func (p *promptSite) after(d time.Duration, run func()) {
	p.events.next++
	heap.Push(&p.events, siteEvent{at: p.clock.elapsed + d, n: p.events.next, run: run})
}

func (p *promptSite) every(interval time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		p.after(interval, again)
	}
	p.after(p.between(0, interval), again)
}

func (p *promptSite) between(a, b time.Duration) time.Duration {
	return a + time.Duration(p.random.Float64()*float64(b-a))
}

// run lets the site go on until a time.
func (p *promptSite) run(until time.Duration) {
	for p.events.Len() > 0 && p.events.list[0].at <= until {
		e := heap.Pop(&p.events).(siteEvent)
		p.clock.elapsed = e.at
		e.run()
	}
	p.clock.elapsed = until
}

func (p *promptSite) beat(s *state) {
	if p.killed[s] {
		return
	}
	targets, b := s.heartbeat()
	packed, err := gossip.Pack(b)
	require.NoError(p.t, err)
	b, err = packed.Unpack()
	require.NoError(p.t, err)
	for i := range targets {
		if p.random.Float64() < p.loss {
			continue
		}
		delay := p.between(siteLinkDelay/8, siteLinkDelay)
		if p.random.Float64() < p.slow {
			delay += time.Second
		}
		to := p.peers[targets[i].Instance]
		p.after(delay, func() { to.receiveHeartbeat(b) })
	}
}

func (p *promptSite) apply(r roster.Record) {
	p.revision++
	r.Revision, r.Entry.Revision = p.revision, p.revision
	for _, s := range p.states {
		s.applyRecords(fromStore, []roster.Record{r}, p.revision, false)
	}
}

func (p *promptSite) startEndpoint(model int) {
	p.incarnations++
	e := &siteEndpoint{id: fleet.Endpoint(fmt.Sprintf("i-%04d", p.incarnations)), born: p.incarnations, model: model, up: true}
	p.servers = append(p.servers, e)
	p.apply(roster.Record{ID: e.id, Entry: roster.Entry{ID: e.id, Service: "s", Born: e.born, Slots: 64}})
}

// end ends an endpoint: all its connections break, its entry lapses later, and another one starts.
func (p *promptSite) end(e *siteEndpoint) {
	if !e.up {
		return
	}
	e.up, e.downAt = false, p.clock.elapsed
	runs := e.runs
	e.runs = nil
	for _, r := range runs {
		p.after(p.between(0, siteLinkDelay/2), func() { p.interrupt(r) })
	}
	p.after(siteEntryLapse, func() {
		if !p.storeAway {
			p.apply(roster.Record{ID: e.id, Removed: true})
		}
		p.servers = slices.DeleteFunc(p.servers, func(o *siteEndpoint) bool { return o == e })
	})
	p.after(cmp.Or(p.restart, siteRestart), func() { p.startEndpoint(e.model) })
}

// at runs a function at random times, at a rate a second.
func (p *promptSite) at(rate float64, from, until time.Duration, run func()) {
	if rate <= 0 {
		return
	}
	var next func()
	next = func() {
		if until > 0 && p.clock.elapsed > until {
			return
		}
		run()
		p.after(time.Duration(p.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	p.after(from, next)
}

// identityOf returns the identity of a request that is the only one for its resource.
func identityOf(n uint64) suspect.Identity {
	return suspect.Identity{Request: suspect.Fingerprint(n), Resource: suspect.Fingerprint(n)}
}

func (p *promptSite) newRequest(first, second string) *siteRequest {
	p.requests++
	own := fmt.Sprintf("own%d", p.requests)
	r := &siteRequest{
		parts:    []balance.PromptPart{{ID: first, Tokens: 800}, {ID: second, Tokens: 400}, {ID: own, Tokens: 200}},
		identity: identityOf(p.requests), hot: first == "hot", repeats: p.repeats,
	}
	if p.models > 1 {
		r.model = p.random.IntN(p.models)
	}
	return r
}

// soundRequest returns a request whose second part is one of a few frequent or many rare ones.
func (p *promptSite) soundRequest() *siteRequest {
	subject := int(float64(cmp.Or(p.subjects, siteSubjects)) * p.random.Float64() * p.random.Float64())
	if p.random.Float64() < p.polled {
		poll := p.random.IntN(sitePolls)
		return &siteRequest{identity: identityOf(uint64(1<<40 + poll)), parts: []balance.PromptPart{{ID: "poll"}, {ID: fmt.Sprint(poll)}}}
	}
	if p.random.Float64() < p.hot && !p.crashesFirst {
		return p.newRequest("hot", fmt.Sprintf("subject%d", subject))
	}
	return p.newRequest("other", fmt.Sprintf("other%d", subject))
}

func (p *promptSite) crashingRequest() *siteRequest {
	if p.identical {
		r := &siteRequest{identity: crashingIdentity, crashing: true, repeats: p.repeats}
		if p.variants {
			p.requests++
			r.identity.Request += suspect.Fingerprint(p.requests)
		}
		if p.callers > 0 {
			r.identity.Request += suspect.Fingerprint(p.random.IntN(p.callers))
		}
		return r
	}
	r := p.newRequest("hot", "crashing")
	if p.turns > 0 {
		turn := balance.PromptPart{ID: fmt.Sprint("turn", p.random.IntN(p.turns)), Tokens: 100}
		r.parts = slices.Insert(r.parts, 2, turn)
	}
	if p.crashesFirst {
		r = p.newRequest("crashing", fmt.Sprintf("subject%d", p.random.IntN(siteSubjects)))
	}
	r.crashing = true
	return r
}

func (p *promptSite) arrive(r *siteRequest) {
	r.arrived = p.clock.elapsed
	if !r.crashing {
		p.sum(r).requests++
	}
	p.attempt(p.states[p.random.IntN(len(p.states))], r)
}

func (p *promptSite) sum(r *siteRequest) *siteSum {
	second := r.arrived.Truncate(time.Second)
	if p.sound[r.hot][second] == nil {
		p.sound[r.hot][second] = &siteSum{}
	}
	return p.sound[r.hot][second]
}

// attempt sends a request to an endpoint that the instance takes for one in service, after a
// wait for its admission.
func (p *promptSite) attempt(s *state, r *siteRequest) {
	if p.killed[s] {
		return
	}
	if p.refuses(s, r) {
		p.repeat(r)
		return
	}
	p.after(p.between(0, siteAdmissionWait), func() {
		if p.killed[s] {
			return
		}
		if p.refuses(s, r) || r.sent >= siteAttempts {
			p.repeat(r)
			return
		}
		if _, err := s.ClaimRun(p.query(r), r.identity); err != nil {
			p.repeat(r)
			return
		}
		var known []*siteEndpoint
		for _, e := range p.servers {
			if e.model == r.model && (e.up || p.clock.elapsed-e.downAt < siteBeat) && !slices.Contains(r.exclude, e.id) {
				known = append(known, e)
			}
		}
		if len(known) == 0 {
			p.repeat(r)
			return
		}
		e := known[p.random.IntN(len(known))]
		r.exclude = append(r.exclude, e.id)
		if !e.up {
			p.attempt(s, r)
			return
		}
		r.sent++
		p.send(&siteRun{request: r, at: s, endpoint: e, sentAt: p.clock.elapsed, target: gateway.Target{ID: e.id, Born: e.born}})
	})
}

// repeat has the caller of a request that has failed send it again, at any instance.
func (p *promptSite) repeat(r *siteRequest) {
	if r.repeats <= 0 {
		return
	}
	r.repeats, r.sent, r.exclude = r.repeats-1, 0, nil
	p.after(p.between(siteRepeatAfter/2, siteRepeatAfter), func() { p.attempt(p.states[p.random.IntN(len(p.states))], r) })
}

func (p *promptSite) send(r *siteRun) {
	if r.request.crashing {
		p.crashingRun = append(p.crashingRun, p.clock.elapsed)
	}
	r.endpoint.runs = append(r.endpoint.runs, r)
	p.after(20*time.Millisecond+time.Duration(p.random.ExpFloat64()*float64(cmp.Or(p.firstEvent, siteFirstEvent))), func() { p.begin(r) })
}

func (p *promptSite) begin(r *siteRun) {
	switch {
	case r.ended || !r.endpoint.up:
	case r.request.crashing:
		p.crashes = append(p.crashes, p.clock.elapsed)
		p.end(r.endpoint)
	case p.random.Float64() < p.resets:
		p.remove(r)
		p.interrupt(r)
	default:
		r.begun = true
		if !r.request.begun {
			r.request.begun = true
			p.sum(r.request).begun++
		}
		p.answered(r)
		p.after(p.between(siteStream/3, siteStream), func() { p.complete(r) })
	}
}

func (p *promptSite) remove(r *siteRun) {
	r.endpoint.runs = slices.DeleteFunc(r.endpoint.runs, func(o *siteRun) bool { return o == r })
}

func (p *promptSite) complete(r *siteRun) {
	if r.ended || !r.endpoint.up {
		return
	}
	r.ended = true
	p.remove(r)
	r.at.AnswerCompleted(r.request.identity)
}

func (p *promptSite) interrupt(r *siteRun) {
	r.ended = true
	p.interrupted(r)
	p.attempt(r.at, r.request)
}

// sentAfter returns how many of the crashing requests were sent after a bound: window after the
// given number of crashes.
func (p *promptSite) sentAfter(crashes int, window time.Duration) int {
	if len(p.crashes) < crashes {
		return 0
	}
	n := 0
	for _, at := range p.crashingRun {
		if at > p.crashes[crashes-1]+window {
			n++
		}
	}
	return n
}

// share returns which share of the sound requests of a time began, whose first part was the hot
// one or not.
func (p *promptSite) share(hot bool, from, to time.Duration) float64 {
	all := siteSum{}
	for second, sum := range p.sound[hot] {
		if second >= from && second < to {
			all.requests += sum.requests
			all.begun += sum.begun
		}
	}
	return float64(all.begun) / max(1, float64(all.requests))
}

func (p *promptSite) query(r *siteRequest) *balance.Request {
	return &balance.Request{Service: "s", Parts: r.parts}
}

func (p *promptSite) refuses(s *state, r *siteRequest) bool {
	_, err := s.CheckRun(p.query(r), r.identity)
	refused := err != nil
	if refused && !r.crashing {
		p.refusals++
		p.refused[r.parts[0].ID+"/"+r.parts[1].ID] = true
	}
	return refused
}

// interrupted reports a run that broke off to its instance, which then asks whether the endpoint
// is gone.
func (p *promptSite) interrupted(r *siteRun) {
	sentAt := p.clock.now().Add(r.sentAt - p.clock.elapsed)
	r.at.AnswerInterrupted(r.target, r.request.identity, sentAt, r.request.begun)
	if !r.request.begun {
		r.at.PromptInterrupted(r.target, p.query(r.request), sentAt)
	}
	p.after(endCheckDelay+p.between(0, endCheckDelay+siteLinkDelay), func() { p.askBroken(r.at) })
}

// askBroken has an instance ask the endpoints to which connections broke whether they are gone.
func (p *promptSite) askBroken(s *state) {
	due, _ := s.endpointsToAsk()
	for i := range due {
		up := slices.ContainsFunc(p.servers, func(e *siteEndpoint) bool { return e.id == due[i].id && e.born == due[i].born && e.up })
		s.recordAsked(due[i].incarnation, p.clock.now(), !up, nil)
	}
}

func (p *promptSite) answered(r *siteRun) { r.at.PromptBegun(p.query(r.request)) }
