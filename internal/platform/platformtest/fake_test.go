package platformtest

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/platform"
	standin "github.com/chiveramp/chiveramp/internal/standin/platform"
)

func TestFakeReturnsClientErrors(t *testing.T) {
	now := time.Unix(0, 0)
	fake := NewWithClock(func() time.Time { return now })
	ctx := context.Background()
	_, err := fake.Swap(ctx, platform.Write{Key: "a"})
	require.NoError(t, err)
	fake.Server().SetFaults(standin.Faults{LoseReply: 1})
	_, err = fake.Swap(ctx, platform.Write{Key: "b"})
	require.ErrorIs(t, err, platform.ErrUncertain)
	_, err = fake.Get(ctx, "b")
	require.NoError(t, err)
	other := fake.Client()
	fake.SetUnreachable(true)
	_, err = fake.Swap(ctx, platform.Write{Key: "c"})
	require.ErrorIs(t, err, platform.ErrUnavailable)
	_, err = other.Get(ctx, "c")
	require.ErrorIs(t, err, platform.ErrNotFound)
}
