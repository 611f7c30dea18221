package direct

import "time"

// logLinks logs the links from other regions that are full, or no longer.
func (s *state) logLinks(now time.Time) {
	full := s.links.Full(now)
	for region, delay := range full {
		if _, ok := s.fullLinks[region]; !ok {
			_ = s.logger.Log("step", "link", "from", region, "now", "full", "delay", delay)
		}
	}
	for region := range s.fullLinks {
		if _, ok := full[region]; !ok {
			_ = s.logger.Log("step", "link", "from", region, "now", "clear")
		}
	}
	s.fullLinks = full
}
