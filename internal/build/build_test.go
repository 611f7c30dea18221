package build

import (
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRevision(t *testing.T) {
	tests := []struct {
		name     string
		settings []debug.BuildSetting
		want     string
	}{
		{name: "not recorded", want: unknown},
		{name: "recorded", settings: []debug.BuildSetting{{Key: "vcs.revision", Value: "910b5191f9133208"}}, want: "910b519"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, tt.want, revision(tt.settings)) })
	}
}

func TestVersionIsNeverEmpty(t *testing.T) { assert.NotEmpty(t, Version()) }
