package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { cases[6] = playKill }

const (
	killRunners  = 6
	killUnframed = 34 // under three in a hundred streams
	killEvents   = 100
	killStreams  = 300
	killPause    = 40 * time.Millisecond // between two requests
)

// playKill sends streams to runners of which half leave out the length of three in a hundred answers, and kills one runner
// while it writes such a stream. A stream that looks complete must have its last piece.
func playKill(s *site, trouble bool) (bool, error) {
	if err := s.set(names["config"], configuration("m")); err != nil {
		return false, err
	}
	var runners []*process
	for i := range killRunners {
		unframed := killUnframed * (1 - i%2)
		p, err := s.runner(fmt.Sprint("i-", i+1), "matcher", "-models", "m", "-unframed", fmt.Sprint(unframed), "-events", fmt.Sprint(killEvents))
		if err != nil {
			return false, err
		}
		runners = append(runners, p)
	}
	if err := s.startInstances(3); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var wg sync.WaitGroup
	answers := make([]answer, killStreams)
	killed := !trouble
	for i := range answers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			answers[i] = s.ask(s.instances[i%3], "POST", fmt.Sprint("/chat/", i), "m", 15*time.Second)
		}()
		time.Sleep(killPause)
		if at, ok := s.firstUnframed(); !killed && ok {
			time.Sleep(time.Second)
			killed = true
			for _, p := range runners {
				if p.name == at {
					s.kill(p)
				}
			}
		}
	}
	wg.Wait()
	if !killed {
		return false, fmt.Errorf("no stream without a length was in flight")
	}
	held, whole := true, 0
	last := fmt.Sprintf("piece %d of %d\n", killEvents, killEvents)
	for _, a := range answers {
		if a.code != 200 || !a.whole {
			continue
		}
		whole++
		if !strings.Contains(a.body, last) {
			held = false
			s.note("%s looks complete and lacks its last pieces: %d of %d", a.id, strings.Count(a.body, "data:"), killEvents)
		}
	}
	s.note("%d of %d streams look complete", whole, len(answers))
	if whole == 0 {
		return false, fmt.Errorf("no stream was served")
	}
	return held, nil
}

// firstUnframed returns the runner that has begun the first stream without a length.
func (s *site) firstUnframed() (string, bool) {
	text, _ := os.ReadFile(filepath.Join(s.folder, "runners.log"))
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 2 && fields[2] == "unframed" {
			return fields[1], true
		}
	}
	return "", false
}
