package measure

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"golang.org/x/sync/errgroup"
)

// Suite says what to run.
type Suite struct {
	Deployments []Deployment
	// Scene keeps the scenes whose name contains it; empty keeps all.
	Scene    string
	Policies []Policy
	Seeds    []uint64
	// Parallel is how many runs go at once.
	Parallel int
}

// errNoScene reports that a suite selects no scene.
var errNoScene = errors.New("no scene has this name")

// Cell gathers the results of one policy in one scene, one for each seed.
type Cell struct {
	Deployment string
	Scene      string
	Policy     string
	Results    []Result
}

// Run plays all scenes under all policies; each policy sees the same arrivals.
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

// emptyCells returns the empty cells in the order of the report.
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

// runScene plays one scene with one seed under all policies.
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
