package command

import (
	"errors"
	"fmt"

	"github.com/chiveramp/chiveramp/internal/inifile"
	"github.com/chiveramp/chiveramp/internal/operator"
)

// ExitCode is the exit code of the process.
type ExitCode int

// The exit codes.
const (
	ExitOK          ExitCode = 0
	ExitRefused     ExitCode = 1
	ExitBadInput    ExitCode = 2
	ExitUnreachable ExitCode = 3
	ExitNotYet      ExitCode = 4
)

var (
	errBadInput = errors.New("bad input")
	errNotYet   = errors.New("not yet in force everywhere")
)

func badInput(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errBadInput, fmt.Sprintf(format, args...))
}

func exitCode(err error) ExitCode {
	var fault *inifile.Error
	call, isCall := operator.AsCallError(err)
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errNotYet):
		return ExitNotYet
	case errors.Is(err, errBadInput), errors.As(err, &fault):
		return ExitBadInput
	case errors.Is(err, operator.ErrUnreachable), errors.Is(err, operator.ErrUncertain):
		return ExitUnreachable
	case isCall && (call.Code == operator.CodeInvalid || call.Code == operator.CodeTooLarge):
		return ExitBadInput
	default:
		return ExitRefused
	}
}

// explainError adds to an error what the operator can do.
func explainError(err error) string {
	var conflict *operator.ConflictError
	call, isCall := operator.AsCallError(err)
	switch {
	case errors.As(err, &conflict):
		return fmt.Sprintf("%v; nothing was changed: look at it with diff, then apply again", conflict)
	case errors.Is(err, operator.ErrUncertain):
		return fmt.Sprintf("%v; the change may have taken effect: look with get", err)
	case isCall && call.Code == operator.CodeDenied:
		return fmt.Sprintf("%v; give the token of [operator] with --token", err)
	default:
		return err.Error()
	}
}
