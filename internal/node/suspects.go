package node

import (
	"sync"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/suspect"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
	"github.com/chiveramp/chiveramp/internal/switches"
)

// suspectUpdateWindow is how long after its latest crash a suspect is sent in heartbeats.
const suspectUpdateWindow = 30 * time.Second

// maxSuspectUpdates is the maximum number of suspects in one heartbeat.
const maxSuspectUpdates = 64

// suspects guards the tracker of poison request suspects for concurrent use. It implements
// dispatch.Suspects.
type suspects struct {
	mu      sync.Mutex
	tracker *suspect.Tracker
	clock   func() time.Time
	// onCrash is called right after a crash is recorded, so that other instances receive it
	// before the request is retried there.
	onCrash func()
}

func newSuspects(clock func() time.Time) *suspects {
	return &suspects{tracker: suspect.New(), clock: clock, onCrash: func() {}}
}

// Check implements dispatch.Suspects.
func (s *suspects) Check(fingerprint uint64) (suspected, poison bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := suspect.Fingerprint(fingerprint)
	if switches.Off(switches.Suspect) {
		return false, false
	}
	return s.tracker.Suspected(s.clock(), f), s.tracker.IsPoison(s.clock(), f)
}

// RecordCrash implements dispatch.Suspects.
func (s *suspects) RecordCrash(incarnation string, running []suspect.Run) {
	s.mu.Lock()
	s.tracker.RecordCrash(s.clock(), incarnation, running)
	s.mu.Unlock()
	s.onCrash()
}

// Finished implements dispatch.Suspects.
func (s *suspects) Finished(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Finished(s.clock(), suspect.Fingerprint(fingerprint))
}

func (s *suspects) updates() []*peerpb.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	var list []*peerpb.Suspect
	for _, n := range s.tracker.Updates(now, now.Add(-suspectUpdateWindow), maxSuspectUpdates) {
		list = append(list, &peerpb.Suspect{
			Fingerprint: uint64(n.Fingerprint), Endpoints: n.Incarnations, Convicted: n.Poison,
		})
	}
	return list
}

func (s *suspects) merge(received []*peerpb.Suspect) {
	if len(received) == 0 {
		return
	}
	list := make([]suspect.Suspect, 0, len(received))
	for _, t := range received {
		list = append(list, suspect.Suspect{
			Fingerprint: suspect.Fingerprint(t.Fingerprint), Incarnations: t.Endpoints, Poison: t.Convicted,
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Merge(s.clock(), list)
}
