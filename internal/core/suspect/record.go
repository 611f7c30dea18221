package suspect

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
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
	// partCrashExpiry is how long a crash counts, verdictExpiry how long a verdict is kept after
	// the last crash.
	partCrashExpiry = 10 * time.Minute
	verdictExpiry   = DefaultExpiry
	// reviewGap is the shortest time without a crash after which one counts as that of a review.
	reviewGap = 30 * time.Second
	// verdictTolerance is by how much reports of the same crash may differ in time.
	verdictTolerance = 2 * time.Second
	// Limits on what is kept.
	maxEndpointCrashes = 128
	maxCrashPrompts    = 16
	maxPromptParts     = 16
	maxVerdicts        = 64
	maxAnsweredParts   = 4096
	maxPartBytes       = 32
)

// Key identifies a part of a prompt: its ID, or the hash of a long one.
type Key string

// PartKey returns the Key with an ID.
func PartKey(id string) Key {
	if len(id) > maxPartBytes {
		return Key(strconv.FormatUint(xxhash.Sum64String(id), 16))
	}
	return Key(id)
}

// CrashedRun is what a request in flight at a crash shares with others: the parts of its prompt, in
// their order, without the last one, which is its own.
type CrashedRun struct {
	Keys []Key
	// Age is how long before the crash the request was sent. Unlike a time, it stays the same
	// when it is reported from one instance to the next.
	Age time.Duration
}

// EndpointCrash is the crash of one incarnation of an endpoint, with the prompts of the requests
// in flight there whose answers had not begun.
type EndpointCrash struct {
	Incarnation string
	FailedAt    time.Time
	Runs        []CrashedRun
}

func (d *EndpointCrash) sentAt(r CrashedRun) time.Time { return d.FailedAt.Add(-r.Age) }

// Verdict says that a part of prompts crashes endpoints.
type Verdict struct {
	Key Key
	// Crashes is how many endpoints crashed under it, FailedAt when the last one did.
	Crashes  int
	FailedAt time.Time
	// Reviews is how many of the crashes came long after the one before.
	Reviews int
}

// next returns the verdict after another crash.
func (v Verdict) next(failedAt time.Time) Verdict {
	if v.Crashes > 0 && failedAt.Sub(v.FailedAt) >= reviewGap {
		v.Reviews++
	}
	v.Crashes, v.FailedAt = v.Crashes+1, failedAt
	return v
}

// CrashRecord finds the parts of prompts that crash endpoints, for instances that each see
// only their own requests and report crashes and answers to each other. All parts of the
// requests in flight at a crash are suspects. An answer that has begun clears all parts of its
// request from the crashes of requests sent before it. Of the suspects left, the fewest parts
// that explain the crashes are convicted. It is not safe for concurrent use.
type CrashRecord struct {
	settle  time.Duration
	crashes []*EndpointCrash // in order of FailedAt
	// lastSent is when the latest request with a part was sent that was in flight at a crash.
	lastSent map[Key]time.Time
	answered map[Key]time.Time
	verdicts map[Key]Verdict   // as of evaluated, by the crashes known
	kept     map[Key]Verdict   // reported by others, or their crashes are no longer known
	cleared  map[Key]time.Time // when answers began that ended verdicts
	// changed is set if what is known has changed since the evaluation, which holds until
	// validUntil otherwise.
	changed    bool
	validUntil time.Time
}

// NewCrashRecord returns an empty CrashRecord. A crash counts after the time settle, within
// which the reports of answers should have arrived.
func NewCrashRecord(settle time.Duration) *CrashRecord {
	return &CrashRecord{
		settle: settle, lastSent: make(map[Key]time.Time), answered: make(map[Key]time.Time), verdicts: make(map[Key]Verdict), kept: make(map[Key]Verdict),
		cleared: make(map[Key]time.Time),
	}
}

// Add records a crash, or what another instance knows of a recorded one.
func (c *CrashRecord) Add(now time.Time, d EndpointCrash) {
	if now.Sub(d.FailedAt) > partCrashExpiry {
		return
	}
	c.changed = true
	record := c.find(d.Incarnation)
	if record == nil {
		record = &EndpointCrash{Incarnation: d.Incarnation, FailedAt: d.FailedAt}
		c.crashes = append(c.crashes, record)
	}
	if d.FailedAt.Before(record.FailedAt) {
		record.FailedAt = d.FailedAt
	}
	for _, r := range d.Runs {
		r.Keys = r.Keys[:min(len(r.Keys), maxPromptParts)]
		record.add(r)
	}
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

// add adds a prompt, or the latest request with a known one.
func (d *EndpointCrash) add(r CrashedRun) {
	for i := range d.Runs {
		if known := &d.Runs[i]; slices.Equal(known.Keys, r.Keys) {
			known.Age = min(known.Age, r.Age)
			return
		}
	}
	if len(d.Runs) < maxCrashPrompts {
		d.Runs = append(d.Runs, r)
	}
}

// drop forgets the oldest crashes, but not the verdicts that they led to.
func (c *CrashRecord) drop(n int) {
	if n == 0 {
		return
	}
	for _, v := range c.verdicts {
		c.keep(v)
	}
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

// renew prolongs the verdicts reported by others on the parts of a crash that came after them.
func (c *CrashRecord) renew(d *EndpointCrash) {
	for _, r := range d.Runs {
		for _, key := range r.Keys {
			if v, ok := c.kept[key]; ok && d.sentAt(r).After(v.FailedAt) {
				c.kept[key] = v.next(d.FailedAt)
			}
		}
	}
}

// Answered records that an answer to a request with a part began at a time.
func (c *CrashRecord) Answered(k Key, at time.Time) {
	last, known := c.answered[k]
	if known && !at.After(last) {
		return
	}
	if !known && len(c.answered) >= maxAnsweredParts {
		c.forgetAnswers()
	}
	c.answered[k] = at
	for _, verdicts := range []map[Key]Verdict{c.kept, c.verdicts} {
		if v, ok := verdicts[k]; ok && at.After(v.FailedAt) {
			delete(verdicts, k)
			c.cleared[k] = at
		}
	}
	if sent, suspected := c.lastSent[k]; suspected && !last.After(sent) {
		c.changed = true
	}
}

// forgetAnswers drops the older half of the recorded answers.
func (c *CrashRecord) forgetAnswers() {
	times := slices.SortedFunc(maps.Values(c.answered), time.Time.Compare)
	middle := times[len(times)/2]
	maps.DeleteFunc(c.answered, func(_ Key, at time.Time) bool { return !at.After(middle) })
}

// Keep records a verdict reported by another instance. What this one knows of crashes under the
// part goes before it.
func (c *CrashRecord) Keep(now time.Time, v Verdict) {
	_, suspected := c.lastSent[v.Key]
	_, kept := c.kept[v.Key]
	if (kept || !suspected) && now.Sub(v.FailedAt) <= verdictExpiry && !c.answered[v.Key].After(v.FailedAt) {
		c.keep(v)
	}
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

// Verdict returns the verdict on a part. ok is false if there is none.
func (c *CrashRecord) Verdict(now time.Time, k Key) (v Verdict, ok bool) {
	if len(c.crashes) == 0 && len(c.kept) == 0 {
		return Verdict{}, false
	}
	c.evaluate(now)
	v, ok = c.verdicts[k]
	if older, kept := c.kept[k]; kept && (!ok || older.FailedAt.After(v.FailedAt)) {
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

// Answers returns when answers last began to requests with the parts of the given crashes, as far
// as that clears these parts, and the answers that have ended verdicts since a time.
func (c *CrashRecord) Answers(crashes []EndpointCrash, since time.Time) map[Key]time.Time {
	maps.DeleteFunc(c.cleared, func(_ Key, at time.Time) bool { return at.Before(since) })
	answers := maps.Clone(c.cleared)
	for i := range crashes {
		for _, r := range crashes[i].Runs {
			for _, key := range r.Keys {
				if at := c.answered[key]; at.After(crashes[i].sentAt(r)) {
					answers[key] = at
				}
			}
		}
	}
	return answers
}
