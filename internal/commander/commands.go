package commander

import (
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"os/user"

	"github.com/hemlockport/hemlockport/internal/loader"
	"github.com/hemlockport/hemlockport/internal/operator"
	"github.com/hemlockport/hemlockport/pkg/command/publisher"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/checker"
)

type applyCommand struct {
	Remote
	Output
	Path       string `arg:"" help:"File, or folder of files that end in .toml."`
	Prune      bool   `help:"Also remove every object that the files do not declare."`
	IfRevision uint64 `help:"Refuse unless this is the published revision."`
}

// Run adds or replaces the objects that the files declare.
func (c *applyCommand) Run(s *invocation) error {
	document, err := loader.Load(c.Path)
	if err != nil {
		return err
	}
	return sendChange(s, c.Remote, c.Output, publisher.Change{
		Document:   document,
		Prune:      c.Prune,
		IfRevision: c.IfRevision,
	})
}

type deleteCommand struct {
	Remote
	Output
	Kind       string `arg:"" help:"Place, Service, Team, Key, Version, Move or Route."`
	Name       string `arg:"" help:"The object's name."`
	IfRevision uint64 `help:"Refuse unless this is the published revision."`
}

// Run removes one object.
func (c *deleteCommand) Run(s *invocation) error {
	kind, err := declarer.ParseKind(c.Kind)
	if err != nil {
		return &usageError{
			message: err.Error(),
		}
	}
	return sendChange(s, c.Remote, c.Output, publisher.Change{
		Remove: []declarer.Reference{
			{
				Kind: kind,
				Name: c.Name,
			},
		},
		IfRevision: c.IfRevision,
	})
}

type withdrawCommand struct {
	Remote
	Output
	Name string `arg:"" help:"Name of the Key."`
}

// Run withdraws a key.
func (c *withdrawCommand) Run(s *invocation) error {
	return sendChange(s, c.Remote, c.Output, publisher.Change{
		Withdraw: []string{c.Name},
	})
}

// sendChange sends a change to an instance and prints the accepted revision, or the
// faults for which the change was refused.
func sendChange(s *invocation, remote Remote, output Output, change publisher.Change) error {
	client, err := remote.client()
	if err != nil {
		return err
	}
	change.By = operatorName()
	accepted, err := client.Change(s.ctx, change)
	var failure *operator.StatusError
	if errors.As(err, &failure) && len(failure.Faults) > 0 {
		return reportFaults(s, output, failure.Faults)
	}
	if err != nil {
		return err
	}
	return printResult(s, output, accepted, printAccepted)
}

func printAccepted(w io.Writer, accepted publisher.Accepted) {
	if accepted.Unchanged {
		fmt.Fprintf(w, "unchanged: revision %d, %d objects\n", accepted.Revision, accepted.Objects)
		return
	}
	fmt.Fprintf(w, "accepted: revision %d, %d objects\n", accepted.Revision, accepted.Objects)
}

// reportFaults prints all faults on standard output and returns the error that states
// their number.
func reportFaults(s *invocation, output Output, faults []checker.Fault) error {
	if err := printResult(s, output, faults, printFaults); err != nil {
		return err
	}
	noun := "faults"
	if len(faults) == 1 {
		noun = "fault"
	}
	return &negativeResult{
		message: fmt.Sprintf("refused: %d %s; nothing has changed", len(faults), noun),
	}
}

func printFaults(w io.Writer, faults []checker.Fault) {
	for _, fault := range faults {
		fmt.Fprintln(w, fault)
	}
}

// operatorName returns the name of the operating system's user, which is recorded as the
// author of a change.
func operatorName() string {
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}

type keyCommand struct {
	Name string `arg:"" optional:"" default:"new-key" help:"Name of the Key object to print."`
	Team string `default:"team" help:"Team of the Key object to print."`
}

// Run generates a key and prints it. The key is not stored anywhere.
func (c *keyCommand) Run(s *invocation) error {
	secret := rand.Text()
	fmt.Fprintf(s.stdout, "# The key, to be handed to its user and kept nowhere else: %s\n", secret)
	fmt.Fprintf(s.stdout, "[[Key]]\nName = %q\nTeam = %q\nHash = %q\n", c.Name, c.Team, declarer.HashKey(secret))
	return nil
}
