package timer

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Tasks runs recurring tasks in a group, with at most one concurrent run of each name. It is
// safe for concurrent use.
type Tasks struct {
	timers *Service
	group  *errgroup.Group
	ctx    context.Context

	mu      sync.Mutex
	running map[string]bool
}

// NewTasks returns tasks that run until the context ends.
func NewTasks(ctx context.Context, timers *Service, group *errgroup.Group) *Tasks {
	return &Tasks{timers: timers, group: group, ctx: ctx, running: make(map[string]bool)}
}

// Every runs a task immediately and then at each interval with up to 10 % jitter, and passes it
// the time at which it was due. A run that is due while the previous one still runs is skipped.
func (t *Tasks) Every(name string, interval time.Duration, task func(context.Context, time.Time)) {
	run := func(now time.Time) { t.RunIfIdle(name, func(ctx context.Context) { task(ctx, now) }) }
	run(t.timers.Now())
	t.timers.Every(interval, interval/10, run)
}

// RunIfIdle starts a task unless it is already running or the context has ended.
func (t *Tasks) RunIfIdle(name string, task func(context.Context)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[name] || t.ctx.Err() != nil {
		return
	}
	t.running[name] = true
	t.group.Go(func() error {
		defer t.markIdle(name)
		task(t.ctx)
		return nil
	})
}

func (t *Tasks) markIdle(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running[name] = false
}
