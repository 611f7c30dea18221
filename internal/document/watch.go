package document

import (
	"context"
	"errors"

	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/platform"
)

// errWoken means that the wait was cancelled because Run has something else to do.
var errWoken = errors.New("woken")

// waitStore waits for a change in the store. It returns errWoken early when a peer announces a
// higher revision or this instance's role changes.
func (d *Documents) waitStore(ctx context.Context, after platform.Version) (platform.Entry, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	group, waitCtx := errgroup.WithContext(ctx)
	done := make(chan struct{})
	group.Go(func() error {
		select {
		case <-d.wake:
			cancel(errWoken)
		case <-done:
		case <-waitCtx.Done():
		}
		return nil
	})
	entry, err := d.store.Wait(waitCtx, Key, after, d.idleTimeout())
	close(done)
	if waitErr := group.Wait(); waitErr != nil {
		return platform.Entry{}, waitErr
	}
	if err != nil && errors.Is(context.Cause(ctx), errWoken) {
		return platform.Entry{}, errWoken
	}
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Entry{Key: Key}, nil
	}
	return entry, err
}
