// Package commander implements the command line of hemlockport.
package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kong"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/operator"
)

// Version is the version of the program, which the build sets.
var Version = "development"

// The exit codes of the program. exitFailure means that a command was refused or failed,
// and exitUsage that its arguments are missing or invalid.
const (
	exitSuccess = 0
	exitFailure = 1
	exitUsage   = 2
)

const description = `hemlockport steers callers to upstreams. Operators declare places, services,
teams, keys, versions and moves; the system checks the whole set, publishes it
and reports the outcome.

A first look, in one process: hemlockport try.

Your own objects, checked offline: hemlockport check DIR.`

// commandLine defines the commands, arguments and flags of the program. Commands change
// something; queries only read.
type commandLine struct {
	Serve    serveCommand    `cmd:"" group:"commands" help:"Run an entry instance."`
	Apply    applyCommand    `cmd:"" group:"commands" help:"Add or replace objects, after a check of the whole set."`
	Delete   deleteCommand   `cmd:"" group:"commands" help:"Remove one object."`
	Withdraw withdrawCommand `cmd:"" group:"commands" help:"Withdraw a key; it stops working within seconds."`
	Key      keyCommand      `cmd:"" group:"commands" help:"Make a new key and print it with its hash."`
	Try      tryCommand      `cmd:"" group:"commands" help:"Run a local cluster inside this process."`

	Check    checkQuery    `cmd:"" group:"queries" help:"Check objects offline, as the publisher does."`
	Get      getQuery      `cmd:"" group:"queries" help:"Print objects of the configuration in force."`
	Status   statusQuery   `cmd:"" group:"queries" help:"Print the status of an instance, its peers and the upstreams."`
	Lookup   lookupQuery   `cmd:"" group:"queries" help:"Look up which entry instances a client should use."`
	Route    routeQuery    `cmd:"" group:"queries" help:"Say where an instance would send a request now, and why, without sending it."`
	Timeline timelineQuery `cmd:"" group:"queries" help:"Print the events of all instances in causal order."`
	Explain  explainQuery  `cmd:"" group:"queries" help:"Explain from logs what happened to a request, and why."`
	Duty     dutyQuery     `cmd:"" group:"queries" help:"Tell from logs who held the duty to report the usage, and what became of each window."`
	Version  versionQuery  `cmd:"" group:"queries" help:"Print the program's version."`
}

// Output holds the flag that selects the output format.
type Output struct {
	Output string `enum:"text,json" default:"text" help:"Output format: text or json."`
}

// Remote holds the flags that select an instance and authenticate the operator to it.
type Remote struct {
	At      string `default:"127.0.0.1:8082" env:"HEMLOCKPORT_AT" placeholder:"ADDRESS" help:"Address of the operators' listener of any instance (${default})."`
	Key     string `env:"HEMLOCKPORT_OPERATOR_KEY" placeholder:"KEY" help:"The operators' key. Prefer the environment variable: other users can list the arguments of a process."`
	KeyFile string `type:"existingfile" placeholder:"FILE" help:"File that holds the operators' key. It takes precedence over --key."`
}

// invocation holds the context and the output streams of a command.
type invocation struct {
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
}

// negativeResult is the error of a command that was called correctly and whose result is
// negative, such as a refused change or an object that does not exist.
type negativeResult struct {
	message string
}

func (r *negativeResult) Error() string {
	return r.message
}

// Run runs the program with the given arguments and returns its exit code.
func Run(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	var grammar commandLine
	kongExitCode := -1
	parser, err := kong.New(&grammar,
		kong.Name("hemlockport"),
		kong.Description(description),
		kong.UsageOnError(),
		kong.Writers(stdout, stderr),
		kong.Exit(func(exitCode int) { kongExitCode = exitCode }),
		kong.ExplicitGroups([]kong.Group{
			{
				Key:   "commands",
				Title: "Commands (change something):",
			},
			{
				Key:   "queries",
				Title: "Queries (only read):",
			},
		}),
	)
	if err != nil {
		return printError(stderr, err, exitUsage)
	}
	parsed, err := parser.Parse(arguments)
	if kongExitCode >= 0 {
		// Kong has printed the help text and asked for this exit code.
		return kongExitCode
	}
	if err != nil {
		return printError(stderr, fmt.Errorf("%w; see hemlockport --help", err), exitUsage)
	}
	err = parsed.Run(&invocation{
		ctx:    ctx,
		stdout: stdout,
		stderr: stderr,
	})
	return reportError(stderr, err)
}

// reportError prints the error of a command, if any, and returns the exit code.
func reportError(stderr io.Writer, err error) int {
	var usage *usageError
	switch {
	case err == nil:
		return exitSuccess
	case errors.As(err, &usage):
		return printError(stderr, err, exitUsage)
	default:
		return printError(stderr, err, exitFailure)
	}
}

// printError prints an error as a single line and returns the given exit code.
func printError(stderr io.Writer, err error, code int) int {
	line := strings.ReplaceAll(strings.TrimSpace(err.Error()), "\n", "; ")
	fmt.Fprintf(stderr, "hemlockport: %s\n", line)
	return code
}

// usageError is the error of a command with missing or invalid arguments.
type usageError struct {
	message string
}

func (e *usageError) Error() string {
	return e.message
}

// printResult prints a value in the selected output format: as JSON, or as the text that
// the given function writes.
func printResult[T any](s *invocation, output Output, value T, text func(io.Writer, T)) error {
	if output.Output != "json" {
		text(s.stdout, value)
		return nil
	}
	data, err := encoder.JSON[T]{}.Encode(value)
	if err != nil {
		return err
	}
	_, err = s.stdout.Write(data)
	return err
}

// client returns a client for the instance that the flags select.
func (r Remote) client() (*operator.Client, error) {
	key, err := r.key()
	if err != nil {
		return nil, err
	}
	if key == "" {
		return nil, &usageError{
			message: "no operators' key: set HEMLOCKPORT_OPERATOR_KEY, --key-file or --key",
		}
	}
	return operator.New(r.At, key), nil
}

// key returns the operators' key that the flags select, or "" if they select none.
func (r Remote) key() (string, error) {
	if r.KeyFile == "" {
		return r.Key, nil
	}
	data, err := os.ReadFile(r.KeyFile)
	if err != nil {
		return "", &usageError{
			message: err.Error(),
		}
	}
	return strings.TrimSpace(string(data)), nil
}
