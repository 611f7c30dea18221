package config

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const gatewayText = `[instance]
name = one
region = south
datacentre = a

[listen]
caller = 127.0.0.1:1
directory = 127.0.0.1:2
ready = 127.0.0.1:3
peer = 127.0.0.1:4

[peer]
places = a:south

[store]
address = 127.0.0.1:5

[retry]
share = SHARE
extra = EXTRA
window = WINDOWs

[orders]
apart = APARTms
window = WINDOWs
over = OVER

[drain]
grace = GRACEs
`

// The platform states its bounds as whole numbers or as fractions, for example where it
// scales them to a smaller deployment.
func TestGatewayReadsBoundsAsThePlatformStatesThem(t *testing.T) {
	tests := []struct {
		name                                     string
		share, extra, window, apart, over, grace string
		wantExtra                                float64
		wantWindow, wantApart, wantGrace         time.Duration
	}{
		{name: "whole numbers", share: "0.2", extra: "58", window: "10", apart: "3000", over: "1.1", grace: "8", wantExtra: 58, wantWindow: 10 * time.Second, wantApart: 3 * time.Second, wantGrace: 8 * time.Second},
		{name: "a large deployment", share: "0.2", extra: "630", window: "10", apart: "3000", over: "1.1", grace: "8", wantExtra: 630, wantWindow: 10 * time.Second, wantApart: 3 * time.Second, wantGrace: 8 * time.Second},
		{name: "scaled down", share: "0.2", extra: "33.1578947368421", window: "7.5", apart: "2999.5", over: "1.05", grace: "7.25", wantExtra: 33.1578947368421, wantWindow: 7500 * time.Millisecond, wantApart: 2999500 * time.Microsecond, wantGrace: 7250 * time.Millisecond},
		{name: "whole numbers written as fractions", share: "1.0", extra: "58.0", window: "10.0", apart: "3000.0", over: "1.0", grace: "8.0", wantExtra: 58, wantWindow: 10 * time.Second, wantApart: 3 * time.Second, wantGrace: 8 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.NewReplacer("SHARE", tt.share, "EXTRA", tt.extra, "WINDOW", tt.window, "APART", tt.apart, "OVER", tt.over, "GRACE", tt.grace).Replace(gatewayText)
			c, err := ParseGateway("f", []byte(text))
			require.NoError(t, err)
			assert.InDelta(t, tt.wantExtra, c.Retry.Extra, 0)
			assert.Equal(t, tt.wantWindow, c.Retry.Window)
			assert.Equal(t, tt.wantWindow, c.Orders.Window)
			assert.Equal(t, tt.wantApart, c.Orders.Apart)
			assert.Equal(t, tt.wantGrace, c.Drain.Grace)
		})
	}
}
