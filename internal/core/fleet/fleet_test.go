package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParseRank(t *testing.T) {
	tests := []struct {
		text string
		want Rank
		fail bool
	}{
		{text: "urgent", want: RankUrgent},
		{text: "bulk", want: RankBulk},
		{text: "Urgent", fail: true},
		{text: "", fail: true},
	}
	for _, tt := range tests {
		t.Run(tt.text, func(t *testing.T) {
			got, err := ParseRank(tt.text)
			require.Equal(t, tt.fail, err != nil)
			require.Equal(t, tt.want, got)
		})
	}
}
