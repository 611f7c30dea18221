package suspect

import (
	"maps"
	"slices"
	"time"
)

// evidence is what speaks against a key: the crashes under it, in order of FailedAt, by their
// position in the list that is evaluated.
type evidence struct {
	key     Key
	crashes []int
	sent    []time.Time // when the latest request was sent to each
	chain   int         // how many of the crashes came in sequence
}

// evaluate finds the verdicts by the crashes that have settled.
func (c *CrashRecord) evaluate(now time.Time) {
	if !c.changed && now.Before(c.validUntil) {
		return
	}
	c.expire(now)
	maps.DeleteFunc(c.kept, func(_ Key, v Verdict) bool { return now.Sub(v.FailedAt) > verdictExpiry })
	settled := c.crashes
	c.validUntil = c.nextExpiry(now)
	for i, d := range c.crashes {
		if at := d.FailedAt.Add(c.settle); at.After(now) {
			settled, c.validUntil = c.crashes[:i], at
			break
		}
	}
	c.changed = false
	c.verdicts = c.convict(settled)
	c.convictRequests(settled, c.verdicts)
}

// nextExpiry returns when the next crash or verdict expires.
func (c *CrashRecord) nextExpiry(now time.Time) time.Time {
	next := now.Add(partCrashExpiry)
	expires := func(at time.Time) {
		if !at.Before(now) && at.Before(next) {
			next = at
		}
	}
	for _, d := range c.crashes {
		expires(d.FailedAt.Add(partCrashExpiry))
		expires(d.FailedAt.Add(crashExpiry))
	}
	for _, v := range c.kept {
		expires(v.FailedAt.Add(verdictExpiry))
	}
	return next
}

// convict returns the verdicts that explain the crashes: again and again the part with the most
// crashes that no verdict explains yet.
func (c *CrashRecord) convict(crashes []*EndpointCrash) map[Key]Verdict {
	verdicts := make(map[Key]Verdict)
	explained := make(map[int]bool)
	for {
		suspects := c.suspects(crashes, explained)
		if len(suspects) == 0 {
			return verdicts
		}
		most := slices.MaxFunc(suspects, func(a, b evidence) int { return len(a.crashes) - len(b.crashes) })
		culprit := mostSpecific(crashes, suspects, most, partThreshold)
		equal := rivals(crashes, suspects, culprit)
		for _, r := range equal {
			if r.chain >= ambiguousThreshold || len(equal) == 1 && !isShared(crashes, r) {
				verdicts[r.key] = newVerdict(crashes, r, partThreshold)
			}
		}
		if _, convicted := verdicts[culprit.key]; convicted {
			addGeneral(verdicts, crashes, suspects, culprit)
		}
		for _, i := range culprit.crashes {
			explained[i] = true
		}
	}
}

// addGeneral adds provisional verdicts on the parts that precede a convicted one in the same prompts:
// the cause may be one of them, and come with other parts after it.
func addGeneral(verdicts map[Key]Verdict, crashes []*EndpointCrash, suspects []evidence, convicted evidence) {
	for _, o := range suspects {
		if len(o.crashes) >= len(convicted.crashes) && follows(crashes, convicted, o.key) {
			v := newVerdict(crashes, o, partThreshold)
			v.Provisional = true
			verdicts[o.key] = v
		}
	}
}

// requestEvidence is what speaks against a whole request or a resource: all crashes under it, and
// those where its answer had not begun.
type requestEvidence struct {
	all, unbegun evidence
	// general is set for a resource all of whose crashes came under one request as well.
	general bool
	// answered is set if it has been answered completely before, and others were in flight beside it.
	answered bool
}

// convicts reports whether the evidence suffices for a verdict.
func (e requestEvidence) convicts() bool {
	threshold := e.threshold()
	return e.all.chain >= threshold || len(e.unbegun.crashes) >= threshold
}

// threshold returns how many crashes convict the request.
func (e requestEvidence) threshold() int {
	if e.answered {
		return answeredRequestThreshold
	}
	return requestThreshold
}

// verdict returns the verdict on a request that the evidence convicts. That on a general resource is
// provisional: either the request or the resource may be the cause.
func (e requestEvidence) verdict(crashes []*EndpointCrash) Verdict {
	v := newVerdict(crashes, e.all, e.threshold())
	v.Provisional = e.general || e.all.chain < requestThreshold && e.unbegun.chain < requestMoments
	return v
}

// convictRequests adds the verdicts on whole requests and resources: again and again those with the
// most crashes that nothing explains yet. Of several with as many, the verdict is provisional, however
// many crashes there are: a review tells them apart.
// Answers that are on their way clear more: the crashes must have settled.
func (c *CrashRecord) convictRequests(crashes []*EndpointCrash, verdicts map[Key]Verdict) {
	explained := make(map[int]bool)
	for {
		worst := c.worstRequests(crashes, explained)
		if len(worst) == 0 {
			return
		}
		specific := 0
		for _, e := range worst {
			if !e.general {
				specific++
			}
		}
		for _, e := range worst {
			if v := e.verdict(crashes); specific == 1 {
				verdicts[e.all.key] = v
			} else if len(e.unbegun.crashes) >= requestThreshold || e.all.chain >= ambiguousRequestThreshold {
				v.Provisional = true
				verdicts[e.all.key] = v
			}
			for _, i := range e.all.crashes {
				explained[i] = true
			}
		}
	}
}

// worstRequests returns the request or resource to convict next, and those with as many crashes. A
// request goes before its resource only if all crashes of the resource came under it: callers other
// than its own may send copies.
func (c *CrashRecord) worstRequests(crashes []*EndpointCrash, explained map[int]bool) []requestEvidence {
	all := c.suspected(crashes, explained, CrashedRun.isRequest)
	unbegun := c.suspected(crashes, explained, func(r CrashedRun) bool { return r.isRequest() && !r.Begun })
	var suspects []evidence
	answeredBefore := make(map[Key]bool)
	for _, key := range slices.Sorted(maps.Keys(all)) {
		e := requestEvidence{all: newEvidence(crashes, key, all[key]), unbegun: newEvidence(crashes, key, unbegun[key])}
		_, answered := c.completed[key]
		e.answered = answered && inCompany(crashes, e.all)
		answeredBefore[key] = e.answered
		if e.convicts() {
			suspects = append(suspects, e.all)
		}
	}
	if len(suspects) == 0 {
		return nil
	}
	most := slices.MaxFunc(suspects, func(a, b evidence) int { return len(a.crashes) - len(b.crashes) })
	culprit := mostSpecific(crashes, suspects, most, 1)
	var worst []requestEvidence
	for _, o := range suspects {
		if len(o.crashes) == len(culprit.crashes) {
			worst = append(worst, requestEvidence{all: o, unbegun: newEvidence(crashes, o.key, unbegun[o.key]), general: isGeneral(crashes, suspects, o), answered: answeredBefore[o.key]})
		}
	}
	return worst
}

// inCompany reports whether other requests were in flight at most crashes under a key: fewer came with it
// alone than convict it.
func inCompany(crashes []*EndpointCrash, e evidence) bool {
	alone := 0
	for _, i := range e.crashes {
		if !slices.ContainsFunc(crashes[i].Runs, func(r CrashedRun) bool { return r.isRequest() && !slices.Contains(r.Keys, e.key) }) {
			alone++
		}
	}
	return alone < requestThreshold
}

// isGeneral reports whether a suspect is a resource, and another one a request for it in flight at
// all of its crashes.
func isGeneral(crashes []*EndpointCrash, suspects []evidence, e evidence) bool {
	return slices.ContainsFunc(suspects, func(o evidence) bool {
		return o.key != e.key && slices.Equal(o.crashes, e.crashes) && follows(crashes, o, e.key)
	})
}

// suspects returns the parts with enough crashes in sequence that are not explained, sorted.
func (c *CrashRecord) suspects(crashes []*EndpointCrash, explained map[int]bool) []evidence {
	sent := c.suspected(crashes, explained, func(r CrashedRun) bool { return !r.isRequest() })
	var suspects []evidence
	for _, part := range slices.Sorted(maps.Keys(sent)) {
		if e := newEvidence(crashes, part, sent[part]); e.chain >= partThreshold {
			suspects = append(suspects, e)
		}
	}
	return suspects
}

// suspected returns when the latest request with each key was sent that was in flight at a crash
// and that no answer clears, by the position of the crash, for the runs that match at crashes that
// are not explained.
func (c *CrashRecord) suspected(crashes []*EndpointCrash, explained map[int]bool, matches func(CrashedRun) bool) map[Key]map[int]time.Time {
	sent := make(map[Key]map[int]time.Time)
	for i, d := range crashes {
		if explained[i] {
			continue
		}
		for _, r := range d.Runs {
			if !matches(r) {
				continue
			}
			for _, key := range r.Keys {
				at := d.sentAt(r)
				if c.clears(key, at) {
					continue
				}
				if sent[key] == nil {
					sent[key] = make(map[int]time.Time)
				}
				if at.After(sent[key][i]) {
					sent[key][i] = at
				}
			}
		}
	}
	return sent
}

// newEvidence counts the crashes under a key, given when its latest request was sent to each
// endpoint. Those in sequence each got a request after the previous one had crashed.
func newEvidence(crashes []*EndpointCrash, key Key, sent map[int]time.Time) evidence {
	e := evidence{key: key, crashes: slices.Sorted(maps.Keys(sent))}
	last := time.Time{}
	for _, i := range e.crashes {
		e.sent = append(e.sent, sent[i])
		if !sent[i].Before(last) {
			e.chain, last = e.chain+1, crashes[i].FailedAt
		}
	}
	return e
}

// mostSpecific returns the suspect to convict in place of one that has the most crashes: a later
// part of the same prompts, if the crashes without that one wouldn't convict the other.
func mostSpecific(crashes []*EndpointCrash, suspects []evidence, e evidence, threshold int) evidence {
	for range suspects {
		var next evidence
		for _, o := range suspects {
			if len(o.crashes) > len(next.crashes) && follows(crashes, o, e.key) && len(e.crashes)-common(e.crashes, o.crashes) < threshold {
				next = o
			}
		}
		if len(next.crashes) == 0 {
			return e
		}
		e = next
	}
	return e
}

// rivals returns the suspects with the same crashes as one, and that one, without those that
// precede it in the same prompts.
func rivals(crashes []*EndpointCrash, suspects []evidence, e evidence) []evidence {
	var equal []evidence
	for _, o := range suspects {
		if o.key == e.key || slices.Equal(o.crashes, e.crashes) && !follows(crashes, e, o.key) {
			equal = append(equal, o)
		}
	}
	return equal
}

// newVerdict returns the verdict on a key that so many crashes convict. Crashes before that are no
// reviews, however far apart they are.
func newVerdict(crashes []*EndpointCrash, e evidence, threshold int) Verdict {
	v := Verdict{Key: e.key}
	for n, i := range e.crashes {
		v = v.next(e.sent[n], crashes[i].FailedAt)
		if n < threshold {
			v.Reviews = 0
		}
	}
	return v
}

// isShared reports whether different parts come after a part in the prompts of its crashes.
func isShared(crashes []*EndpointCrash, e evidence) bool {
	var follower Key
	for _, i := range e.crashes {
		for _, r := range crashes[i].Runs {
			at := slices.Index(r.Keys, e.key)
			if at < 0 || at == len(r.Keys)-1 {
				continue
			}
			if next := r.Keys[at+1]; follower != "" && next != follower {
				return true
			}
			follower = r.Keys[at+1]
		}
	}
	return false
}

// follows reports whether a part comes after another one in a prompt of each of its crashes.
func follows(crashes []*EndpointCrash, e evidence, other Key) bool {
	for _, i := range e.crashes {
		if !slices.ContainsFunc(crashes[i].Runs, func(r CrashedRun) bool {
			before := slices.Index(r.Keys, other)
			return before >= 0 && slices.Index(r.Keys, e.key) > before
		}) {
			return false
		}
	}
	return len(e.crashes) > 0
}

// common returns how many elements two sorted lists have in common.
func common(a, b []int) int {
	n := 0
	for _, i := range a {
		if _, ok := slices.BinarySearch(b, i); ok {
			n++
		}
	}
	return n
}
