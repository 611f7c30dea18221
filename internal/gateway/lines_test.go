package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Callers can't cause any number of lines, and those that were omitted are counted.
func TestLineLimit(t *testing.T) {
	var l lineLimit
	now, logged := time.Now(), 0
	for range maxLines + 30 {
		if _, ok := l.next(now); ok {
			logged++
		}
	}
	assert.Equal(t, maxLines, logged)
	omitted, ok := l.next(now.Add(time.Second))
	assert.True(t, ok)
	assert.Equal(t, 30, omitted)
	omitted, ok = l.next(now.Add(time.Second))
	assert.True(t, ok)
	assert.Zero(t, omitted)
}
