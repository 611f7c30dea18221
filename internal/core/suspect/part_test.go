package suspect_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/suspect"
)

const settle = time.Second

// crashUnder is a crash at a time in milliseconds, under prompts such as "a b" that were sent some
// time before it.
type crashUnder struct {
	at      int
	prompts []string
	age     int
}

func parts(prompt string) []suspect.Part {
	var list []suspect.Part
	for id := range strings.FieldsSeq(prompt) {
		list = append(list, suspect.NewPart(id))
	}
	return list
}

func partCrashes(crashes []crashUnder) (*suspect.PartCrashes, func(ms int) time.Time) {
	start := time.Unix(1_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	c := suspect.NewPartCrashes(settle)
	for i, d := range crashes {
		c.Add(at(d.at), endpointCrash(i, d, at))
	}
	return c, at
}

func endpointCrash(i int, d crashUnder, at func(int) time.Time) suspect.EndpointCrash {
	e := suspect.EndpointCrash{Incarnation: fmt.Sprint(i), FailedAt: at(d.at)}
	for _, p := range d.prompts {
		e.Prompts = append(e.Prompts, suspect.Prompt{Parts: parts(p), Age: time.Duration(d.age) * time.Millisecond})
	}
	return e
}

func convicted(c *suspect.PartCrashes, now time.Time) string {
	var ids []string
	for _, v := range c.Verdicts(now) {
		ids = append(ids, string(v.Part))
	}
	return strings.Join(ids, " ")
}

func TestPartCrashes(t *testing.T) {
	under := func(at int, prompts ...string) crashUnder { return crashUnder{at: at, prompts: prompts, age: 50} }
	tests := []struct {
		name     string
		crashes  []crashUnder
		answered map[string]int // when answers to parts began
		want     string
	}{
		{name: "two crashes", crashes: []crashUnder{under(0, "f x"), under(500, "f x")}},
		{name: "second part, first part answered", crashes: []crashUnder{under(0, "f x"), under(500, "f x"), under(900, "f x")}, answered: map[string]int{"f": 890}, want: "x"},
		{name: "second part, nothing answered", crashes: []crashUnder{under(0, "f x"), under(500, "f x"), under(900, "f x")}, want: "x"},
		{name: "first part", crashes: []crashUnder{under(0, "f a"), under(500, "f b"), under(900, "f c")}, want: "f"},
		{name: "first part, one second part thrice", crashes: []crashUnder{under(0, "f a"), under(200, "f a"), under(400, "f a"), under(500, "f b"), under(700, "f c"), under(900, "f d")}, want: "f"},
		{name: "second of three parts", crashes: []crashUnder{under(0, "f x a"), under(500, "f x b"), under(900, "f x c")}, answered: map[string]int{"f": 890}, want: "x"},
		{name: "first part also in crashes of another cause", crashes: []crashUnder{under(0, "f x"), under(300, "f a"), under(500, "f x"), under(700, "f b"), under(900, "f x")}, want: "x"},
		{name: "beside sound requests", crashes: []crashUnder{under(0, "f x", "f s"), under(500, "f s", "f x"), under(700, "f x"), under(900, "f s", "f x")}, want: "x"},
		{name: "beside the same sound request each time", crashes: []crashUnder{under(0, "f x", "g s"), under(500, "f x", "g s"), under(900, "f x", "g s")}},
		{name: "beside it until one tells them apart", crashes: []crashUnder{under(0, "f x", "g s"), under(300, "f x", "g s"), under(600, "f x", "g s"), under(900, "f x")}, want: "x"},
		{name: "beside it five times", crashes: []crashUnder{under(0, "x", "s"), under(200, "x", "s"), under(400, "x", "s"), under(600, "x", "s"), under(800, "x", "s")}, want: "x s"},
		{name: "answered last", crashes: []crashUnder{under(0, "f x"), under(500, "f x"), under(900, "f x")}, answered: map[string]int{"f": 860, "x": 860}},
		{name: "answered between two crashes", crashes: []crashUnder{under(0, "x"), under(500, "x"), under(900, "x")}, answered: map[string]int{"x": 480}},
		{name: "endpoints that end at once", crashes: []crashUnder{under(900, "x"), under(900, "x"), under(910, "x"), under(920, "x"), under(930, "x")}},
		{name: "two parts", crashes: []crashUnder{under(0, "x"), under(100, "y"), under(300, "x"), under(400, "y"), under(800, "x"), under(900, "y")}, want: "y x"},
		{name: "parts in any order", crashes: []crashUnder{under(0, "a b", "b a"), under(400, "a b", "b a"), under(900, "a b", "b a")}, want: "a"},
		{name: "no prompts", crashes: []crashUnder{under(0), under(500), under(900)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, at := partCrashes(tt.crashes)
			for id, ms := range tt.answered {
				c.Answered(suspect.NewPart(id), at(ms))
			}
			if tt.want != "" {
				assert.NotEqual(t, tt.want, convicted(c, at(1250)), "not before the last crashes have settled")
			}
			assert.Equal(t, tt.want, convicted(c, at(2000)))
		})
	}
}

// An answer that is reported late clears a part again; an older one doesn't.
func TestLateAnswerClearsAPart(t *testing.T) {
	c, at := partCrashes([]crashUnder{{at: 0, prompts: []string{"x"}}, {at: 500, prompts: []string{"x"}}, {at: 900, prompts: []string{"x"}}})
	_, found := c.Verdict(at(2000), "x")
	assert.True(t, found)
	c.Answered("x", at(-100))
	_, found = c.Verdict(at(2000), "x")
	assert.True(t, found)
	c.Answered("x", at(901))
	_, found = c.Verdict(at(2000), "x")
	assert.False(t, found)
}

// An instance that has just started takes over the verdicts of others, and goes by what it knows
// itself of the crashes where it does.
func TestVerdictsOfOthers(t *testing.T) {
	c, at := partCrashes(nil)
	c.Keep(at(0), suspect.Verdict{Part: "x", Crashes: 4, FailedAt: at(-5000)})
	assert.Equal(t, "x", convicted(c, at(0)))
	c.Keep(at(10), suspect.Verdict{Part: "x", Crashes: 4, FailedAt: at(-4900)})
	v, _ := c.Verdict(at(10), "x")
	assert.Equal(t, at(-5000), v.FailedAt, "the same crash, reported with a delay")
	c.Add(at(20), endpointCrash(0, crashUnder{at: 20, prompts: []string{"x"}, age: 10}, at))
	v, _ = c.Verdict(at(20), "x")
	assert.Equal(t, suspect.Verdict{Part: "x", Crashes: 5, FailedAt: at(20)}, v)
	c.Answered("x", at(30))
	assert.Empty(t, convicted(c, at(30)))
	c.Keep(at(40), suspect.Verdict{Part: "x", Crashes: 5, FailedAt: at(20)})
	assert.Empty(t, convicted(c, at(40)), "answered since")

	c, at = partCrashes([]crashUnder{{at: 0, prompts: []string{"x"}}})
	c.Keep(at(10), suspect.Verdict{Part: "x", Crashes: 3, FailedAt: at(0)})
	assert.Empty(t, convicted(c, at(3000)), "one crash doesn't convict it here")
}

// The verdict on a part outlasts its crashes, which make room for others, and ends some time after
// the last one.
func TestPartCrashesAreBounded(t *testing.T) {
	c, at := partCrashes([]crashUnder{{at: 0, prompts: []string{"x"}}, {at: 500, prompts: []string{"x"}}, {at: 900, prompts: []string{"x"}}})
	assert.Equal(t, "x", convicted(c, at(2000)))
	for i := range 1000 {
		c.Add(at(2000+i), endpointCrash(10+i, crashUnder{at: 2000 + i, prompts: []string{fmt.Sprint("p", i)}}, at))
		c.Answered(suspect.NewPart(fmt.Sprint("q", i)), at(2000+i))
	}
	assert.Len(t, c.Since(at(0)), 128)
	assert.Equal(t, "x", convicted(c, at(5000)))
	assert.Equal(t, "x", convicted(c, at(0).Add(20*time.Minute)))
	assert.Empty(t, convicted(c, at(0).Add(31*time.Minute)))
	assert.Empty(t, c.Since(at(0)))
	for i := range 1000 {
		c.Keep(at(i), suspect.Verdict{Part: suspect.NewPart(fmt.Sprint("r", i)), FailedAt: at(i)})
	}
	assert.Len(t, c.Verdicts(at(1000)), 64)
	assert.LessOrEqual(t, len(suspect.NewPart(strings.Repeat("f", 5000))), 32)
}
