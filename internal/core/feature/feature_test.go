package feature_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/feature"
)

func TestAll(t *testing.T) {
	both, one := []feature.Feature{feature.Backlog, feature.Queue}, []feature.Feature{feature.Queue}
	tests := []struct {
		name          string
		announcements [][]feature.Feature
		want          bool
	}{
		{name: "no other instance", want: true},
		{name: "all", announcements: [][]feature.Feature{both, both}, want: true},
		{name: "one lacks it", announcements: [][]feature.Feature{both, one}},
		{name: "an earlier build announces nothing", announcements: [][]feature.Feature{both, nil}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, tt.want, feature.All(feature.Backlog, tt.announcements...))
		})
	}
}
