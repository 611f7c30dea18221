package pace

import "time"

// Backlog returns how long the scheduled prompts take, for each rank those that are as urgent or more.
func (s *Schedule) Backlog(now time.Time) [rankCount]time.Duration {
	var all [rankCount]time.Duration
	for rank, until := range s.busyUntil {
		all[rank] = max(0, until.Sub(now))
	}
	return all
}
