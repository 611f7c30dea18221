package httpconn

import (
	"net"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// A request must not be written before all bytes received earlier were consumed, nor once others have
// arrived: they would be read as its answer.
func TestBytesReceivedBeforeARequestKeepItOffTheConnection(t *testing.T) {
	for _, early := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			near, far := net.Pipe()
			defer func() { _ = far.Close() }()
			c := New(near)
			defer func() { _ = c.Close() }()
			var group errgroup.Group
			begun := false
			group.Go(func() error { c.begin(nil); begun = true; return nil })
			synctest.Wait()
			require.False(t, begun, "the transport has not read what came before")
			group.Go(func() error { _, _ = c.Read(make([]byte, 1)); return nil })
			synctest.Wait()
			require.True(t, begun)
			if early {
				_, err := far.Write([]byte("x"))
				require.NoError(t, err)
				synctest.Wait()
			}
			group.Go(func() error { _, _ = far.Read(make([]byte, 1)); return nil })
			_, err := c.Write([]byte("y"))
			assert.Equal(t, early, err != nil)
			assert.Equal(t, early, c.abandonUnwritten(0), "not sent, and it never will be")
			_ = c.Close()
			_ = far.Close()
			require.NoError(t, group.Wait())
		})
	}
}

// A request that has chosen a connection that then ends doesn't wait for it.
func TestRequestDoesNotWaitForAClosedConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer func() { _ = far.Close() }()
		c := New(near)
		var group errgroup.Group
		group.Go(func() error { c.begin(nil); return nil })
		synctest.Wait()
		require.NoError(t, c.Close())
		require.NoError(t, group.Wait())
		_, err := c.Write([]byte("y"))
		assert.ErrorIs(t, err, errUnusable)
	})
}

// A request that was answered without a body counts as not sent, and is sent to another endpoint, because the
// next request has chosen its connection meanwhile.
func TestAnsweredRequestCountsAsSentOnceAnotherHasItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer func() { _ = far.Close() }()
		c := New(near)
		var group errgroup.Group
		group.Go(func() error {
			for buffer := make([]byte, 1); ; {
				if _, err := c.Read(buffer); err != nil {
					return nil
				}
			}
		})
		synctest.Wait()
		var answered, next Exchange
		answered.Use(c)
		group.Go(func() error { _, _ = far.Read(make([]byte, 1)); return nil })
		_, err := c.Write([]byte("y"))
		require.NoError(t, err)
		next.Use(c)
		assert.True(t, answered.Sent())
		assert.False(t, next.Sent())
		_, err = c.Write([]byte("z"))
		require.ErrorIs(t, err, errUnusable)
		require.NoError(t, group.Wait())
	})
}
