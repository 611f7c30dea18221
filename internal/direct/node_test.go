package direct

import (
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/reload"
	"github.com/chiveramp/chiveramp/pkg/config"
)

// A new instance has none of the fixed retry allowance at first: it may be the restart of an
// instance that had used up its part of the retry budget.
func TestNewInstanceHasNoFixedRetryAllowance(t *testing.T) {
	settings, err := reload.New(nil, func() (config.Gateway, error) {
		c := config.DefaultGateway()
		c.Retry.Extra = 1000
		return c, nil
	})
	require.NoError(t, err)
	n := New(settings, log.NewNopLogger(), new(errgroup.Group))
	assert.False(t, n.state.TakeRetry("s"))
}
