package slopes

import (
	"fmt"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/suspect"
)

const (
	centres = 11
	regions = 5
)

var startTime = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func peerOf(i, centre int) member.Peer {
	name := fmt.Sprintf("entry-%02d-%03d", centre, i)
	return member.Peer{
		Instance: fleet.Instance(name),
		Place: fleet.Place{
			Region:     fleet.Region(fmt.Sprintf("region-%d", centre%regions)),
			DataCentre: fleet.DataCentre(fmt.Sprintf("region-%d-%02d", centre%regions, centre)),
		},
		Incarnation: "6f1c2a9e-5d0b-4a7e-9b61-0d6c3d1c8f" + fmt.Sprintf("%02x", i%256),
		Address:     fmt.Sprintf("10.%d.%d.%d:7000", centre, i/256, i%256),
		Caller:      fmt.Sprintf("10.%d.%d.%d:8000", centre, i/256, i%256),
		Revision:    9,
		Sequence:    1,
	}
}

// newView returns a view of a fleet of n instances over all data centres.
func newView(n int) *member.View {
	v := member.New(peerOf(0, 0), member.WithInterval(time.Second))
	for i := 1; i < n; i++ {
		p := peerOf(i, i%centres)
		v.Observe(startTime, p)
		v.ObserveRemote(startTime, []member.Peer{p})
	}
	return v
}

// observeRound does the work of one heartbeat round: the view receives a heartbeat from
// every peer, checks all for timeouts and chooses the targets of its own heartbeats.
func observeRound(v *member.View) {
	for _, p := range v.All() {
		v.Observe(startTime, p)
	}
	v.Tick(startTime)
	v.Targets(startTime)
}

// Members measures the membership view: its memory, a heartbeat round and the choice of a
// dispatcher.
func Members(r *Report) {
	memory := Series{Name: "view memory", By: "instances", Unit: "B"}
	tick := Series{Name: "view round cpu", By: "instances", Unit: "ns"}
	choice := Series{Name: "dispatcher choice cpu", By: "instances", Unit: "ns"}
	for _, n := range []int{50, 100, 200, 420, 840} {
		size := float64(n)
		memory.Points = append(memory.Points, Point{size, memoryOf(func() []*member.View {
			return []*member.View{newView(n), newView(n), newView(n), newView(n)}
		}) / 4})
		v := newView(n)
		tick.Points = append(tick.Points, Point{size, cpuOf(func() { observeRound(v) })})
		v = newView(n)
		place := v.Self().Place
		choice.Points = append(choice.Points, Point{size, cpuOf(func() { v.Dispatcher("endpoint-17", place) })})
	}
	r.Add(memory)
	r.Add(tick)
	r.Add(choice)
}

// Suspects measures the memory of the tracker of suspected poison requests.
func Suspects(r *Report) {
	memory := Series{Name: "suspect memory", By: "fingerprints", Unit: "B"}
	for _, n := range []int{256, 1024, 4096} {
		memory.Points = append(memory.Points, Point{float64(n), memoryOf(func() *suspect.Tracker {
			b := suspect.New()
			for i := range n {
				b.RecordCrashInferTrials(startTime, fmt.Sprint("endpoint@", i/16), []suspect.Fingerprint{suspect.Fingerprint(i)})
			}
			return b
		})})
	}
	r.Add(memory)
}
