package node

import (
	"sync"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/suspect"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
	"github.com/chiveramp/chiveramp/internal/switches"
)

// newsWindow is for how long a suspect is told in heartbeats after its latest death.
const newsWindow = 30 * time.Second

// newsLimit is the most suspects in one heartbeat.
const newsLimit = 64

// suspects shares one book among goroutines. It implements dispatch.Suspects.
type suspects struct {
	mu    sync.Mutex
	book  *suspect.Tracker
	clock func() time.Time
	// told is called at once after a death, so that others hear of it before the request comes back.
	told func()
}

func newSuspects(clock func() time.Time) *suspects {
	return &suspects{book: suspect.New(), clock: clock, told: func() {}}
}

// Check implements dispatch.Suspects.
func (s *suspects) Check(fingerprint uint64) (suspected, convicted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := suspect.Fingerprint(fingerprint)
	if switches.Off(switches.Suspect) {
		return false, false
	}
	return s.book.Suspected(s.clock(), f), s.book.IsPoison(s.clock(), f)
}

// Died implements dispatch.Suspects.
func (s *suspects) Died(incarnation string, running []suspect.Run) {
	s.mu.Lock()
	s.book.RecordCrash(s.clock(), incarnation, running)
	s.mu.Unlock()
	s.told()
}

// Finished implements dispatch.Suspects.
func (s *suspects) Finished(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Finished(s.clock(), suspect.Fingerprint(fingerprint))
}

func (s *suspects) news() []*peerpb.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	var list []*peerpb.Suspect
	for _, n := range s.book.Updates(now, now.Add(-newsWindow), newsLimit) {
		list = append(list, &peerpb.Suspect{
			Fingerprint: uint64(n.Fingerprint), Endpoints: n.Incarnations, Convicted: n.Poison,
		})
	}
	return list
}

func (s *suspects) merge(told []*peerpb.Suspect) {
	if len(told) == 0 {
		return
	}
	list := make([]suspect.Suspect, 0, len(told))
	for _, t := range told {
		list = append(list, suspect.Suspect{
			Fingerprint: suspect.Fingerprint(t.Fingerprint), Incarnations: t.Endpoints, Poison: t.Convicted,
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Merge(s.clock(), list)
}
