package suspect_test

import (
	"fmt"
	"slices"
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

func parts(prompt string) []suspect.Key {
	var list []suspect.Key
	for id := range strings.FieldsSeq(prompt) {
		list = append(list, suspect.PartKey(id))
	}
	return list
}

func crashRecord(crashes []crashUnder) (*suspect.CrashRecord, func(ms int) time.Time) {
	start := time.Unix(1_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	c := suspect.NewCrashRecord(settle)
	for i, d := range crashes {
		c.Add(at(d.at), endpointCrash(i, d, at))
	}
	return c, at
}

func endpointCrash(i int, d crashUnder, at func(int) time.Time) suspect.EndpointCrash {
	e := suspect.EndpointCrash{Incarnation: fmt.Sprint(i), FailedAt: at(d.at)}
	for _, p := range d.prompts {
		e.Runs = append(e.Runs, suspect.CrashedRun{Keys: parts(p), Age: time.Duration(d.age) * time.Millisecond})
	}
	return e
}

func convicted(c *suspect.CrashRecord, now time.Time) string {
	var ids []string
	for _, v := range c.Verdicts(now) {
		if !v.Provisional {
			ids = append(ids, string(v.Key))
		}
	}
	return strings.Join(ids, " ")
}

func TestCrashRecord(t *testing.T) {
	under := func(at int, prompts ...string) crashUnder { return crashUnder{at: at, prompts: prompts, age: 50} }
	series := func(crashes ...string) []crashUnder { // one each 200 ms
		var list []crashUnder
		for i, prompts := range crashes {
			list = append(list, under(200*i, strings.Split(prompts, ", ")...))
		}
		return list
	}
	tests := []struct {
		name     string
		crashes  []crashUnder
		answered map[string]int // when answers to parts began
		want     string
	}{
		{name: "three crashes", crashes: series("f x", "f x", "f x")},
		{name: "second part, first part answered", crashes: series("f x", "f x", "f x", "f x"), answered: map[string]int{"f": 590}, want: "x"},
		{name: "second part, nothing answered", crashes: series("f x", "f x", "f x", "f x"), want: "x"},
		{name: "a shared part, four crashes", crashes: series("f a", "f b", "f c", "f d")},
		{name: "first part", crashes: series("f a", "f b", "f c", "f d", "f e"), want: "f"},
		{name: "first part, one second part four times", crashes: series("f a", "f a", "f a", "f a", "f b", "f c", "f d", "f e", "f g"), want: "f"},
		{name: "second of three parts", crashes: series("f x a", "f x b", "f x c", "f x d", "f x e"), answered: map[string]int{"f": 790}, want: "x"},
		{name: "first part also in crashes of another cause", crashes: series("f x", "f a", "f x", "f b", "f x", "f x"), want: "x"},
		{name: "beside sound requests", crashes: series("f x, f s", "f s, f x", "f x", "f s, f x", "f x, f s"), want: "x"},
		{name: "beside the same sound request each time", crashes: series("f x, g s", "f x, g s", "f x, g s", "f x, g s")},
		{name: "beside it until one tells them apart", crashes: series("f x, g s", "f x, g s", "f x, g s", "f x, g s", "f x"), want: "x"},
		{name: "beside it five times", crashes: series("x, s", "x, s", "x, s", "x, s", "x, s"), want: "x s"},
		{name: "answered last", crashes: series("f x", "f x", "f x", "f x"), answered: map[string]int{"f": 560, "x": 560}},
		{name: "answered between two crashes", crashes: series("x", "x", "x", "x"), answered: map[string]int{"x": 180}},
		{name: "endpoints that end at once", crashes: []crashUnder{under(900, "x"), under(900, "x"), under(910, "x"), under(920, "x"), under(930, "x")}},
		{name: "two parts", crashes: series("x", "y", "x", "y", "x", "y", "x", "y"), want: "y x"},
		{name: "parts in any order", crashes: series("a b, b a", "a b, b a", "a b, b a", "a b, b a", "a b, b a"), want: "a"},
		{name: "no prompts", crashes: []crashUnder{under(0), under(500), under(700), under(900)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, at := crashRecord(tt.crashes)
			for id, ms := range tt.answered {
				c.Answered(suspect.PartKey(id), at(ms))
			}
			if tt.want != "" {
				assert.NotEqual(t, tt.want, convicted(c, at(1250)), "not before the crashes have settled")
			}
			assert.Equal(t, tt.want, convicted(c, at(3000)))
		})
	}
}

// An answer that is reported late clears a part again; an older one doesn't.
func TestLateAnswerClearsAPart(t *testing.T) {
	c, at := crashRecord([]crashUnder{{at: 0, prompts: []string{"x"}}, {at: 500, prompts: []string{"x"}}, {at: 700, prompts: []string{"x"}}, {at: 900, prompts: []string{"x"}}})
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
	c, at := crashRecord(nil)
	c.Keep(at(0), suspect.Verdict{Key: "x", Crashes: 4, FailedAt: at(-5000)})
	assert.Equal(t, "x", convicted(c, at(0)))
	c.Keep(at(10), suspect.Verdict{Key: "x", Crashes: 4, FailedAt: at(-4900)})
	v, _ := c.Verdict(at(10), "x")
	assert.Equal(t, at(-5000), v.FailedAt, "the same crash, reported with a delay")
	c.Add(at(20), endpointCrash(0, crashUnder{at: 20, prompts: []string{"x"}, age: 10}, at))
	v, _ = c.Verdict(at(20), "x")
	assert.Equal(t, suspect.Verdict{Key: "x", Crashes: 5, FailedAt: at(20)}, v)
	c.Add(at(40_000), endpointCrash(1, crashUnder{at: 40_000, prompts: []string{"x"}, age: 10}, at))
	v, _ = c.Verdict(at(40_000), "x")
	assert.Equal(t, suspect.Verdict{Key: "x", Crashes: 6, FailedAt: at(40_000), Reviews: 1}, v)
	c.Answered("x", at(40_010))
	assert.Empty(t, convicted(c, at(40_010)))
	assert.Equal(t, map[suspect.Key]time.Time{"x": at(40_010)}, c.Answers(nil, at(39_000)), "others must hear of it")
	c.Keep(at(40_020), suspect.Verdict{Key: "x", Crashes: 6, FailedAt: at(40_000)})
	assert.Empty(t, convicted(c, at(40_020)), "answered since")
	assert.Empty(t, c.Answers(nil, at(50_000)))

	c, at = crashRecord([]crashUnder{{at: 0, prompts: []string{"x"}}})
	c.Keep(at(10), suspect.Verdict{Key: "x", Crashes: 3, FailedAt: at(0)})
	assert.Empty(t, convicted(c, at(3000)), "one crash doesn't convict it here")
}

// The verdict on a part outlasts its crashes, which make room for others, and ends some time after
// the last one.
func TestCrashRecordAreBounded(t *testing.T) {
	c, at := crashRecord([]crashUnder{{at: 0, prompts: []string{"x"}}, {at: 500, prompts: []string{"x"}}, {at: 700, prompts: []string{"x"}}, {at: 900, prompts: []string{"x"}}})
	assert.Equal(t, "x", convicted(c, at(2000)))
	for i := range 1000 {
		c.Add(at(2000+i), endpointCrash(10+i, crashUnder{at: 2000 + i, prompts: []string{fmt.Sprint("p", i)}}, at))
		c.Answered(suspect.PartKey(fmt.Sprint("q", i)), at(2000+i))
	}
	assert.Len(t, c.Since(at(0)), 128)
	assert.Equal(t, "x", convicted(c, at(5000)))
	assert.Equal(t, "x", convicted(c, at(0).Add(20*time.Minute)))
	assert.Empty(t, convicted(c, at(0).Add(31*time.Minute)))
	assert.Empty(t, c.Since(at(0)))
	for i := range 1000 {
		c.Keep(at(i), suspect.Verdict{Key: suspect.PartKey(fmt.Sprint("r", i)), FailedAt: at(i)})
	}
	assert.Len(t, c.Verdicts(at(1000)), 64)
	assert.LessOrEqual(t, len(suspect.PartKey(strings.Repeat("f", 5000))), 32)
}

// A whole request is convicted after three crashes at two moments: at least one was sent the request
// after another had crashed. Those whose answers had begun must have come in sequence.
func TestCrashesUnderARequest(t *testing.T) {
	type crash struct {
		endpoint     string
		sent, failed int
	}
	tests := []struct {
		name     string
		crashes  []crash
		begun    bool
		answered int // answered at that time, 0 if not
		missing  int // how many more crashes in sequence it takes to convict it
		// provisional is set if the given crashes lead to a provisional verdict.
		provisional bool
	}{
		{name: "crashes in sequence", crashes: []crash{{"a", 0, 5}, {"b", 6, 9}, {"c", 40, 44}}},
		{name: "in sequence, answers begun", crashes: []crash{{"a", 0, 5}, {"b", 6, 9}, {"c", 40, 44}}, begun: true},
		{name: "reported in another order", crashes: []crash{{"c", 40, 44}, {"a", 0, 5}, {"b", 6, 9}}},
		{name: "equal requests as endpoints crash at once", crashes: []crash{{"a", 0, 50}, {"b", 10, 50}, {"c", 20, 52}, {"d", 30, 51}}, missing: 1, provisional: true},
		{name: "at once, answers begun", crashes: []crash{{"a", 0, 50}, {"b", 10, 50}, {"c", 20, 52}, {"d", 30, 51}}, begun: true, missing: 2},
		{name: "two at once", crashes: []crash{{"a", 0, 50}, {"b", 10, 50}}, missing: 1},
		{name: "twice two at once", crashes: []crash{{"a", 0, 50}, {"b", 10, 50}, {"c", 60, 90}, {"d", 55, 91}}},
		{name: "twice two at once, answers begun", crashes: []crash{{"a", 0, 50}, {"b", 10, 50}, {"c", 60, 90}, {"d", 55, 91}}, begun: true, missing: 1},
		{name: "the same crash reported twice", crashes: []crash{{"a", 0, 5}, {"a", 6, 9}}, missing: 2},
		{name: "two copies at one endpoint", crashes: []crash{{"a", 0, 5}, {"b", 1, 20}, {"b", 6, 20}}, begun: true, missing: 1},
		{name: "answered after all crashes", crashes: []crash{{"a", 0, 5}, {"b", 6, 9}, {"c", 40, 44}}, answered: 50, missing: 3},
		{name: "answered between two crashes", crashes: []crash{{"a", 1, 5}, {"b", 6, 9}, {"c", 40, 44}}, answered: 20, missing: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, at := crashRecord(nil)
			add := func(d crash) {
				run := suspect.CrashedRun{Keys: []suspect.Key{suspect.RequestKey(7)}, Age: time.Duration(d.failed-d.sent) * time.Millisecond, Begun: tt.begun}
				c.Add(at(100), suspect.EndpointCrash{Incarnation: d.endpoint, FailedAt: at(d.failed), Runs: []suspect.CrashedRun{run}})
			}
			for _, d := range tt.crashes {
				add(d)
			}
			if tt.answered != 0 {
				c.Answered(suspect.RequestKey(7), at(tt.answered))
			}
			v, _ := c.Verdict(at(200).Add(settle), suspect.RequestKey(7))
			assert.Equal(t, tt.provisional, v.Provisional)
			further := 0
			for ; convicted(c, at(200).Add(settle)) == ""; further++ {
				add(crash{fmt.Sprint("further", further), 100 + 2*further, 101 + 2*further})
			}
			assert.Equal(t, tt.missing, further)
			assert.Equal(t, suspect.RequestKey(7), suspect.Key(convicted(c, at(200).Add(settle))), "no other")
			assert.NotEmpty(t, convicted(c, at(0).Add(suspect.DefaultExpiry)))
			assert.Empty(t, convicted(c, at(200).Add(suspect.DefaultExpiry)), "expired")
		})
	}
}

// Crashes count for whole requests as long as a verdict holds, however slowly the request comes
// again, and what is kept of them is bounded.
func TestCrashesUnderRequestsAreBounded(t *testing.T) {
	c, at := crashRecord(nil)
	crash := func(ms, n int, requests ...int) {
		d := suspect.EndpointCrash{Incarnation: fmt.Sprint("e", n), FailedAt: at(ms)}
		for _, r := range requests {
			d.Runs = append(d.Runs, suspect.CrashedRun{Keys: []suspect.Key{suspect.RequestKey(suspect.Fingerprint(r))}})
		}
		c.Add(at(ms), d)
	}
	minute := int(time.Minute / time.Millisecond)
	for n := range 3 {
		crash(14*minute*n, n, 7)
	}
	assert.Equal(t, suspect.RequestKey(7), suspect.Key(convicted(c, at(28*minute+1000))))
	var many []int
	for r := range 1000 {
		many = append(many, 100+r)
	}
	for n := range 200 {
		crash(28*minute+n, 10+n, many...)
	}
	recent := c.Since(at(0))
	assert.Len(t, recent, 128)
	assert.Len(t, recent[0].Runs, 64)
	_, found := c.Verdict(at(28*minute+200), suspect.RequestKey(7))
	assert.True(t, found, "the verdict outlasts its crashes")
	for r := range 10_000 {
		c.Answered(suspect.RequestKey(suspect.Fingerprint(20_000+r)), at(28*minute+r))
	}
	c.Answered(suspect.RequestKey(7), at(29*minute))
	_, found = c.Verdict(at(29*minute), suspect.RequestKey(7))
	assert.False(t, found)
}

// Requests that were in flight beside the one that crashes endpoints are not convicted with it. As
// long as nothing tells them apart the verdicts are provisional.
func TestRequestsBesideACrashingOne(t *testing.T) {
	tests := []struct {
		name        string
		crashes     []string // the requests in flight at each
		want        string
		provisional string
	}{
		{name: "beside it at most crashes", crashes: []string{"1 2", "1 2", "1", "1 2"}, want: "1"},
		{name: "beside it at each of three", crashes: []string{"1 2", "1 2", "1 2"}, provisional: "1 2"},
		{name: "until one tells them apart", crashes: []string{"1 2", "1 2", "1 2", "1"}, want: "1"},
		{name: "beside it at each of four", crashes: []string{"1 2", "1 2", "1 2", "1 2"}, provisional: "1 2"},
		{name: "beside it at each of seven", crashes: []string{"1 2", "1 2", "1 2", "1 2", "1 2", "1 2", "1 2"}, provisional: "1 2"},
		{name: "until the fifth tells them apart", crashes: []string{"1 2", "1 2", "1 2", "1 2", "1"}, want: "1"},
		{name: "two of them", crashes: []string{"1 3", "2", "1", "2", "1", "2", "1"}, want: "1 2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, at := crashRecord(nil)
			for i, requests := range tt.crashes {
				d := suspect.EndpointCrash{Incarnation: fmt.Sprint(i), FailedAt: at(100 * i)}
				for _, key := range parts(requests) {
					d.Runs = append(d.Runs, suspect.CrashedRun{Keys: []suspect.Key{"request " + key}, Age: 50 * time.Millisecond})
				}
				c.Add(at(100*i), d)
			}
			var final, provisional []string
			for _, v := range c.Verdicts(at(2000)) {
				key := strings.TrimPrefix(string(v.Key), "request ")
				if v.Provisional {
					provisional = append(provisional, key)
				} else {
					final = append(final, key)
				}
			}
			slices.Sort(final)
			slices.Sort(provisional)
			assert.Equal(t, tt.want, strings.Join(final, " "))
			assert.Equal(t, tt.provisional, strings.Join(provisional, " "))
		})
	}
}

// A request that others accompany has been answered before, so that it is sound at most endpoints: it takes
// twice as many crashes to convict it as one that was never answered, or that was in flight alone.
func TestRequestAnsweredBeforeNeedsMoreCrashes(t *testing.T) {
	for _, tt := range []struct {
		name            string
		answered, alone bool
		want            int
	}{
		{name: "never answered", want: 3},
		{name: "answered before", answered: true, want: 6},
		{name: "answered before, alone", answered: true, alone: true, want: 3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c, at := crashRecord(nil)
			if tt.answered {
				c.Answered("request 1", at(-1000))
			}
			crashes := 0
			for ; crashes < 10 && convicted(c, at(400*crashes).Add(settle)) == ""; crashes++ {
				d := suspect.EndpointCrash{Incarnation: fmt.Sprint(crashes), FailedAt: at(400 * crashes)}
				d.Runs = append(d.Runs, suspect.CrashedRun{Keys: []suspect.Key{"request 1"}, Age: 50 * time.Millisecond})
				if !tt.alone {
					other := suspect.Key(fmt.Sprint("request other", crashes))
					d.Runs = append(d.Runs, suspect.CrashedRun{Keys: []suspect.Key{other}, Age: 50 * time.Millisecond})
				}
				c.Add(at(400*crashes), d)
			}
			assert.Equal(t, tt.want, crashes)
		})
	}
}

// Crashes far apart are no reviews as long as they don't convict the request.
func TestCrashesBeforeTheVerdictAreNoReviews(t *testing.T) {
	c, at := crashRecord(nil)
	c.Answered("request 1", at(-1000))
	for n := range 6 {
		d := suspect.EndpointCrash{Incarnation: fmt.Sprint(n), FailedAt: at(10_000 * n)}
		for _, key := range []suspect.Key{"request 1", suspect.Key(fmt.Sprint("request other", n))} {
			d.Runs = append(d.Runs, suspect.CrashedRun{Keys: []suspect.Key{key}, Age: 50 * time.Millisecond})
		}
		c.Add(at(10_000*n), d)
	}
	v, ok := c.Verdict(at(51_000), "request 1")
	assert.True(t, ok)
	assert.Equal(t, 6, v.Crashes)
	assert.Zero(t, v.Reviews)
}

// Only the crash of a request that was sent after its verdict had reached all instances proves it.
func TestReviewsAreOfRequestsSentAfterTheVerdict(t *testing.T) {
	for _, tt := range []struct {
		name             string
		crashes, at, age int // in milliseconds
		want             int
	}{
		{name: "sent after it", crashes: 3, at: 10_000, age: 100, want: 1},
		{name: "sent before it", crashes: 3, at: 10_000, age: 9_500},
		{name: "sent by an instance without it", crashes: 3, at: 3_000, age: 100},
		{name: "before there was one", crashes: 2, at: 10_000, age: 100},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c, at := crashRecord(nil)
			crash := func(n, failed, age int) {
				run := suspect.CrashedRun{Keys: []suspect.Key{"request 1"}, Age: time.Duration(age) * time.Millisecond}
				c.Add(at(failed), suspect.EndpointCrash{Incarnation: fmt.Sprint(n), FailedAt: at(failed), Runs: []suspect.CrashedRun{run}})
			}
			for n := range tt.crashes {
				crash(n, 200*n, 50)
			}
			crash(9, tt.at, tt.age)
			v, _ := c.Verdict(at(20_000), "request 1")
			assert.Equal(t, tt.crashes+1, v.Crashes)
			assert.Equal(t, tt.want, v.Reviews)
		})
	}
}
