package cli

import (
	"errors"

	"connectrpc.com/connect"

	"turmericyoke/internal/fault"
)

// ExitCode is the exit status of the command line. Scripts rely on the numbers.
type ExitCode int

// Exit statuses.
const (
	// ExitOK means that the command succeeded.
	ExitOK ExitCode = 0
	// ExitError stands for any error without a status of its own.
	ExitError ExitCode = 1
	// ExitUsage means that the arguments are wrong.
	ExitUsage ExitCode = 2
	// ExitDifferent means that the command diff found changes.
	ExitDifferent ExitCode = 3
	// ExitRejected means that a document, proposal or other request was rejected.
	ExitRejected ExitCode = 4
	// ExitConflict means that the configuration changed while the command ran.
	ExitConflict ExitCode = 5
	// ExitUnavailable means that no controller responded, that the log is unavailable, or that a change wasn't
	// seen in force in time.
	ExitUnavailable ExitCode = 6
	// ExitUnsettled means that it is unknown whether a change was accepted.
	ExitUnsettled ExitCode = 7
)

// errDocumentsDiffer makes the command diff exit with ExitDifferent.
var errDocumentsDiffer = errors.New("documents differ")

// usageError is an error in the arguments or flags of a command.
type usageError struct{ cause error }

func (e usageError) Error() string { return e.cause.Error() }

// ExitCodeFor returns the exit status for err.
func ExitCodeFor(err error) ExitCode {
	var usageErr usageError
	var connectErr *connect.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errDocumentsDiffer):
		return ExitDifferent
	case errors.As(err, &usageErr):
		return ExitUsage
	case fault.KindOf(err) == fault.AppendUnsettled:
		return ExitUnsettled
	case errors.As(err, &connectErr) && connectErr.Code() == connect.CodeUnavailable:
		return ExitUnavailable
	}
	switch fault.KindOf(err) {
	case fault.VersionConflict:
		return ExitConflict
	case fault.LogUnavailable, fault.NotReady:
		return ExitUnavailable
	case fault.Internal, fault.SettingsInvalid:
		return ExitError
	default:
		return ExitRejected
	}
}
