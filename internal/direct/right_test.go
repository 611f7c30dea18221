package direct

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/tenure"
	"github.com/chiveramp/chiveramp/pkg/config"
	"github.com/chiveramp/chiveramp/platform"
	"github.com/chiveramp/chiveramp/platform/standin"
)

// The first holder ever follows nobody, and one that was the last holder itself follows
// nobody either; any other waits until the one before can't have ordered.
func TestOnlyAFormerHolderIsWaitedFor(t *testing.T) {
	store := standin.NewStore(10)
	t.Cleanup(store.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	instance := func(name string) *right {
		c := config.Gateway{}
		c.Instance.Name, c.Listen.Peer = name, name+":1"
		c.Orders.Lease, c.Store.Timeout = time.Minute, time.Second
		return newRight(platform.NewStore(store.Address()), tenure.New(time.Minute, time.Second, time.Minute), c, log.NewNopLogger())
	}
	claims := func(name string) (*right, bool) {
		r := instance(name)
		r.acquire(ctx)
		fence, may := r.Orders()
		require.NotZero(t, fence, name)
		return r, may
	}
	first, may := claims("one")
	assert.True(t, may, "nobody has ever ordered")
	first.release(ctx)
	again, may := claims("one")
	assert.True(t, may, "the same machine")
	again.release(ctx)
	_, may = claims("two")
	assert.False(t, may, "another machine has ordered before")
}
