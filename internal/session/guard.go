package session

import (
	"fmt"
	"runtime/debug"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

// panicError is the error of a part of a session that panicked.
type panicError struct{ cause any }

func (e *panicError) Error() string { return fmt.Sprintf("panic: %v", e.cause) }

// guarded calls run and returns its error. A panic becomes an error and is logged: it ends the term, and not the process,
// which also serves callers. The next term loads its state from the log, so that it doesn't depend on what the panic
// left behind.
func (s *session) guarded(run func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			s.Logger.WithFields(logrus.Fields{"event": "term_panicked", "cause": cause, "stack": string(debug.Stack())}).Error("the scheduler panicked; this term ends")
			err = &panicError{cause}
		}
	}()
	return run()
}

// goGuarded runs a part of the session in the group. If it panics, the group's context ends.
func (s *session) goGuarded(group *errgroup.Group, run func() error) {
	group.Go(func() error { return s.guarded(run) })
}

// endTermOnPanic calls run. A panic ends the term.
func (s *session) endTermOnPanic(run func()) {
	if err := s.guarded(func() error { run(); return nil }); err != nil {
		s.endTerm(err)
	}
}
