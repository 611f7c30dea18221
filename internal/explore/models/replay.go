package models

import "github.com/chiveramp/chiveramp/internal/platform"

// replayer runs real code that calls out, one call at a time. The code is run again from its
// beginning with the replies that it has had so far, and stops at the first call that has
// none. So a state of running code is the list of replies, which can be kept and compared.
type replayer struct {
	replies    []reply
	next       int
	unanswered *call
}

// call is what the code asks of the world.
type call struct {
	kind callKind
	key  string
	// writes all take effect or none.
	writes []platform.Write
}

type callKind string

const (
	callGet   callKind = "read"
	callWrite callKind = "write"
	callRun   callKind = "run"
)

// reply is what the world answered.
type reply struct {
	value   []byte
	version uint64
	err     error
}

// stopReplay is what a tape panics with at its end.
type stopReplay struct{}

// replyTo returns the recorded reply to a call, or stops the code.
func (t *replayer) replyTo(c call) reply {
	if t.next == len(t.replies) {
		t.unanswered = &c
		panic(stopReplay{})
	}
	t.next++
	return t.replies[t.next-1]
}

// nextCall runs the code up to its first call without a reply, nil when it has ended.
func nextCall(replies []reply, code func(*replayer)) *call {
	t := &replayer{replies: replies}
	t.run(code)
	return t.unanswered
}

func (t *replayer) run(code func(*replayer)) {
	defer func() {
		if cause := recover(); cause != nil {
			if _, stopped := cause.(stopReplay); !stopped {
				panic(cause)
			}
		}
	}()
	code(t)
}
