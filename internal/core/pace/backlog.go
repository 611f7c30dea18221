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

// Shift moves the ends of the scheduled prompts, as the endpoint has turned out to be later by d,
// earlier if that is negative. What has ended by then leaves no backlog.
func (s *Schedule) Shift(d time.Duration) {
	for rank, until := range s.busyUntil {
		if !until.IsZero() {
			s.busyUntil[rank] = until.Add(d)
		}
	}
}
