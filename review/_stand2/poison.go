package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases[91] = playPoison }

const poisonConfiguration = `{"version":1,"routes":[
 {"name":"chat","host":"board.example","pathPrefix":"/chat/","kind":"stream","timeoutMs":15000,"targetLatencyMs":1500,"priority":1,"service":"matcher","maxAttempts":2,"resumable":true,"gapAimMs":300},
 {"name":"look","host":"board.example","pathPrefix":"/look/","kind":"safe","timeoutMs":2000,"targetLatencyMs":200,"priority":1,"service":"board","maxAttempts":2}],
 "services":[{"name":"board"},{"name":"matcher","engine":{"slots":64,"kvCapacity":250000,"weightsMb":220000,"adapterSlots":8,"loadsPerS":2,
  "models":[{"name":"m","weightsMb":65000,"loadS":3.8,"adapters":0,"adapterMb":12}]}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

func playPoison(s *site, trouble bool) (bool, error) {
	if err := s.set("op/config", poisonConfiguration); err != nil {
		return false, err
	}
	kind := os.Getenv("PKIND") // look or chat
	service, extra := "board", []string{}
	if kind == "chat" {
		service, extra = "matcher", []string{"-model", "m"}
	}
	stop := make(chan struct{})
	var mu sync.Mutex
	var crashes []time.Time
	n := 0
	var keep func(i int)
	keep = func(i int) {
		for {
			mu.Lock()
			n++
			id := fmt.Sprintf("i-%d-%d", i, n)
			mu.Unlock()
			p, err := s.runner(id, service, extra...)
			if err != nil {
				return
			}
			select {
			case <-p.ended:
			case <-stop:
				return
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			s.note("%s has crashed", id)
			time.Sleep(3 * time.Second)
		}
	}
	for i := range 6 {
		go keep(i)
	}
	time.Sleep(time.Second)
	if err := s.startInstances(3); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var wg sync.WaitGroup
	end := time.Now().Add(95 * time.Second)
	for c := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for k := 0; time.Now().Before(end); k++ {
				s.ask(s.instances[rand.IntN(3)], "POST", fmt.Sprintf("/%s/sound-%d-%d", kind, c, k), map[bool]string{true: "m"}[kind == "chat"], 5*time.Second)
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	start := time.Now()
	killed := false
	herdAt, _ := time.ParseDuration(os.Getenv("HERD"))
	for time.Now().Before(end) {
		s.ask(s.instances[rand.IntN(3)], "POST", "/"+kind+"/boom", map[bool]string{true: "m"}[kind == "chat"], 5*time.Second)
		time.Sleep(time.Second)
		if os.Getenv("HERD") != "" && !killed && time.Since(start) > herdAt {
			killed = true
			for _, p := range s.instances {
				s.signal(p, syscall.SIGKILL)
			}
			for _, p := range s.instances {
				<-p.ended
				if err := s.restart(p); err != nil {
					return false, err
				}
			}
			time.Sleep(6 * time.Second)
		}
	}
	wg.Wait()
	close(stop)
	mu.Lock()
	defer mu.Unlock()
	for i, c := range crashes {
		s.note("crash %d at %.1f s", i+1, c.Sub(start).Seconds())
	}
	log, _ := os.ReadFile(s.folder + "/runners.log")
	late := 0
	for _, l := range strings.Split(string(log), "\n") {
		if strings.Contains(l, "boom") {
			late++
		}
	}
	s.note("%d arrivals of the poison", late)
	return true, nil
}
