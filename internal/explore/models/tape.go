package models

import "github.com/chiveramp/chiveramp/internal/platform"

// tape runs real code that calls out, one call at a time. The code is run again from its
// beginning with the replies that it has had so far, and stops at the first call that has
// none. So a state of running code is the list of replies, which can be kept and compared.
type tape struct {
	replies []reply
	next    int
	waiting *call
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

// stopped is what a tape panics with at its end.
type stopped struct{}

// ask returns the recorded reply to a call, or stops the code.
func (t *tape) ask(c call) reply {
	if t.next == len(t.replies) {
		t.waiting = &c
		panic(stopped{})
	}
	t.next++
	return t.replies[t.next-1]
}

// pending runs the code up to its first call without a reply, nil when it has ended.
func pending(replies []reply, code func(*tape)) *call {
	t := &tape{replies: replies}
	t.run(code)
	return t.waiting
}

func (t *tape) run(code func(*tape)) {
	defer func() {
		if end := recover(); end != nil {
			if _, ours := end.(stopped); !ours {
				panic(end)
			}
		}
	}()
	code(t)
}
