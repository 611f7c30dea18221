package backlog

import "time"

// Delay is how much later an endpoint has worked than its schedule said. It answers an endpoint
// that turns slow: its schedule would seem empty while prompts still wait there. The zero value is
// an endpoint in time. It is not safe for concurrent use.
type Delay struct{ total time.Duration }

// Total returns the delay up to now, which belongs to each admission.
func (d *Delay) Total() time.Duration { return d.total }

// Observe records an answer that came late, or early if that is negative, where the delay at its
// admission was total. It returns by how much the schedule must move: what is not in it yet.
// An early answer only takes back what late ones have added, since the endpoint may have failed.
// Late answers add nothing where others show that the endpoint isn't slow.
func (d *Delay) Observe(late, total time.Duration, slow bool) (shift time.Duration) {
	shift = max(late-(d.total-total), -d.total)
	if !slow {
		shift = min(shift, 0)
	}
	d.total += shift
	return shift
}
