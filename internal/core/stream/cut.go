package stream

import "time"

// Loss says what is known of a cut attempt's endpoint.
type Loss string

// The kinds of loss.
const (
	// LossConnection: the connection closed without the end marker.
	LossConnection Loss = "connection"
	// LossAttempt: the endpoint no longer knows the attempt, or ended it.
	LossAttempt Loss = "attempt"
	// LossEndpoint: the endpoint is dead or out of reach.
	LossEndpoint Loss = "endpoint"
	// LossUnsent: no byte of the attempt was sent.
	LossUnsent Loss = "unsent"
)

// Step says how to go on after a cut.
type Step string

// The steps after a cut.
const (
	// StepNone: the cut concerns an attempt that no longer counts.
	StepNone Step = "none"
	// StepResume: ask the same endpoint for what follows.
	StepResume Step = "resume"
	// StepRestart: run the request anew at another endpoint.
	StepRestart Step = "restart"
	// StepContinue: run on at another endpoint from the text already sent.
	StepContinue Step = "continue"
	// StepFail: tell the caller that the answer is not whole.
	StepFail Step = "fail"
)

// Decision is how to go on after a cut.
type Decision struct {
	Step Step
	// After is the number of pieces that StepResume has already.
	After uint64
	// Text and Tokens are the answer's text so far and its length in tokens,
	// with which StepContinue goes on.
	Text   string
	Tokens int
	// Reason says why the answer failed.
	Reason Reason
}

// Reason says why an answer could not be made whole.
type Reason string

// The reasons.
const (
	ReasonOnce     Reason = "may run once only"
	ReasonAttempts Reason = "too many attempts"
	ReasonText     Reason = "the text so far is not at hand"
)

// Cut decides how to go on after an attempt was cut.
func (a *Assembly) Cut(now time.Time, attempt string, loss Loss) Decision {
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

// decideAfterLoss decides when the present attempt is lost for good.
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

// passedText returns the text passed on so far, if all of it is still kept.
func (a *Assembly) passedText(now time.Time) (text string, tokens int, ok bool) {
	if a.adopted || a.replay.startDropped(now) {
		return "", 0, false
	}
	return chatText(a.replay.piecesFrom(0))
}
