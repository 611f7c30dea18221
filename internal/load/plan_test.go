package load

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/pkg/profile"
)

const validPlan = `
[run]
document = document.ini
seed = 3
requests = 5000

[stage "steady"]
duration = 20s
rate = 100
profile = chat
targets = a:3, /s/x:1

[stage "flood"]
start = 5s
duration = 10s
rate = 200
profile = night
targets = a
kind = whole
tokens = 8
`

func TestPlanCallsAreDeterministicForASeed(t *testing.T) {
	parsed, err := ParsePlan("plans/p.ini", []byte(validPlan))
	require.NoError(t, err)
	assert.Equal(t, "plans/document.ini", parsed.Document)
	document, err := profile.Parse("document", []byte(reportDocument))
	require.NoError(t, err)
	calls, err := parsed.Calls(document)
	require.NoError(t, err)
	repeated, err := parsed.Calls(document)
	require.NoError(t, err)
	counts := map[string]int{}
	for i, c := range calls {
		counts[c.Stage]++
		counts[c.Target]++
		c.Key, repeated[i].Key = "", "" // idempotency keys are random, not drawn from the seed
		assert.Equal(t, c, repeated[i])
	}
	assert.True(t, slices.IsSortedFunc(calls, func(a, b Call) int { return int(a.Due - b.Due) }))
	assert.InDelta(t, 2000, counts["steady"], 250)
	assert.InDelta(t, 2000, counts["flood"], 250)
	assert.InDelta(t, 500, counts["/s/x"], 125)

	parsed.Seed++
	other, err := parsed.Calls(document)
	require.NoError(t, err)
	assert.NotEqual(t, calls[0].Due, other[0].Due)
}

func TestInvalidPlans(t *testing.T) {
	stage := "\n[stage \"s\"]\nduration = 1s\nrate = 1\nprofile = chat\ntargets = a\n"
	cases := []struct {
		name, text, want string
	}{
		{"no run section", stage, `[run] document: missing`},
		{"no stage", "[run]\ndocument = d\n", `no stage`},
		{"unknown key", "[run]\ndocument = d\nspeed = 1\n", `[run] speed: unknown key`},
		{"unknown section", "[run]\ndocument = d\n[walk]\n", `[walk]: unknown section`},
		{"no rate", "[run]\ndocument = d\n[stage \"s\"]\nduration = 1s\nprofile = chat\ntargets = a\n", `[stage "s"] rate: missing`},
		{"zero rate", "[run]\ndocument = d\n[stage \"s\"]\nrate = 0\n", `[stage "s"] rate: got "0"`},
		{"zero weight", "[run]\ndocument = d\n[stage \"s\"]\ntargets = a:0\n", `[stage "s"] targets: got "a:0"`},
		{"weight is not a number", "[run]\ndocument = d\n[stage \"s\"]\ntargets = a:x\n", `[stage "s"] targets: got "a:x"`},
		{"duration without unit", "[run]\ndocument = d\n[stage \"s\"]\nduration = 5\n", `[stage "s"] duration: got "5"`},
		{"twice", "[run]\ndocument = d\n" + stage + stage, `[stage "s"] duration: given 2 times`},
		{"too many requests", "[run]\ndocument = d\nrequests = 10\n[stage \"s\"]\nduration = 1s\nrate = 11\nprofile = chat\ntargets = a\n", `[run] requests: the stages send about 11`},
		{"run too long", "[run]\ndocument = d\n[stage \"s\"]\nstart = 6h\nduration = 1s\nrate = 1\nprofile = chat\ntargets = a\n", `ends after 6h0m1s, want 6h0m0s at most`},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := ParsePlan("p.ini", []byte(tc.text))
			require.ErrorContains(t, err, tc.want)
			assert.NotContains(t, err.Error(), "\n")
		})
	}
}

func TestPlanRejectsUnknownProfile(t *testing.T) {
	parsed, err := ParsePlan("p.ini", []byte(validPlan))
	require.NoError(t, err)
	_, err = parsed.Calls(profile.Document{})
	require.ErrorContains(t, err, `stage "steady": profile "chat" is not in document.ini`)
}
