package feature_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/feature"
)

func TestAgreed(t *testing.T) {
	queue := []feature.Feature{feature.Queue}
	received := feature.Announcement{Received: true, Features: queue}
	tests := []struct {
		name   string
		own    []feature.Feature
		known  bool
		others []feature.Announcement
		want   bool
	}{
		{name: "the only instance", own: queue, known: true, want: true},
		{name: "started, others not known yet", own: queue},
		{name: "others not known yet, one announces it", own: queue, others: []feature.Announcement{received}},
		{name: "all announce it", own: queue, known: true, others: []feature.Announcement{received, received}, want: true},
		{name: "an earlier build", own: queue, known: true, others: []feature.Announcement{received, {Received: true}}},
		{name: "no heartbeat of the present start", own: queue, known: true, others: []feature.Announcement{received, {Features: queue}}},
		{name: "an earlier build among later ones", known: true, others: []feature.Announcement{received}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, tt.want, feature.Agreed(feature.Queue, tt.own, tt.known, tt.others))
		})
	}
}
