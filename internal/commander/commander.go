// Package commander is the command line of the program.
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

// Version is the program's version; the build sets it.
var Version = "development"

// The exit codes of the program.
const (
	exitDone    = 0
	exitRefused = 1
	exitMisuse  = 2
)

const description = `hemlockport steers callers to upstreams. Operators declare places, services,
teams, keys, versions and moves; the system checks the whole set, publishes it
and answers for the outcome.

A first look, in one process: hemlockport try.

Your own objects, checked offline: hemlockport check DIR.`

// commandLine is the grammar of the program: commands change something, queries
// only read.
type commandLine struct {
	Serve    serveCommand    `cmd:"" group:"commands" help:"Run an entry instance."`
	Apply    applyCommand    `cmd:"" group:"commands" help:"Add or replace objects, after a check of the whole set."`
	Delete   deleteCommand   `cmd:"" group:"commands" help:"Remove one object."`
	Withdraw withdrawCommand `cmd:"" group:"commands" help:"Withdraw a key; it stops working within seconds."`
	Key      keyCommand      `cmd:"" group:"commands" help:"Make a new key and print it with its hash."`
	Try      tryCommand      `cmd:"" group:"commands" help:"Run a whole small deployment inside this process."`

	Check    checkQuery    `cmd:"" group:"queries" help:"Check objects offline, as the publisher does."`
	Get      getQuery      `cmd:"" group:"queries" help:"Print objects in force."`
	Status   statusQuery   `cmd:"" group:"queries" help:"Print what an instance knows of itself, its peers and the upstreams."`
	Lookup   lookupQuery   `cmd:"" group:"queries" help:"Ask which entry instances a client is to use."`
	Timeline timelineQuery `cmd:"" group:"queries" help:"Print the events of all processes in causal order."`
	Explain  explainQuery  `cmd:"" group:"queries" help:"Say from logs what happened to a request, and why."`
	Version  versionQuery  `cmd:"" group:"queries" help:"Print the program's version."`
}

// Output says in which form results are printed.
type Output struct {
	Output string `enum:"text,json" default:"text" help:"Form of the result: text or json."`
}

// Remote names the instance to talk to.
type Remote struct {
	At      string `default:"127.0.0.1:8082" env:"HEMLOCKPORT_AT" placeholder:"ADDRESS" help:"Operators' listener of any instance (${default})."`
	Key     string `env:"HEMLOCKPORT_OPERATOR_KEY" placeholder:"KEY" help:"The operators' key. Better set by the environment variable, which others cannot list."`
	KeyFile string `type:"existingfile" placeholder:"FILE" help:"File that holds the operators' key."`
}

// session is what a command runs with.
type session struct {
	ctx    context.Context
	out    io.Writer
	errors io.Writer
}

// refusal is the error of a command that was carried out and refused.
type refusal struct {
	message string
}

func (r *refusal) Error() string {
	return r.message
}

// Run runs the program with arguments and returns its exit code.
func Run(ctx context.Context, arguments []string, out, problems io.Writer) int {
	var line commandLine
	code := -1
	parser, err := kong.New(&line,
		kong.Name("hemlockport"),
		kong.Description(description),
		kong.UsageOnError(),
		kong.Writers(out, problems),
		kong.Exit(func(asked int) { code = asked }),
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
		return fail(problems, err, exitMisuse)
	}
	parsed, err := parser.Parse(arguments)
	if code >= 0 {
		// --help has been printed.
		return code
	}
	if err != nil {
		return fail(problems, fmt.Errorf("%w; see hemlockport --help", err), exitMisuse)
	}
	err = parsed.Run(&session{
		ctx:    ctx,
		out:    out,
		errors: problems,
	})
	return finish(problems, err)
}

func finish(problems io.Writer, err error) int {
	var misuse *misuse
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &misuse):
		return fail(problems, err, exitMisuse)
	default:
		return fail(problems, err, exitRefused)
	}
}

// fail prints one line on what went wrong.
func fail(problems io.Writer, err error, code int) int {
	line := strings.ReplaceAll(strings.TrimSpace(err.Error()), "\n", "; ")
	fmt.Fprintf(problems, "hemlockport: %s\n", line)
	return code
}

// misuse is the error of a command that was called wrongly.
type misuse struct {
	message string
}

func (m *misuse) Error() string {
	return m.message
}

// print prints a value as JSON, or as text by the given function.
func print[T any](s *session, output Output, value T, text func(io.Writer, T)) error {
	if output.Output != "json" {
		text(s.out, value)
		return nil
	}
	data, err := encoder.JSON[T]{}.Encode(value)
	if err != nil {
		return err
	}
	_, err = s.out.Write(data)
	return err
}

// client returns the client of the instance that the flags name.
func (r Remote) client() (*operator.Client, error) {
	key := r.Key
	if r.KeyFile != "" {
		data, err := os.ReadFile(r.KeyFile)
		if err != nil {
			return nil, &misuse{
				message: err.Error(),
			}
		}
		key = strings.TrimSpace(string(data))
	}
	if key == "" {
		return nil, &misuse{
			message: "no operators' key: set HEMLOCKPORT_OPERATOR_KEY, --key-file or --key",
		}
	}
	return operator.New(r.At, key), nil
}
