package slopes

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/directory"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/place"
	"github.com/chiveramp/chiveramp/internal/core/route"
	"github.com/chiveramp/chiveramp/internal/dispatch"
)

const (
	modelsPerEndpoint = 8 // models loaded on one endpoint
	modelCount        = 760
	gib               = 1 << 30
)

func endpointName(i int) fleet.Endpoint {
	return fleet.Endpoint(fmt.Sprintf("runner-00-%04d", i))
}

func modelsOn(i int) []fleet.Model {
	var list []fleet.Model
	for j := range modelsPerEndpoint {
		list = append(list, fleet.Model(fmt.Sprintf("model-%03d", (i*modelsPerEndpoint+j)%modelCount)))
	}
	return list
}

func newDirectory(n int) *directory.Directory {
	d := directory.New()
	var rows []directory.Registration
	for i := range n {
		rows = append(rows, directory.Registration{
			Endpoint: endpointName(i), Service: "runners", Place: peerOf(0, 0).Place,
			Address: fmt.Sprintf("10.0.%d.%d:9000", i/256, i%256), Incarnation: fmt.Sprintf("%08x", i),
		})
	}
	d.ReplaceAll(1, rows)
	for i := range n {
		d.ApplyReport(startTime, directory.Report{
			Endpoint: endpointName(i), Incarnation: fmt.Sprintf("%08x", i), Running: 12, Serial: 1, Models: modelsOn(i),
		})
	}
	return d
}

// manualTimer is a clock whose periodic timer fires only when the measurement calls it.
type manualTimer struct {
	fire func(time.Time)
}

func (m *manualTimer) Now() time.Time { return startTime }

func (m *manualTimer) Every(_, _ time.Duration, fn func(time.Time)) func() {
	m.fire = fn
	return func() {}
}

// Dispatchers measures the dispatchers of endpoints and the directory of a data centre.
func Dispatchers(r *Report) error {
	memory := Series{Name: "dispatcher memory", By: "endpoints", Unit: "B"}
	sweep := Series{Name: "dispatcher sweep cpu", By: "endpoints", Unit: "ns"}
	for _, n := range []int{8, 16, 64, 256} {
		timers := &manualTimer{}
		var pool *dispatch.Pool
		var failed error
		cost := memoryOf(func() *dispatch.Pool {
			pool = dispatch.New("entry-00-000", &errgroup.Group{}, timers, nil, directory.New())
			for i := range n {
				if _, err := pool.QueueLoad(context.Background(), endpointName(i)); err != nil {
					failed = err
				}
			}
			return pool
		})
		if failed != nil {
			return fmt.Errorf("start %d dispatchers: %w", n, failed)
		}
		memory.Points = append(memory.Points, Point{float64(n), cost})
		sweep.Points = append(sweep.Points, Point{float64(n), cpuOf(func() {
			if timers.fire != nil { // a pool without requests sets no timer
				timers.fire(startTime)
			}
			for i := range n {
				_, _ = pool.QueueLoad(context.Background(), endpointName(i))
			}
		})})
		pool.Close()
	}
	r.Add(memory)
	r.Add(sweep)
	directoryMemory := Series{Name: "directory memory", By: "endpoints", Unit: "B"}
	reportCPU := Series{Name: "directory report cpu", By: "endpoints", Unit: "ns"}
	for _, n := range []int{150, 300, 600, 1200} {
		directoryMemory.Points = append(directoryMemory.Points, Point{float64(n), memoryOf(func() *directory.Directory { return newDirectory(n) })})
		d, i := newDirectory(n), 0
		reportCPU.Points = append(reportCPU.Points, Point{float64(n), cpuOf(func() {
			i++
			d.ApplyReport(startTime, directory.Report{Endpoint: endpointName(i % n), Incarnation: fmt.Sprintf("%08x", i%n), Running: i, Serial: 1, Models: modelsOn(i % n)})
		})})
	}
	r.Add(directoryMemory)
	r.Add(reportCPU)
	return nil
}

// Choices measures the router's choice of an endpoint for a request.
func Choices(r *Report) {
	cpu := Series{Name: "route cpu", By: "candidates", Unit: "ns"}
	for _, n := range []int{2, 8, 32, 128} {
		router := route.New()
		var candidates []route.Candidate
		for i := range n {
			candidates = append(candidates, route.Candidate{
				Endpoint: endpointName(i), Place: peerOf(0, 0).Place, Running: i % 16, ModelLoaded: true,
			})
		}
		request := route.Request{Model: "model-001", Rank: fleet.RankStandard, Place: peerOf(0, 0).Place, PromptTokens: 800, AnswerTokens: 200}
		cpu.Points = append(cpu.Points, Point{float64(n), cpuOf(func() { router.Choose(startTime, request, candidates) })})
	}
	r.Add(cpu)
}

// Plans measures one run of the placement planner of a data centre.
func Plans(r *Report) {
	cpu := Series{Name: "plan cpu", By: "endpoints", Unit: "ns"}
	memory := Series{Name: "plan memory", By: "endpoints", Unit: "B"}
	for _, n := range []int{75, 150, 300, 600} {
		planner, v := place.New(), planView(n)
		cpu.Points = append(cpu.Points, Point{float64(n), cpuOf(func() { planner.Plan(startTime, v) })})
		memory.Points = append(memory.Points, Point{float64(n), memoryOf(func() place.View { return planView(n) })})
	}
	r.Add(cpu)
	r.Add(memory)
}

func planView(n int) place.View {
	v := place.View{}
	for i := range n {
		v.Endpoints = append(v.Endpoints, place.EndpointView{
			Endpoint: endpointName(i), Place: peerOf(0, 0).Place, Memory: 80 * gib, Used: modelsPerEndpoint * 9 * gib, Models: modelsOn(i),
		})
	}
	for i := range min(modelCount, n*modelsPerEndpoint) {
		v.Models = append(v.Models, place.ModelView{
			Model: fleet.Model(fmt.Sprintf("model-%03d", i)), Bytes: 9 * gib, Fast: float64(i%40) / 40, Slow: float64(i%10) / 10, OtherCopies: 1,
		})
	}
	return v
}
