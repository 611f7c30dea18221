package gateway

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestEventBuffer(t *testing.T) {
	tests := []struct {
		name   string
		parts  []string
		passed []string // what may be passed on after each part
		left   string
		inside bool // an event has begun
	}{
		{name: "whole events", parts: []string{"id: 1\n\n", "id: 2\n\nid: 3\n\n"}, passed: []string{"id: 1\n\n", "id: 2\n\nid: 3\n\n"}},
		{name: "an event in pieces", parts: []string{"id: 1\nda", "ta: x\n", "\nid: 2"}, passed: []string{"", "", "id: 1\ndata: x\n\n"}, left: "id: 2", inside: true},
		{name: "comments wait for an event", parts: []string{": a\n\n", ": b\n\nid: 1\n", "\n: c"}, passed: []string{"", "", ": a\n\n: b\n\nid: 1\n\n"}, left: ": c", inside: true},
		{name: "a comment inside an event", parts: []string{": a\nid: 1\n\n"}, passed: []string{": a\nid: 1\n\n"}},
		{name: "empty lines are no event", parts: []string{"\n\n", "\n\n"}, passed: []string{"", ""}, left: "\n\n\n\n"},
		{name: "comments after the last event", parts: []string{"id: 1\n\n: a\n\n", ": b\n\n"}, passed: []string{"id: 1\n\n: a\n\n", ""}, left: ": b\n\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b eventBuffer
			for i, part := range tt.parts {
				n := b.add([]byte(part))
				assert.Equal(t, tt.passed[i], string(b.data[:n]), "part %d", i)
				b.remove(n)
			}
			assert.Equal(t, tt.left, string(b.data))
			assert.Equal(t, tt.inside, !b.betweenEvents())
		})
	}
}
