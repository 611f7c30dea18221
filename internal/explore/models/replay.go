package models

import "github.com/chiveramp/chiveramp/internal/platform"

// replayer runs production code that makes calls, one call at a time. For each step the code
// runs again from its beginning with the replies recorded so far, and stops at the first
// call without a reply. The state of the running code is thus its list of replies, which
// can be stored and compared.
type replayer struct {
	replies    []reply
	next       int   // index of the next reply
	unanswered *call // where the code stopped
}

// call is a call to the store or to the endpoint.
type call struct {
	kind callKind
	key  string
	// writes take effect atomically.
	writes []platform.Write
}

type callKind string

const (
	callGet   callKind = "read"
	callWrite callKind = "write"
	callRun   callKind = "run"
)

// reply is the result of a call.
type reply struct {
	value   []byte
	version uint64
	err     error
}

// stopReplay is the panic value that stops the code at its first call without a reply.
type stopReplay struct{}

// replyTo returns the recorded reply to a call, or stops the code if there is none.
func (r *replayer) replyTo(c call) reply {
	if r.next == len(r.replies) {
		r.unanswered = &c
		panic(stopReplay{})
	}
	r.next++
	return r.replies[r.next-1]
}

// nextCall runs the code up to its first call without a reply, and returns this call, or
// nil if the code has returned.
func nextCall(replies []reply, code func(*replayer)) *call {
	t := &replayer{replies: replies}
	t.run(code)
	return t.unanswered
}

func (r *replayer) run(code func(*replayer)) {
	defer func() {
		if cause := recover(); cause != nil {
			if _, stopped := cause.(stopReplay); !stopped {
				panic(cause)
			}
		}
	}()
	code(r)
}
