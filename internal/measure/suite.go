package measure

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"golang.org/x/sync/errgroup"
)

// Suite selects the simulations to run.
type Suite struct {
	Deployments []Deployment
	// Scene keeps the scenes whose name contains it; empty keeps all.
	Scene    string
	Policies []Policy
	Seeds    []uint64
	// Parallel is the maximum number of concurrent simulations.
	Parallel int
}

// errNoScene is returned when a suite selects no scene.
var errNoScene = errors.New("no scene name contains this text")

// Cell holds the results of one policy in one scene, one per seed.
type Cell struct {
	Deployment string
	Scene      string
	Policy     string
	Results    []Result
}

// Run simulates all scenes under all policies. For a given seed, each policy gets
// the same arrivals.
func (s *Suite) Run(ctx context.Context) ([]Cell, error) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(s.Parallel, 1))
	cells := s.emptyCells()
	if len(cells) == 0 {
		return nil, fmt.Errorf("select scene %q: %w", s.Scene, errNoScene)
	}
	offset := 0
	for i := range s.Deployments {
		for _, scene := range s.scenes(&s.Deployments[i]) {
			row := cells[offset : offset+len(s.Policies)]
			offset += len(s.Policies)
			for k, seed := range s.Seeds {
				group.Go(func() error { return s.runScene(ctx, &s.Deployments[i], &scene, row, k, seed) })
			}
		}
	}
	return cells, group.Wait()
}

// emptyCells returns the cells to fill, in report order.
func (s *Suite) emptyCells() []Cell {
	var out []Cell
	for i := range s.Deployments {
		for _, scene := range s.scenes(&s.Deployments[i]) {
			for _, p := range s.Policies {
				out = append(out, Cell{
					Deployment: s.Deployments[i].Name, Scene: scene.Name, Policy: p.Name,
					Results: make([]Result, len(s.Seeds)),
				})
			}
		}
	}
	return out
}

func (s *Suite) scenes(d *Deployment) []Scene {
	var out []Scene
	for _, scene := range Scenes(d) {
		if strings.Contains(scene.Name, s.Scene) {
			out = append(out, scene)
		}
	}
	return out
}

// runScene simulates one scene with one seed under all policies.
func (s *Suite) runScene(ctx context.Context, d *Deployment, scene *Scene, row []Cell, k int, seed uint64) error {
	all := arrivals(d, scene, seed)
	for j := range s.Policies {
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("run %s: %w", scene.Name, err)
		}
		p := &s.Policies[j]
		row[j].Results[k] = newSimulation(d, scene, p, seed).run(all).result(p.Name, seed)
	}
	return nil
}
