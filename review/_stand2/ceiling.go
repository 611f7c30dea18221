package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() { cases[7] = playCeiling }

const (
	ceilingRunners = 18
	ceilingModels  = 34
	ceilingBusy    = 6
	ceilingPlaces  = 3 // models that a runner holds
	ceilingShare   = 3 // runners that fall silent at once: 0.15 of them, rounded
	ceilingWindow  = 5 * time.Second
	// ceilingMost is the limit of the rule with the figures of the site; claim.txt has the sum.
	ceilingMost = 14
)

// ceilingModelAt returns which model has a place at first: each has one copy, and a few busy ones have the other places.
func ceilingModelAt(place int) int {
	if place < ceilingModels {
		return place
	}
	return place % ceilingBusy
}

// playCeiling has runners fall silent for good, some at a time, each of which a new one without weights replaces. The
// last ones fall silent while they load. It counts the loads from the weight store.
func playCeiling(s *site, trouble bool) (bool, error) {
	var models []string
	for i := range ceilingModels {
		models = append(models, fmt.Sprint("m", i))
	}
	if err := s.set(names["config"], configuration(models...)); err != nil {
		return false, err
	}
	var runners []*process
	for i := range ceilingRunners {
		var held []string
		for place := range ceilingPlaces {
			held = append(held, fmt.Sprint("m", ceilingModelAt(len(runners)*ceilingPlaces+place)))
		}
		p, err := s.runner(fmt.Sprint("i-", i+1), "matcher", "-models", strings.Join(held, ","))
		if err != nil {
			return false, err
		}
		runners = append(runners, p)
	}
	if err := s.startInstances(3); err != nil {
		return false, err
	}
	time.Sleep(12 * time.Second)
	replaced := len(runners)
	silence := func(victims []*process) error {
		for _, p := range victims {
			s.signal(p, syscall.SIGSTOP)
		}
		for range victims {
			replaced++
			p, err := s.runner(fmt.Sprint("i-", replaced), "matcher")
			if err != nil {
				return err
			}
			runners = append(runners, p)
		}
		return nil
	}
	if !trouble {
		time.Sleep(30 * time.Second)
		loads := s.loads()
		s.note("%d loads from the weight store", len(loads))
		return len(loads) <= ceilingMost, nil
	}
	for i := range 4 { // the places of most models that have a single copy
		if err := silence(runners[i*ceilingShare : (i+1)*ceilingShare]); err != nil {
			return false, err
		}
		time.Sleep(300 * time.Millisecond)
	}
	first, err := s.awaitLoads(1, 30*time.Second)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(first.Add(3500 * time.Millisecond)))
	loading := s.loading(runners)
	if err := silence(loading[:min(len(loading), ceilingShare)]); err != nil {
		return false, err
	}
	time.Sleep(time.Until(first.Add(20 * time.Second)))
	loads := s.loads()
	most, from := 0, time.Time{}
	for i, l := range loads {
		n := 0
		for _, o := range loads[i:] {
			if o.at.Sub(l.at) < ceilingWindow {
				n++
			}
		}
		if n > most {
			most, from = n, l.at
		}
	}
	s.note("%d loads from the weight store, at most %d in 5 s, from %s on; allowed are %d", len(loads), most, from.Format(timeForm), ceilingMost)
	return most <= ceilingMost, nil
}

// load is a load from the weight store that a runner has begun.
type load struct {
	at     time.Time
	runner string
}

func (s *site) loads() []load {
	text, _ := os.ReadFile(filepath.Join(s.folder, "runners.log"))
	var all []load
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if strings.Contains(line, " order load ") && strings.HasSuffix(strings.TrimSpace(line), "true") {
			at, err := time.ParseInLocation("2006-01-02 "+timeForm, time.Now().Format("2006-01-02 ")+fields[0], time.Local)
			if err == nil {
				all = append(all, load{at, fields[1]})
			}
		}
	}
	return all
}

// awaitLoads waits for a number of loads and returns when the first began.
func (s *site) awaitLoads(count int, wait time.Duration) (time.Time, error) {
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if loads := s.loads(); len(loads) >= count {
			return loads[0].at, nil
		}
	}
	return time.Time{}, fmt.Errorf("fewer than %d loads within %s", count, wait)
}

// loading returns the runners that have begun a load lately.
func (s *site) loading(runners []*process) []*process {
	var all []*process
	for _, l := range s.loads() {
		for _, p := range runners {
			if p.name == l.runner && time.Since(l.at) < 3900*time.Millisecond {
				all = append(all, p)
			}
		}
	}
	return all
}
