package ctl

import (
	"errors"
	"fmt"
	"strings"

	"github.com/spf13/cobra"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "chestnutgauge/api/chestnutgauge/v1"
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// Exit codes.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitNotFound    = 4
	ExitInvalid     = 5
	ExitUnavailable = 6
	ExitNotInForce  = 7
)

const exitCodesHelp = `Exit codes: 0 done; 1 failed; 2 wrong command line, settings or file;
3 the deployment was changed by somebody else, or exists; 4 not found;
5 a field is wrong; 6 no admin answered, or the table is away: a change may or
may not have been made; 7 the version is not in force everywhere in time.`

// usageError reports an invalid command line, settings file or deployment file.
type usageError struct{ error }

// Unwrap returns the underlying error.
func (e usageError) Unwrap() error { return e.error }

// notInForceError lists the nodes at which a version is not yet in effect.
type notInForceError struct {
	version int64
	missing []*pb.NodeStatus
}

// Error implements error.
func (e notInForceError) Error() string {
	var nodes []string
	for _, node := range e.missing {
		nodes = append(nodes, node.GetRole()+"@"+node.GetVm())
	}
	return fmt.Sprintf("version %d is not in force at %s", e.version, strings.Join(nodes, ", "))
}

// attempt is a failed call to one admin.
type attempt struct {
	address string
	err     error
}

// unavailableError reports that no admin could serve the call.
type unavailableError struct {
	attempts []attempt
}

// Error implements error.
func (e *unavailableError) Error() string {
	parts := []string{"no admin answered; a change may or may not have been made"}
	for _, a := range e.attempts {
		parts = append(parts, a.address+": "+status.Convert(a.err).Message())
	}
	return strings.Join(parts, "\n  ")
}

var exitByCode = map[codes.Code]int{
	codes.Aborted:         ExitConflict,
	codes.AlreadyExists:   ExitConflict,
	codes.NotFound:        ExitNotFound,
	codes.InvalidArgument: ExitInvalid,
	codes.Unavailable:     ExitUnavailable,
}

// ExitCode returns the exit code for the error of a command.
func ExitCode(err error) int {
	var usage usageError
	var unavailable *unavailableError
	var missing notInForceError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &unavailable):
		return ExitUnavailable
	case errors.As(err, &missing):
		return ExitNotInForce
	}
	if code, ok := exitByCode[status.Code(err)]; ok {
		return code
	}
	return ExitFailed
}

// Message returns the text of an error. It lists invalid fields one per line.
func Message(err error) string {
	st, ok := status.FromError(err)
	if !ok {
		return err.Error()
	}
	out := st.Message()
	for _, detail := range st.Details() {
		if badRequest, ok := detail.(*errdetails.BadRequest); ok {
			out = "wrong fields"
			for _, violation := range badRequest.GetFieldViolations() {
				out += "\n  " + violation.GetField() + ": " + violation.GetDescription()
			}
		}
	}
	return out
}

// exactArgs is cobra.ExactArgs with the exit code of an invalid command line.
func exactArgs(n int) cobra.PositionalArgs {
	return usageArgs(cobra.ExactArgs(n))
}

// usageArgs wraps the error of an argument check in a usageError.
func usageArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return usageError{err}
		}
		return nil
	}
}
