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
	// authorPrefix starts the comment line that records who applied a document.
	authorPrefix        = "; applied by "
	authorTimeSeparator = " at "

	inForceTimeout      = 12 * time.Second
	inForcePollInterval = 50 * time.Millisecond
)

// Document implements operator.Backend.
func (b backend) Document(context.Context) (operator.Document, error) {
	current, ok := b.documents.Current()
	if !ok {
		return operator.Document{}, fmt.Errorf("get document: %w", operator.ErrNotFound)
	}
	return toOperatorDocument(current), nil
}

func toOperatorDocument(d revision.Document) operator.Document {
	text := string(d.Text)
	result := operator.Document{Revision: d.Revision, Text: text}
	line, rest, found := strings.Cut(text, "\n")
	if !found || !strings.HasPrefix(line, authorPrefix) {
		return result
	}
	result.Text = rest
	author, at, _ := strings.Cut(strings.TrimPrefix(line, authorPrefix), authorTimeSeparator)
	result.Author = author
	result.Applied, _ = time.Parse(time.RFC3339, at)
	return result
}

// Apply implements operator.Backend. It waits until the edit is in force at all instances.
// After a timeout it returns the instances that are behind.
func (b backend) Apply(ctx context.Context, e operator.Edit) (operator.ApplyResult, error) {
	if _, err := profile.Parse("document", []byte(e.Text)); err != nil {
		return operator.ApplyResult{}, fmt.Errorf("apply: %w", err)
	}
	author := strings.Join(strings.Fields(e.Author), " ")
	text := authorPrefix + author + authorTimeSeparator + b.clock().UTC().Format(time.RFC3339) + "\n" + e.Text
	rev, err := b.documents.Apply(ctx, e.Expect, []byte(text))
	if err != nil {
		return operator.ApplyResult{}, b.applyError(ctx, e, err)
	}
	b.background(func(ctx context.Context) { b.sendHeartbeats(ctx, b.clock()) })
	return b.awaitInForce(ctx, rev), nil
}

func (n *Node) applyError(ctx context.Context, e operator.Edit, err error) error {
	switch {
	case errors.Is(err, revision.ErrStale):
		winner := toOperatorDocument(n.awaitNewerDocument(ctx, e.Expect))
		return &operator.ConflictError{Expected: e.Expect, Revision: winner.Revision, Author: winner.Author}
	case errors.Is(err, platform.ErrUncertain):
		return fmt.Errorf("%w: %w", operator.ErrUncertain, err)
	case errors.Is(err, platform.ErrUnavailable):
		return fmt.Errorf("%w: %w", operator.ErrUnavailable, err)
	default:
		return err
	}
}

// awaitNewerDocument waits until this instance has a document newer than a revision, and returns
// the one in force. At the timeout it returns the current one.
func (n *Node) awaitNewerDocument(ctx context.Context, rev uint64) revision.Document {
	ctx, cancel := context.WithTimeout(ctx, n.config.Platform.Timeout)
	defer cancel()
	for {
		current, _ := n.documents.Current()
		if current.Revision > rev || ctx.Err() != nil {
			return current
		}
		sleep(ctx, inForcePollInterval)
	}
}

func (n *Node) awaitInForce(ctx context.Context, rev uint64) operator.ApplyResult {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	for {
		result := n.inForce(rev)
		if len(result.Behind) == 0 || ctx.Err() != nil {
			return result
		}
		sleep(ctx, inForcePollInterval)
	}
}

func (n *Node) inForce(rev uint64) operator.ApplyResult {
	result := operator.ApplyResult{Revision: rev, InForce: []string{}, Behind: []string{}}
	behind := readView(n.members, func(v *member.View) []member.Peer { return v.Behind(rev) })
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

// Drain implements operator.Backend. It drains only the instance that receives the call.
func (b backend) Drain(_ context.Context, instance string) (operator.DrainResult, error) {
	if fleet.Instance(instance) != b.members.Self().Instance {
		return operator.DrainResult{}, fmt.Errorf("drain instance %s: ask that instance itself: %w", instance, operator.ErrNotFound)
	}
	b.startShutdown()
	return operator.DrainResult{Instance: instance, State: operator.StateLeaving, Running: b.pool.InFlight()}, nil
}
