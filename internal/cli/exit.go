package cli

import (
	"errors"

	"connectrpc.com/connect"

	"turmericyoke/internal/fault"
)

// ExitCode is the exit status of the command line. Scripts can rely on the numbers.
type ExitCode int

// Exit statuses.
const (
	// ExitOK means that the command did what was asked.
	ExitOK ExitCode = 0
	// ExitError is any error without a status of its own.
	ExitError ExitCode = 1
	// ExitUsage means that the arguments are wrong.
	ExitUsage ExitCode = 2
	// ExitDifferent means that diff found changes.
	ExitDifferent ExitCode = 3
	// ExitRejected means that a document or proposal broke a rule.
	ExitRejected ExitCode = 4
	// ExitConflict means that the configuration changed meanwhile.
	ExitConflict ExitCode = 5
	// ExitUnavailable means that no controller or no log answered.
	ExitUnavailable ExitCode = 6
	// ExitUnsettled means that a change may or may not have taken effect.
	ExitUnsettled ExitCode = 7
)

// errDifferent makes diff exit with ExitDifferent.
var errDifferent = errors.New("documents differ")

// usageError is an error in the arguments.
type usageError struct{ cause error }

func (e usageError) Error() string { return e.cause.Error() }

// ExitCodeFor returns the exit status for err.
func ExitCodeFor(err error) ExitCode {
	var usageErr usageError
	var connectErr *connect.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errDifferent):
		return ExitDifferent
	case errors.As(err, &usageErr):
		return ExitUsage
	case errors.As(err, &connectErr) && connectErr.Code() == connect.CodeUnavailable:
		return ExitUnavailable
	}
	switch fault.KindOf(err) {
	case fault.VersionConflict:
		return ExitConflict
	case fault.LogUnavailable, fault.NotReady:
		return ExitUnavailable
	case fault.AppendUnsettled:
		return ExitUnsettled
	case fault.Internal, fault.SettingsInvalid:
		return ExitError
	default:
		return ExitRejected
	}
}
