package catalog

import "github.com/chiveramp/chiveramp/internal/core/credential"

// Unit is what the allotment of a workspace counts.
type Unit string

// The units of allotments.
const (
	// UnitRequests counts each request as one.
	UnitRequests Unit = "requests"
	// UnitTokens counts the prompt and output tokens of a request.
	UnitTokens Unit = "tokens"
)

// Workspace is a group of callers with keys, a rank and an allotment of their own.
type Workspace struct {
	Name string
	// Level is the rank of its requests if HasLevel is set; else the route's level counts.
	Level    int
	HasLevel bool
	Unit     Unit
	// DefaultTokens is what a request without a token count costs if the unit is tokens.
	DefaultTokens float64
	// Rate is the allotment per second in the unit, Burst the amount that can be saved up. They
	// count over all instances together; a rate of 0 is no limit.
	Rate  float64
	Burst float64

	keys []credential.Digest
}

// NewWorkspace returns a workspace with its keys, of which only the digests are kept. Empty
// keys are ignored.
func NewWorkspace(name string, keys []string) Workspace {
	w := Workspace{Name: name, Unit: UnitRequests}
	for _, k := range keys {
		if k != "" {
			w.keys = append(w.keys, credential.DigestOf(k))
		}
	}
	return w
}

// LevelOn returns the rank of a request of the workspace on a route: the workspace's, if it
// has one. A nil workspace has none.
func (w *Workspace) LevelOn(r *Route) int {
	if w == nil || !w.HasLevel {
		return r.Level
	}
	return w.Level
}

// NeedsKey reports whether a request on a route needs the key of a workspace.
func (c *Catalog) NeedsKey(r *Route) bool { return len(c.Workspaces) > 0 && !r.Public }

// Limited reports whether the workspace has an allotment.
func (w *Workspace) Limited() bool { return w != nil && w.Rate > 0 }

// Cost returns what a request takes of the allotment. counted is whether the request states
// its tokens.
func (w *Workspace) Cost(tokens int, counted bool) float64 {
	switch {
	case w.Unit != UnitTokens:
		return 1
	case counted:
		return float64(tokens)
	default:
		return w.DefaultTokens
	}
}

// indexKeys builds the lookup that Workspace uses. A key that two workspaces list belongs to
// the first.
func (c *Catalog) indexKeys() {
	c.workspaces = make(map[credential.Digest]*Workspace)
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		for _, k := range w.keys {
			if c.workspaces[k] == nil {
				c.workspaces[k] = w
			}
		}
	}
}

// Workspace returns the workspace that a key belongs to.
func (c *Catalog) Workspace(key credential.Digest) (*Workspace, bool) {
	w, ok := c.workspaces[key]
	return w, ok
}
