package profile

import (
	"fmt"
	"slices"
	"strings"
)

// Change is one difference between two documents.
type Change struct {
	// Section is the full name of the section, such as profile "chat".
	Section string `json:"section"`
	// Key is the changed key, empty when the whole section was added or removed.
	Key string `json:"key,omitempty"`
	// From and To are the values before and after.
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
	// Kind is the kind of change.
	Kind ChangeKind `json:"kind"`
}

// ChangeKind is the kind of a change to a section or key.
type ChangeKind string

// The kinds of change.
const (
	ChangeAdded   ChangeKind = "added"
	ChangeRemoved ChangeKind = "removed"
	ChangeSet     ChangeKind = "set"
)

// String returns the change as one line.
func (c Change) String() string {
	if c.Key == "" {
		return fmt.Sprintf("[%s] %s", c.Section, c.Kind)
	}
	return fmt.Sprintf("[%s] %s: %s -> %s", c.Section, c.Key, orNone(c.From), orNone(c.To))
}

// Diff returns the changes from a to b, ordered by section name.
func Diff(a, b Document) []Change {
	before, after := a.sections(), b.sections()
	var changes []Change
	for _, p := range before {
		if _, found := findSection(after, p.name); !found {
			changes = append(changes, Change{Section: p.name, Kind: ChangeRemoved})
		}
	}
	for _, p := range after {
		old, found := findSection(before, p.name)
		if !found {
			changes = append(changes, Change{Section: p.name, Kind: ChangeAdded})
			continue
		}
		changes = append(changes, old.diff(p)...)
	}
	slices.SortStableFunc(changes, func(a, b Change) int { return strings.Compare(a.Section, b.Section) })
	return changes
}

func (s section) diff(after section) []Change {
	var changes []Change
	for i, f := range s.fields {
		from, to := f.Value(), after.fields[i].Value()
		if from != to {
			changes = append(changes, Change{Section: s.name, Key: f.Key, From: from, To: to, Kind: ChangeSet})
		}
	}
	return changes
}

func findSection(sections []section, name string) (section, bool) {
	i := slices.IndexFunc(sections, func(s section) bool { return s.name == name })
	if i < 0 {
		return section{}, false
	}
	return sections[i], true
}

func orNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}
