package allotment_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/chiveramp/chiveramp/internal/core/allotment"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

const (
	ms = time.Millisecond
	// window is the span of time over which the sum of all instances is bounded.
	window = 8 * time.Second
	// detection is how long instances take to see that another one is lost or back.
	detection = time.Second
	// callTimeout ends a call that has no answer.
	callTimeout = 60 * ms
	dataCentres = 6
)

// event is something that happens at a virtual time.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].order, e[j].order)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any) {
	if one, ok := x.(event); ok {
		*e = append(*e, one)
	}
}

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// spent is credit that a request used.
type spent struct {
	at     time.Duration
	amount float64
}

// sim is a fleet of instances in virtual time.
type sim struct {
	now       time.Duration
	events    events
	order     int
	random    *rand.Rand
	parts     int
	nodes     []*node
	limits    map[string]allotment.Limit
	loss      float64 // share of the messages that are lost
	maxDelay  time.Duration
	separated func(a, b int) bool
	turn      time.Duration // how often instances take another one for the owner, 0 for never
	// other decides on the requests of a workspace in place of the package under test, if it
	// keeps the workspace.
	other func(n *node, workspace string, cost float64) (admitted, kept bool)
	// answered is called when an instance answers wants as an owner, before it does.
	answered func(n *node, part int)
	refused  func(n *node, cost float64, wait time.Duration)
	perCall  bool // each want is a call of its own
	spent    map[string][]spent
	asked    map[string]float64
	calls    int // between instances
	bytes    int
	instant  int // requests that were decided without a call
	decided  int
}

// node is one instance of a sim.
type node struct {
	id          int
	hash        uint64
	name        fleet.Instance
	incarnation int
	down        bool
	leaving     bool
	successors  []*allotment.Successor // of the parts that it has handed over
	frozenUntil time.Duration
	changedAt   time.Duration // when it went down or came up
	lenders     []*allotment.Lender
	accounts    []*allotment.Accounts
	credits     map[string]*allotment.Credit
	limits      map[string]allotment.Limit
	rounds      int
}

func newSim(seed uint64, instances, parts int, limits map[string]allotment.Limit) *sim {
	s := &sim{
		random: rand.New(rand.NewPCG(seed, 1)), parts: parts, limits: limits,
		separated: func(int, int) bool { return false },
		spent:     make(map[string][]spent), asked: make(map[string]float64),
	}
	for i := range instances {
		n := &node{id: i, hash: mix(uint64(i+1) * 0x9e3779b97f4a7c15), name: fleet.Instance(fmt.Sprint("instance-", i)), changedAt: -time.Hour}
		s.nodes = append(s.nodes, n)
		s.start(n)
		s.tick(n, time.Duration(s.random.Int64N(int64(allotment.AskInterval))))
	}
	return s
}

// start gives an instance the state of a new process.
func (s *sim) start(n *node) {
	n.incarnation++
	n.lenders, n.accounts, n.credits = nil, nil, make(map[string]*allotment.Credit)
	n.leaving, n.successors = false, make([]*allotment.Successor, s.parts)
	for range s.parts {
		n.lenders = append(n.lenders, allotment.NewLender(s.now, n.name))
		n.accounts = append(n.accounts, allotment.NewAccounts(s.now, fmt.Sprint(n.name, "/", n.incarnation)))
	}
	s.configure(n, s.limits)
}

// configure puts limits in force at an instance.
func (s *sim) configure(n *node, limits map[string]allotment.Limit) {
	n.limits = limits
	for _, b := range n.accounts {
		parts := make(map[string]allotment.Limit)
		for name, l := range limits {
			parts[name] = l.Part(s.parts)
		}
		b.SetLimits(s.now, parts)
	}
}

func (s *sim) at(t time.Duration, do func()) {
	s.order++
	heap.Push(&s.events, event{t, s.order, do})
}

func (s *sim) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e, ok := heap.Pop(&s.events).(event)
		if !ok {
			return
		}
		s.now = max(s.now, e.at)
		e.do()
	}
	s.now = until
}

// at runs something at an instance: after its freeze, and never if it starts again before.
func (s *sim) on(n *node, t time.Duration, do func()) {
	incarnation := n.incarnation
	s.at(t, func() {
		switch {
		case n.down || n.incarnation != incarnation:
		case n.frozenUntil > s.now:
			s.on(n, n.frozenUntil, do)
		default:
			do()
		}
	})
}

func (s *sim) kill(n *node) {
	n.down, n.changedAt = true, s.now
	n.incarnation++
}

func (s *sim) restart(n *node) {
	n.down, n.changedAt = false, s.now
	s.start(n)
	s.tick(n, s.now+time.Duration(s.random.Int64N(int64(allotment.AskInterval))))
}

// leave has an instance stop as planned: it announces that, hands over what it owns, and ends after a while.
func (s *sim) leave(n *node, gone time.Duration) {
	s.on(n, s.now, func() {
		n.leaving = true
		for part := range s.parts {
			s.handOver(n, part)
		}
		s.on(n, s.now+gone, func() { s.kill(n) })
	})
}

// handOver asks the successor for a stamp, and hands over to it.
func (s *sim) handOver(n *node, part int) {
	to := s.nodes[s.candidate(n, part)]
	if to == n {
		return
	}
	s.send(n, to, func() {
		stamp := to.accounts[part].Stamp(s.now)
		s.send(to, n, func() {
			if !n.accounts[part].Lent(s.now) {
				return
			}
			h := n.accounts[part].HandOver(s.now, stamp)
			s.send(n, to, func() {
				if b := to.accounts[part]; b.TakeOver(s.now, &h) {
					stamp := b.Stamp(s.now)
					s.send(to, n, func() { n.successors[part] = &allotment.Successor{Instance: to.name, Stamp: stamp} })
				}
			})
		})
	})
}

// send has an instance do something with a message of another, if it arrives.
func (s *sim) send(from, to *node, do func()) {
	if !s.separated(from.id, to.id) && s.random.Float64() >= s.loss {
		s.on(to, s.now+s.latency(from, to), do)
	}
}

func (s *sim) freeze(n *node, d time.Duration) { n.frozenUntil, n.changedAt = s.now+d, s.now }

// live reports whether one instance takes another for live.
func (s *sim) live(from, to *node) bool {
	if to.leaving || from == to {
		return !to.leaving
	}
	if s.separated(from.id, to.id) {
		return false
	}
	lost := to.down || to.frozenUntil > s.now
	settled := s.now-to.changedAt > detection
	return !lost && (settled || to.frozenUntil <= s.now && to.frozenUntil > 0) || lost && !settled
}

// candidate is the owner of a part by rendezvous over the instances that one takes for live.
func (s *sim) candidate(n *node, part int) int {
	best, top, turn := n.id, uint64(0), 0
	near := func(o *node) bool { return s.parts == 1 || region(o) == part%2 }
	if s.turn > 0 {
		turn = int((s.now + time.Duration(n.id)*s.turn/16) / s.turn)
	}
	for _, other := range s.nodes {
		v := mix(other.hash^mix(uint64(part+1)<<32+uint64(turn))) >> 1
		if near(other) {
			v |= 1 << 63
		}
		if v > top && s.live(n, other) {
			best, top = other.id, v
		}
	}
	return best
}

func mix(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func region(n *node) int { return n.id % dataCentres / 3 }

func (s *sim) latency(a, b *node) time.Duration {
	l := ms
	switch {
	case a == b:
		return 0
	case region(a) != region(b):
		l = 20 * ms
	}
	if s.maxDelay > 0 {
		l += time.Duration(s.random.Int64N(int64(s.maxDelay)))
	}
	return l
}

// ask sends the wants of a part to its owner. The reply is handled before done is called.
func (s *sim) ask(n *node, part int, wants []allotment.Want, done func()) {
	s.askOnce(n, part, wants, false, done)
}

// askOnce asks, and unless it is asked again, lends at once when the reply lets it.
func (s *sim) askOnce(n *node, part int, wants []allotment.Want, again bool, done func()) {
	l := n.lenders[part]
	askedAt := s.now
	owner, offer := l.Offer(askedAt, s.nodes[s.candidate(n, part)].name, len(s.nodes))
	to := s.nodes[slices.IndexFunc(s.nodes, func(o *node) bool { return o.name == owner })]
	finished := false
	finish := func() {
		if !finished {
			finished = true
			done()
		}
	}
	s.count(n, to, offer, wants)
	if s.perCall && n != to {
		s.calls += max(0, 2*len(wants)-2)
	}
	reach := func(a, b *node) bool {
		return a == b || !s.separated(a.id, b.id) && s.random.Float64() >= s.loss
	}
	s.on(n, askedAt+callTimeout, finish)
	if !reach(n, to) {
		return
	}
	s.on(to, s.now+s.latency(n, to), func() {
		if s.answered != nil {
			s.answered(to, part)
		}
		stamp, grants := answer(to.accounts[part], s.now, offer, wants)
		successor := to.successors[part]
		s.count(n, to, stamp, grants)
		if !reach(to, n) {
			return
		}
		s.on(n, s.now+s.latency(to, n), func() {
			l.Received(s.now, to.name, stamp)
			if successor != nil {
				l.Moved(s.now, to.name, stamp.Incarnation, *successor)
				for i := range wants {
					wants[i].Returns = nil
				}
				if next, _ := l.Offer(s.now, s.nodes[s.candidate(n, part)].name, len(s.nodes)); next != owner {
					s.ask(n, part, wants, done)
					finished = true
					return
				}
			}
			for i, g := range grants {
				n.credit(s, g.Workspace).Receive(s.now, askedAt, part, stamp.Incarnation, wants[i], g)
			}
			if offer.Share == 0 && !again {
				if _, next := l.Offer(s.now, s.nodes[s.candidate(n, part)].name, len(s.nodes)); next.Share > 0 {
					s.askOnce(n, part, nil, true, func() {})
				}
			}
			finish()
		})
	})
}

func answer(b *allotment.Accounts, now time.Duration, o allotment.Offer, wants []allotment.Want) (allotment.Stamp, []allotment.Grant) {
	b.Lend(now, o)
	var grants []allotment.Grant
	for _, w := range wants {
		if o.Stamp.Incarnation != b.Stamp(now).Incarnation {
			w.Returns = nil
		}
		grants = append(grants, b.Grant(now, o.Lender, w))
	}
	return b.Stamp(now), grants
}

func (s *sim) count(a, b *node, messages ...any) {
	if a == b {
		return
	}
	s.calls++
	for _, m := range messages {
		text, err := cbor.Marshal(m)
		if err != nil {
			panic(err)
		}
		s.bytes += len(text)
	}
}

func (n *node) credit(s *sim, workspace string) *allotment.Credit {
	w := n.credits[workspace]
	if w == nil {
		w = allotment.NewCredit(workspace, s.parts)
		n.credits[workspace] = w
	}
	return w
}

// tick asks for portions and renews what is lent.
func (s *sim) tick(n *node, first time.Duration) {
	s.on(n, first, func() {
		n.rounds++
		for part := range s.parts {
			var wants []allotment.Want
			for _, name := range sortedKeys(n.credits) {
				if want, ok := n.credits[name].Plan(s.now, part, n.lenders[part].Incarnation()); ok {
					wants = append(wants, want)
				}
			}
			if len(wants) > 0 || n.rounds%2 == 0 || !n.lenders[part].Lending() {
				s.ask(n, part, wants, func() {})
			}
		}
		s.tick(n, s.now+allotment.AskInterval)
	})
}

func sortedKeys[V any](m map[string]V) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// request charges a request at an instance, and gives back what some took.
func (s *sim) request(n *node, workspace string, cost, refunded float64) {
	s.on(n, s.now, func() {
		s.asked[workspace] += cost
		s.decided++
		if s.other != nil {
			if ok, kept := s.other(n, workspace, cost); kept {
				s.instant++
				if ok {
					s.spent[workspace] = append(s.spent[workspace], spent{s.now, cost})
				}
				return
			}
		}
		n.credit(s, workspace).Count(s.now, cost)
		if s.charge(n, workspace, cost, refunded) {
			s.instant++
			return
		}
		s.urgent(n, workspace, cost, refunded, region(n)%s.parts, s.parts-1)
	})
}

// urgent asks the owners of the parts one after the other for what a request lacks.
func (s *sim) urgent(n *node, workspace string, cost, refunded float64, part, others int) {
	w := n.credit(s, workspace)
	next := func() {
		if s.charge(n, workspace, cost, refunded) {
			return
		}
		if others == 0 {
			wait := w.Refuse(s.now, cost, n.limits[workspace].Rate)
			if s.refused != nil {
				s.refused(n, cost, wait)
			}
			return
		}
		s.urgent(n, workspace, cost, refunded, (part+1)%s.parts, others-1)
	}
	if !w.MayAsk(s.now, part) {
		next()
		return
	}
	s.ask(n, part, []allotment.Want{w.Urgent(part, w.Missing(s.now, cost), others)}, next)
}

func (s *sim) charge(n *node, workspace string, cost, refunded float64) bool {
	receipt, ok := n.credit(s, workspace).Charge(s.now, cost)
	if !ok {
		return false
	}
	if s.random.Float64() < refunded {
		s.on(n, s.now+time.Duration(s.random.Int64N(int64(300*ms))), func() { n.credit(s, workspace).Refund(s.now, receipt) })
		return true
	}
	s.spent[workspace] = append(s.spent[workspace], spent{s.now, cost})
	return true
}

// mostInWindow is the most that was spent in any window from a time on.
func mostInWindow(all []spent, from time.Duration) float64 {
	all = slices.Clone(all)
	slices.SortFunc(all, func(a, b spent) int { return cmp.Compare(a.at, b.at) })
	most, sum, first := 0.0, 0.0, 0
	for _, one := range all {
		if one.at < from {
			first++
			continue
		}
		sum += one.amount
		for one.at-all[first].at > window {
			sum -= all[first].amount
			first++
		}
		most = max(most, sum)
	}
	return most
}

func total(all []spent, from, to time.Duration) float64 {
	sum := 0.0
	for _, one := range all {
		if one.at >= from && one.at < to {
			sum += one.amount
		}
	}
	return sum
}
