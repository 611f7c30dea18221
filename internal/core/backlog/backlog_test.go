package backlog_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/backlog"
)

const ms = time.Millisecond

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// The load of requests to an endpoint whose owner has reported some time ago.
func TestAhead(t *testing.T) {
	work := backlog.Work{100 * ms, 200 * ms, 300 * ms}
	tests := []struct {
		name   string
		record func(b *backlog.Table)
		now    time.Duration
		level  int
		want   time.Duration
		age    time.Duration
	}{
		{name: "just reported", record: func(b *backlog.Table) { b.Record("p", backlog.Report{Work: work, At: at(0)}) }, want: 100 * ms},
		{
			name: "the endpoint has worked since", record: func(b *backlog.Table) { b.Record("p", backlog.Report{Work: work, At: at(0)}) },
			now: 200 * ms, level: 2, want: 100 * ms, age: 200 * ms,
		},
		{
			name: "less urgent ranks count as the last", record: func(b *backlog.Table) { b.Record("p", backlog.Report{Work: work, At: at(0)}) },
			level: 7, want: 300 * ms,
		},
		{name: "what was sent since", record: func(b *backlog.Table) {
			b.Record("p", backlog.Report{Work: work, At: at(0)})
			b.Send(at(10*ms), "p", 0, 50*ms)
			b.Send(at(20*ms), "p", 1, 70*ms)
		}, now: 50 * ms, want: 100 * ms, age: 50 * ms},
		{name: "what was sent to an idle endpoint", record: func(b *backlog.Table) {
			b.Record("p", backlog.Report{Work: work, At: at(0)})
			b.Send(at(400*ms), "p", 0, 50*ms)
		}, now: 410 * ms, level: 1, want: 40 * ms, age: 410 * ms},
		{name: "a report that includes it", record: func(b *backlog.Table) {
			b.Send(at(0), "p", 0, 50*ms)
			b.Send(at(20*ms), "p", 0, 30*ms)
			b.Record("p", backlog.Report{Work: work, At: at(10 * ms), Sent: at(0)})
		}, now: 20 * ms, want: 120 * ms, age: 10 * ms},
		{name: "an older report arrives later", record: func(b *backlog.Table) {
			b.Record("p", backlog.Report{Work: work, At: at(10 * ms)})
			b.Record("p", backlog.Report{At: at(0)})
		}, now: 10 * ms, want: 100 * ms},
		{name: "the owner doesn't list it any more", record: func(b *backlog.Table) {
			b.Record("p", backlog.Report{Work: work, At: at(0)})
			b.RecordOwner("o", at(0))
			b.RecordOwner("o", at(10*ms))
		}, now: 20 * ms, age: 10 * ms},
		{name: "another instance owns it now", record: func(b *backlog.Table) {
			b.Record("p", backlog.Report{Work: work, At: at(0)})
			b.RecordOwner("former", at(0))
			b.RecordOwner("o", at(5*ms))
		}, now: 10 * ms, age: 5 * ms},
		{name: "an owner without work", record: func(b *backlog.Table) { b.RecordOwner("o", at(0)) }, now: 10 * ms, age: 10 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := backlog.NewTable()
			tt.record(b)
			ahead, age, ok := b.Ahead(at(tt.now), "p", "o", tt.level)
			assert.True(t, ok)
			assert.Equal(t, tt.want, ahead)
			assert.Equal(t, tt.age, age)
			b.Expire(at(time.Minute))
			_, _, ok = b.Ahead(at(time.Minute), "p", "o", tt.level)
			assert.False(t, ok, "too old to tell anything")
		})
	}
}

// The load of an endpoint that turns slow and recovers.
func TestSlownessIsForgotten(t *testing.T) {
	b := backlog.NewTable()
	assert.InDelta(t, 1, b.Slowness(at(0), "p", "o"), 0)
	b.Record("p", backlog.Report{At: at(0), Slowness: 3})
	b.RecordOwner("o", at(0))
	assert.InDelta(t, 3, b.Slowness(at(time.Second), "p", "o"), 0)
	assert.InDelta(t, 2, b.Slowness(at(3*time.Second), "p", "o"), 0.01)
	assert.InDelta(t, 1, b.Slowness(at(5*time.Second), "p", "o"), 0)
	b.RecordOwner("o", at(time.Second))
	assert.InDelta(t, 1, b.Slowness(at(time.Second), "p", "o"), 0, "the owner doesn't list it any more")
}
