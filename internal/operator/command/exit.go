package command

import (
	"errors"
	"fmt"

	"github.com/chiveramp/chiveramp/internal/inifile"
	"github.com/chiveramp/chiveramp/internal/operator"
)

// ExitCode is the exit code of the process.
type ExitCode int

// The exit codes, as listed in the help text.
const (
	ExitOK          ExitCode = 0
	ExitRefused     ExitCode = 1
	ExitBadInput    ExitCode = 2
	ExitUnreachable ExitCode = 3
	ExitNotInForce  ExitCode = 4
)

var (
	errBadInput   = errors.New("bad input")
	errNotInForce = errors.New("not yet in force everywhere")
)

func badInput(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errBadInput, fmt.Sprintf(format, args...))
}

func exitCode(err error) ExitCode {
	var iniErr *inifile.Error
	callErr, isCallErr := operator.AsCallError(err)
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errNotInForce):
		return ExitNotInForce
	case errors.Is(err, errBadInput), errors.As(err, &iniErr):
		return ExitBadInput
	case errors.Is(err, operator.ErrUnreachable), errors.Is(err, operator.ErrUncertain):
		return ExitUnreachable
	case isCallErr && (callErr.Code == operator.CodeInvalid || callErr.Code == operator.CodeTooLarge):
		return ExitBadInput
	default:
		return ExitRefused
	}
}

// errorWithHint formats an error, with advice on what to do next where there is any.
func errorWithHint(err error) string {
	var conflict *operator.ConflictError
	callErr, isCallErr := operator.AsCallError(err)
	switch {
	case errors.As(err, &conflict):
		return fmt.Sprintf("%v; nothing was changed: look at it with diff, then apply again", conflict)
	case errors.Is(err, operator.ErrUncertain):
		return fmt.Sprintf("%v; the change may have taken effect: look with get", err)
	case isCallErr && callErr.Code == operator.CodeDenied:
		return fmt.Sprintf("%v; give the token of [operator] with --token", err)
	default:
		return err.Error()
	}
}
