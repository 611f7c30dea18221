package pace

import "time"

// Backlog returns for each rank how long the scheduled prompts take that are ahead of a prompt which can
// be in time.
func (s *Schedule) Backlog(now time.Time) [rankCount]time.Duration {
	var all [rankCount]time.Duration
	for rank := range all {
		all[rank] = max(0, s.busyUntil[2*rank].Sub(now))
	}
	return all
}
