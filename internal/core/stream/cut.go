package stream

import "time"

// Loss says what was lost when an attempt was interrupted.
type Loss string

// The kinds of loss.
const (
	// LossConnection: the connection closed without the end marker.
	LossConnection Loss = "connection"
	// LossAttempt: the endpoint has no record of the attempt, or has ended it.
	LossAttempt Loss = "attempt"
	// LossEndpoint: the endpoint has crashed or is unreachable.
	LossEndpoint Loss = "endpoint"
	// LossUnsent: no byte of the attempt was sent.
	LossUnsent Loss = "unsent"
)

// Step is the next action after an interruption.
type Step string

// The steps after an interruption.
const (
	// StepNone: no action; the attempt is no longer the current one or the answer has ended.
	StepNone Step = "none"
	// StepResume: reconnect to the same attempt and request the pieces that follow.
	StepResume Step = "resume"
	// StepRestart: run the request from scratch at another endpoint.
	StepRestart Step = "restart"
	// StepContinue: run at another endpoint, which continues after the text already sent.
	StepContinue Step = "continue"
	// StepFail: report to the caller that the answer is incomplete.
	StepFail Step = "fail"
)

// Decision is a Step with its parameters.
type Decision struct {
	Step Step
	// After is the number of pieces of the attempt that StepResume need not repeat.
	After uint64
	// Text and Tokens are the answer's text so far and its length in tokens,
	// for StepContinue.
	Text   string
	Tokens int
	// Reason is set with StepFail.
	Reason Reason
}

// Reason says why an answer could not be completed.
type Reason string

// The reasons.
const (
	ReasonOnce     Reason = "may run once only"
	ReasonAttempts Reason = "too many attempts"
	ReasonText     Reason = "the text so far is not at hand"
)

// Interrupted decides what to do after an attempt was interrupted. It does nothing unless
// the attempt is the current one and the answer is still open.
func (a *Assembly) Interrupted(now time.Time, attempt string, loss Loss) Decision {
	if a.state != StateOpen || attempt != a.attempt {
		return Decision{Step: StepNone}
	}
	if a.disabled.endMarker {
		a.state = StateComplete
		return Decision{Step: StepNone}
	}
	if loss == LossConnection && a.resumes < a.maxResumes {
		a.resumes++
		return Decision{Step: StepResume, After: a.nextOffset}
	}
	return a.decideAfterLoss(now, loss)
}

// decideAfterLoss decides what to do when the current attempt cannot be resumed.
func (a *Assembly) decideAfterLoss(now time.Time, loss Loss) Decision {
	if a.runOnce && loss != LossUnsent {
		return a.fail(ReasonOnce)
	}
	if a.attempts >= a.maxAttempts {
		return a.fail(ReasonAttempts)
	}
	if a.passedCount == 0 && !a.adopted {
		return Decision{Step: StepRestart}
	}
	text, tokens, ok := a.passedText(now)
	if !ok {
		return a.fail(ReasonText)
	}
	return Decision{Step: StepContinue, Text: text, Tokens: tokens}
}

func (a *Assembly) fail(reason Reason) Decision {
	a.state = StateFailed
	return Decision{Step: StepFail, Reason: reason}
}

// passedText returns the text passed on so far, if all of it is still retained.
func (a *Assembly) passedText(now time.Time) (text string, tokens int, ok bool) {
	if a.adopted || a.replay.startDropped(now) {
		return "", 0, false
	}
	return chatText(a.replay.piecesFrom(0))
}
