package suspect

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// partThreshold is how many endpoints must crash in sequence under a part, none of which
	// another part explains. ambiguousThreshold applies to parts that occur in the same crashes,
	// and to those that various parts follow: many requests share them, so that some are in
	// flight at most crashes whatever their cause.
	partThreshold      = 4
	ambiguousThreshold = 5
	// requestThreshold is how many endpoints must crash under a whole request. A lower one would also
	// refuse requests that merely ran at the same time as the cause. Endpoints may also end at once
	// for another reason: those where its answer had not begun must have ended at requestMoments
	// different moments, else the verdict is provisional, and those where it had one after the other.
	// Of several requests in the same number of crashes, those whose answers had begun need
	// ambiguousRequestThreshold. One that has been answered completely before and that others accompany
	// needs answeredRequestThreshold: the endpoints end under all requests, and it is in flight often.
	requestThreshold          = 3
	requestMoments            = 2
	ambiguousRequestThreshold = 4
	answeredRequestThreshold  = 6
	// partCrashExpiry is how long a crash counts for parts, crashExpiry for whole requests.
	// verdictExpiry is how long a verdict is kept after the last crash.
	partCrashExpiry = 10 * time.Minute
	crashExpiry     = DefaultExpiry
	verdictExpiry   = DefaultExpiry
	// reviewGap is how long after a crash that led to a verdict a request must have been sent to count
	// as its review: until then requests may be sent by instances without the verdict.
	reviewGap = 6 * time.Second
	// verdictTolerance is by how much reports of the same crash may differ in time.
	verdictTolerance = 2 * time.Second
	// Limits on what is kept.
	maxEndpointCrashes = 128
	maxCrashPrompts    = 16
	maxCrashRequests   = 64
	maxPromptParts     = 16
	maxVerdicts        = 64
	maxAnswers         = 4096 // of parts, and of whole requests
	maxPartBytes       = 32
	// requestPrefix and resourcePrefix begin the keys of whole requests and resources, and no other.
	requestPrefix  = "request "
	resourcePrefix = "resource "
)

// Identity tells which requests are the same.
type Identity struct {
	// Request is the hash of all that identifies a request, whenever it comes again.
	Request Fingerprint
	// Resource is the hash of what it has in common with requests of other callers, or with other
	// parameters, that ask for the same; 0 if that is unknown.
	Resource Fingerprint
}

// Keys returns the keys of a request, the less specific one first.
func (i Identity) Keys() []Key {
	request := RequestKey(i.Request)
	if i.Resource == 0 {
		return []Key{request}
	}
	return []Key{Key(resourcePrefix + i.Resource.String()), request}
}

// Key identifies what may crash endpoints: a part of prompts, a whole request or the resource that
// requests ask for.
type Key string

// PartKey returns the key of a part of prompts with an ID: the ID, or the hash of a long one.
func PartKey(id string) Key {
	if len(id) > maxPartBytes || strings.HasPrefix(id, requestPrefix) || strings.HasPrefix(id, resourcePrefix) {
		return Key(strconv.FormatUint(xxhash.Sum64String(id), 16))
	}
	return Key(id)
}

// RequestKey returns the key of a whole request.
func RequestKey(f Fingerprint) Key { return Key(requestPrefix + f.String()) }

// IsRequest reports whether the key is that of a whole request or of a resource.
func (k Key) IsRequest() bool { return strings.HasPrefix(string(k), requestPrefix) || k.isResource() }

func (k Key) isResource() bool { return strings.HasPrefix(string(k), resourcePrefix) }

// CrashedRun is what a request in flight at a crash shares with others: the parts of its prompt, in
// their order, without the last one, which is its own; or, as another run, the keys of its identity.
type CrashedRun struct {
	Keys []Key
	// Age is how long before the crash the request was sent. Unlike a time, it stays the same
	// when it is reported from one instance to the next.
	Age time.Duration
	// Begun is set if the answer to a whole request had begun.
	Begun bool
}

// EndpointCrash is the crash of one incarnation of an endpoint, with the whole requests in flight
// there, and the prompts of those whose answers had not begun.
type EndpointCrash struct {
	Incarnation string
	FailedAt    time.Time
	Runs        []CrashedRun
}

// has reports whether a request with a key was in flight.
func (d *EndpointCrash) has(k Key) bool {
	return slices.ContainsFunc(d.Runs, func(r CrashedRun) bool { return slices.Contains(r.Keys, k) })
}

func (d *EndpointCrash) sentAt(r CrashedRun) time.Time { return d.FailedAt.Add(-r.Age) }

// Verdict says that a part of prompts or a whole request crashes endpoints.
type Verdict struct {
	Key Key
	// Crashes is how many endpoints crashed under it, FailedAt when the last one did.
	Crashes  int
	FailedAt time.Time
	// Reviews is how many of the crashes came under requests sent to try the verdict.
	Reviews int
	// Provisional is set if the endpoints crashed at one moment, so that there may be another reason.
	Provisional bool
}

// next returns the verdict after another crash, of a request sent at a time.
func (v Verdict) next(sentAt, failedAt time.Time) Verdict {
	if v.Crashes >= requestThreshold && sentAt.Sub(v.FailedAt) >= reviewGap {
		v.Reviews++
	}
	v.Crashes, v.FailedAt = v.Crashes+1, failedAt
	return v
}

// CrashRecord finds the parts of prompts and the whole requests that crash endpoints, for
// instances that each see only their own requests and report crashes and answers to each other.
// All requests in flight at a crash are suspects, and all parts of their prompts. An answer that
// has begun clears all parts of its request from the crashes of requests sent before it, a
// complete one the request. Of the keys left, the fewest that explain the crashes are convicted.
// It is not safe for concurrent use.
type CrashRecord struct {
	settle  time.Duration
	crashes []*EndpointCrash // in order of FailedAt
	// lastSent is when the latest request with a key was sent that was in flight at a crash.
	lastSent map[Key]time.Time
	// begun is when an answer to a request with a part last began, completed when one to a whole
	// request was last complete.
	begun, completed answerTimes
	verdicts         map[Key]Verdict   // as of evaluated, by the crashes known
	kept             map[Key]Verdict   // reported by others, or their crashes are no longer known
	cleared          map[Key]time.Time // the answers that ended verdicts or were the first since a crash
	// changed is set if what is known has changed since the evaluation, which holds until
	// validUntil otherwise.
	changed    bool
	validUntil time.Time
}

// NewCrashRecord returns an empty CrashRecord. A crash counts after the time settle, within
// which the reports of answers should have arrived.
func NewCrashRecord(settle time.Duration) *CrashRecord {
	return &CrashRecord{
		settle: settle, lastSent: make(map[Key]time.Time), begun: make(answerTimes), completed: make(answerTimes), verdicts: make(map[Key]Verdict), kept: make(map[Key]Verdict),
		cleared: make(map[Key]time.Time),
	}
}

// Add records a crash, or what another instance knows of a recorded one.
func (c *CrashRecord) Add(now time.Time, d EndpointCrash) {
	if now.Sub(d.FailedAt) > crashExpiry {
		return
	}
	record, changed := c.find(d.Incarnation), false
	if record == nil {
		record, changed = &EndpointCrash{Incarnation: d.Incarnation, FailedAt: d.FailedAt}, true
		c.crashes = append(c.crashes, record)
	}
	if d.FailedAt.Before(record.FailedAt) {
		record.FailedAt, changed = d.FailedAt, true
	}
	for _, r := range d.Runs {
		r.Keys = r.Keys[:min(len(r.Keys), maxPromptParts)]
		if len(r.Keys) > 0 && (r.isRequest() || now.Sub(d.FailedAt) <= partCrashExpiry) && record.add(r) {
			changed = true
		}
	}
	if !changed {
		return // instances repeat what they know
	}
	c.changed = true
	c.noteSent(record)
	c.renew(record)
	slices.SortStableFunc(c.crashes, func(a, b *EndpointCrash) int { return a.FailedAt.Compare(b.FailedAt) })
	if len(c.crashes) > maxEndpointCrashes {
		c.drop(len(c.crashes) - maxEndpointCrashes)
	}
}

func (c *CrashRecord) find(incarnation string) *EndpointCrash {
	for _, d := range c.crashes {
		if d.Incarnation == incarnation {
			return d
		}
	}
	return nil
}

// isRequest reports whether the run stands for a whole request.
func (r CrashedRun) isRequest() bool { return r.Keys[0].IsRequest() }

// add adds a run, or the latest request of a known one. It reports whether anything changed.
func (d *EndpointCrash) add(r CrashedRun) bool {
	limit, same := maxCrashPrompts, 0
	if r.isRequest() {
		limit = maxCrashRequests
	}
	for i := range d.Runs {
		known := &d.Runs[i]
		if slices.Equal(known.Keys, r.Keys) {
			changed := r.Age < known.Age || known.Begun && !r.Begun
			known.Age, known.Begun = min(known.Age, r.Age), known.Begun && r.Begun
			return changed
		}
		if known.isRequest() == r.isRequest() {
			same++
		}
	}
	if same >= limit {
		return false
	}
	d.Runs = append(d.Runs, r)
	return true
}

// expire forgets the crashes that no longer count, for parts or at all.
func (c *CrashRecord) expire(now time.Time) {
	old, stale := 0, false
	for _, d := range c.crashes {
		age := now.Sub(d.FailedAt)
		if age > crashExpiry {
			old++
		}
		stale = stale || age > partCrashExpiry && slices.ContainsFunc(d.Runs, func(r CrashedRun) bool { return !r.isRequest() })
	}
	if old == 0 && !stale {
		return
	}
	c.keepVerdicts()
	for _, d := range c.crashes {
		if now.Sub(d.FailedAt) > partCrashExpiry {
			d.Runs = slices.DeleteFunc(d.Runs, func(r CrashedRun) bool { return !r.isRequest() })
		}
	}
	c.drop(old)
}

// keepVerdicts keeps the verdicts when the crashes that led to them are forgotten.
func (c *CrashRecord) keepVerdicts() {
	for _, v := range c.verdicts {
		c.keep(v)
	}
}

// drop forgets the oldest crashes, but not the verdicts that they led to.
func (c *CrashRecord) drop(n int) {
	c.keepVerdicts()
	c.crashes = slices.Delete(c.crashes, 0, n)
	clear(c.lastSent)
	for _, d := range c.crashes {
		c.noteSent(d)
	}
	c.changed = true
}

func (c *CrashRecord) noteSent(d *EndpointCrash) {
	for _, r := range d.Runs {
		for _, key := range r.Keys {
			if at := d.sentAt(r); at.After(c.lastSent[key]) {
				c.lastSent[key] = at
			}
		}
	}
}

// renew prolongs the verdicts reported by others on the keys of a crash that came after them.
func (c *CrashRecord) renew(d *EndpointCrash) {
	for _, r := range d.Runs {
		for _, key := range r.Keys {
			if v, ok := c.kept[key]; ok && d.sentAt(r).After(v.FailedAt) {
				c.kept[key] = v.next(d.sentAt(r), d.FailedAt)
			}
		}
	}
}

// answerTimes holds when requests with a key were last answered.
type answerTimes map[Key]time.Time

// record records an answer and reports whether it is the latest one with its key. It makes room by
// forgetting the older half of the others.
func (a answerTimes) record(k Key, at time.Time) bool {
	last, known := a[k]
	if known && !at.After(last) {
		return false
	}
	if !known && len(a) >= maxAnswers {
		times := slices.SortedFunc(maps.Values(a), time.Time.Compare)
		middle := times[len(times)/2]
		maps.DeleteFunc(a, func(_ Key, at time.Time) bool { return !at.After(middle) })
	}
	a[k] = at
	return true
}

// answers returns the answers that clear a key.
func (c *CrashRecord) answers(k Key) answerTimes {
	if k.IsRequest() {
		return c.completed
	}
	return c.begun
}

// clears reports whether an answer clears a key of crashes of requests sent at a time. A resource is
// cleared for good: requests for it that were answered show that it doesn't crash endpoints by itself.
func (c *CrashRecord) clears(k Key, sentAt time.Time) bool {
	at, answered := c.answers(k)[k]
	return at.After(sentAt) || answered && k.isResource()
}

// Answered records that an answer to a request with a part began at a time, or that one to a whole
// request was complete.
func (c *CrashRecord) Answered(k Key, at time.Time) {
	answers := c.answers(k)
	last := answers[k]
	if !answers.record(k, at) {
		return
	}
	for _, verdicts := range []map[Key]Verdict{c.kept, c.verdicts} {
		if v, ok := verdicts[k]; ok && c.clears(k, v.FailedAt) {
			delete(verdicts, k)
			c.cleared[k] = at
		}
	}
	if sent, suspected := c.lastSent[k]; suspected && !last.After(sent) {
		c.changed = true
		c.cleared[k] = at
	}
}

// Keep records a verdict reported by another instance. What this one knows of crashes under a part
// goes before it; so does what it knows of those under a whole request, if it knows as many.
func (c *CrashRecord) Keep(now time.Time, v Verdict) {
	_, suspected := c.lastSent[v.Key]
	if v.Key.IsRequest() && suspected {
		suspected = c.count(v.Key) >= v.Crashes
	}
	_, kept := c.kept[v.Key]
	if (kept || !suspected) && now.Sub(v.FailedAt) <= verdictExpiry && !c.clears(v.Key, v.FailedAt) {
		c.keep(v)
	}
}

// count returns how many of the recorded crashes came under a key.
func (c *CrashRecord) count(k Key) int {
	n := 0
	for _, d := range c.crashes {
		if d.has(k) {
			n++
		}
	}
	return n
}

func (c *CrashRecord) keep(v Verdict) {
	known, ok := c.kept[v.Key]
	if !ok && len(c.kept) >= maxVerdicts {
		oldest := slices.MinFunc(slices.Collect(maps.Values(c.kept)), compareVerdicts)
		delete(c.kept, oldest.Key)
	}
	if !ok || v.FailedAt.Sub(known.FailedAt) > verdictTolerance {
		c.kept[v.Key] = v
	}
}

func compareVerdicts(a, b Verdict) int {
	return cmp.Or(a.FailedAt.Compare(b.FailedAt), cmp.Compare(a.Key, b.Key))
}

// Empty reports whether nothing is known that could lead to a verdict.
func (c *CrashRecord) Empty() bool { return len(c.crashes) == 0 && len(c.kept) == 0 }

// Verdict returns the verdict on a key. ok is false if there is none.
func (c *CrashRecord) Verdict(now time.Time, k Key) (v Verdict, ok bool) {
	if c.Empty() {
		return Verdict{}, false
	}
	c.evaluate(now)
	v, ok = c.verdicts[k]
	if older, kept := c.kept[k]; kept && (!ok || older.FailedAt.After(v.FailedAt) || v.Provisional && !older.Provisional) {
		return older, true
	}
	return v, ok
}

// Verdicts returns all verdicts, the latest first.
func (c *CrashRecord) Verdicts(now time.Time) []Verdict {
	c.evaluate(now)
	all := maps.Clone(c.kept)
	for k, v := range c.verdicts {
		if older, ok := all[k]; !ok || v.FailedAt.After(older.FailedAt) {
			all[k] = v
		}
	}
	return slices.SortedFunc(maps.Values(all), func(a, b Verdict) int { return compareVerdicts(b, a) })
}

// Since returns the crashes since a time, the latest first.
func (c *CrashRecord) Since(at time.Time) []EndpointCrash {
	var all []EndpointCrash
	for _, d := range slices.Backward(c.crashes) {
		if d.FailedAt.Before(at) {
			break
		}
		all = append(all, *d)
	}
	return all
}

// Answers returns the last answers that clear keys of the given crashes, and those since a time that
// ended verdicts or were the first since a crash.
func (c *CrashRecord) Answers(crashes []EndpointCrash, since time.Time) map[Key]time.Time {
	maps.DeleteFunc(c.cleared, func(_ Key, at time.Time) bool { return at.Before(since) })
	answers := maps.Clone(c.cleared)
	for i := range crashes {
		for _, r := range crashes[i].Runs {
			for _, key := range r.Keys {
				if c.clears(key, crashes[i].sentAt(r)) {
					answers[key] = c.answers(key)[key]
				}
			}
		}
	}
	return answers
}
