package node

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/revision"
	"github.com/chiveramp/chiveramp/internal/operator"
	"github.com/chiveramp/chiveramp/internal/platform"
	"github.com/chiveramp/chiveramp/pkg/profile"
)

const (
	// authorMark opens the comment line that names who applied a document.
	authorMark = "; applied by "
	authorTime = " at "

	inForceWait  = 12 * time.Second
	inForcePause = 50 * time.Millisecond
)

// Document implements operator.Backend.
func (n backend) Document(context.Context) (operator.Document, error) {
	current, ok := n.documents.Current()
	if !ok {
		return operator.Document{}, fmt.Errorf("get document: %w", operator.ErrNotFound)
	}
	return toOperator(current), nil
}

func toOperator(d revision.Document) operator.Document {
	text := string(d.Text)
	result := operator.Document{Revision: d.Revision, Text: text}
	line, rest, found := strings.Cut(text, "\n")
	if !found || !strings.HasPrefix(line, authorMark) {
		return result
	}
	result.Text = rest
	author, at, _ := strings.Cut(strings.TrimPrefix(line, authorMark), authorTime)
	result.Author = author
	result.Applied, _ = time.Parse(time.RFC3339, at)
	return result
}

// Apply implements operator.Backend. It waits until the edit is in force
// everywhere, or says where it is not yet.
func (n backend) Apply(ctx context.Context, e operator.Edit) (operator.ApplyResult, error) {
	if _, err := profile.Parse("document", []byte(e.Text)); err != nil {
		return operator.ApplyResult{}, fmt.Errorf("apply: %w", err)
	}
	author := strings.Join(strings.Fields(e.Author), " ")
	text := authorMark + author + authorTime + n.clock().UTC().Format(time.RFC3339) + "\n" + e.Text
	rev, err := n.documents.Apply(ctx, e.Expect, []byte(text))
	if err != nil {
		return operator.ApplyResult{}, n.applyError(ctx, e, err)
	}
	n.background(func(ctx context.Context) { n.beat(ctx, n.clock()) })
	return n.awaitForce(ctx, rev), nil
}

func (n *Node) applyError(ctx context.Context, e operator.Edit, err error) error {
	switch {
	case errors.Is(err, revision.ErrStale):
		won := toOperator(n.newer(ctx, e.Expect))
		return &operator.ConflictError{Expected: e.Expect, Revision: won.Revision, Author: won.Author}
	case errors.Is(err, platform.ErrUncertain):
		return fmt.Errorf("%w: %w", operator.ErrUncertain, err)
	case errors.Is(err, platform.ErrUnavailable):
		return fmt.Errorf("%w: %w", operator.ErrUnavailable, err)
	default:
		return err
	}
}

// newer returns the document in force, once the one that won over a revision is here.
func (n *Node) newer(ctx context.Context, than uint64) revision.Document {
	ctx, cancel := context.WithTimeout(ctx, n.config.Platform.Timeout)
	defer cancel()
	for {
		current, _ := n.documents.Current()
		if current.Revision > than || ctx.Err() != nil {
			return current
		}
		wait(ctx, inForcePause)
	}
}

func (n *Node) awaitForce(ctx context.Context, rev uint64) operator.ApplyResult {
	ctx, cancel := context.WithTimeout(ctx, inForceWait)
	defer cancel()
	for {
		result := n.inForce(rev)
		if len(result.Behind) == 0 || ctx.Err() != nil {
			return result
		}
		wait(ctx, inForcePause)
	}
}

func (n *Node) inForce(rev uint64) operator.ApplyResult {
	result := operator.ApplyResult{Revision: rev, InForce: []string{}, Behind: []string{}}
	behind := locked(n.members, func(v *member.View) []member.Peer { return v.Behind(rev) })
	for _, p := range behind {
		result.Behind = append(result.Behind, string(p.Instance))
	}
	for _, p := range n.members.Live("") {
		if !slices.Contains(result.Behind, string(p.Instance)) {
			result.InForce = append(result.InForce, string(p.Instance))
		}
	}
	return result
}

// Drain implements operator.Backend for the own instance.
func (n backend) Drain(_ context.Context, instance string) (operator.DrainResult, error) {
	if fleet.Instance(instance) != n.members.Self().Instance {
		return operator.DrainResult{}, fmt.Errorf("drain instance %s: ask that instance itself: %w", instance, operator.ErrNotFound)
	}
	n.stopping()
	return operator.DrainResult{Instance: instance, State: operator.StateLeaving, Running: n.pool.InFlight()}, nil
}
