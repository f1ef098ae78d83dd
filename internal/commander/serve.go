package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/configurer"
	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/server"
	"github.com/hemlockport/hemlockport/internal/steerer"
	"github.com/hemlockport/hemlockport/platform"
)

type serveCommand struct {
	Output
	Settings      string `type:"existingfile" env:"HEMLOCKPORT_NODE_FILE" placeholder:"FILE" help:"Settings in TOML."`
	PrintSettings bool   `help:"Print the settings that would be in force, defaults included, and end."`
}

// Run runs an entry instance until a signal ends it.
func (c *serveCommand) Run(s *session) error {
	if c.PrintSettings && c.Settings == "" {
		return printSettings(s, c.Output, configurer.Defaults())
	}
	if c.Settings == "" {
		return &misuse{
			message: "--settings FILE is missing; --print-settings prints what can stand in it",
		}
	}
	settings, err := configurer.ReadFile(c.Settings)
	var invalid *configurer.Invalid
	if errors.As(err, &invalid) {
		return refuse(s, c.Output, invalid.Faults)
	}
	if err != nil {
		return err
	}
	if c.PrintSettings {
		return printSettings(s, c.Output, settings.WithoutSecrets())
	}
	instance, err := newInstance(s, settings)
	if err != nil {
		return err
	}
	return runUntilSignalled(s, instance, c.reload(instance))
}

// instance is an entry instance of any kind.
type instance interface {
	// Run serves until ctx ends, and then drains.
	Run(ctx context.Context) error
	// Halt ends the instance at once.
	Halt()
	// Reload takes over changed settings.
	Reload(settings configurer.Settings)
}

// newInstance returns an instance for the platform that the settings name.
func newInstance(s *session, settings configurer.Settings) (instance, error) {
	if settings.Platform.Adapter == configurer.AdapterOwn {
		return server.New(settings, newLog(s.errors, settings.Log))
	}
	adapted, err := platform.New(settings.Platform.Address)
	if err != nil {
		return nil, err
	}
	return steerer.New(settings, adapted, newLog(newBounded(s.out), settings.Log))
}

// reload returns what reads the settings again. Settings that do not fit leave
// those in force.
func (c *serveCommand) reload(running instance) func() error {
	return func() error {
		settings, err := configurer.ReadFile(c.Settings)
		if err != nil {
			return err
		}
		running.Reload(settings)
		return nil
	}
}

// runUntilSignalled drains the instance at the first SIGTERM or interrupt, and
// ends it at the second. At SIGHUP it reads the settings again.
func runUntilSignalled(s *session, instance instance, reload func() error) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	group, ctx := errgroup.WithContext(s.ctx)
	serving, drain := context.WithCancel(ctx)
	defer drain()
	ended := make(chan struct{})
	group.Go(func() error {
		defer close(ended)
		return instance.Run(serving)
	})
	group.Go(func() error {
		act := func() { drain() }
		for {
			select {
			case <-signals:
				act()
				act = instance.Halt
			case <-hangups:
				if err := reload(); err != nil {
					fmt.Fprintf(s.errors, "hemlockport: settings unchanged: %v\n", err)
				}
			case <-ended:
				return nil
			}
		}
	})
	return group.Wait()
}

func printSettings(s *session, output Output, settings configurer.Settings) error {
	return print(s, output, settings, func(w io.Writer, settings configurer.Settings) {
		data, err := encoder.TOML[configurer.Settings]{}.Encode(settings)
		if err != nil {
			return
		}
		w.Write(data)
	})
}

const (
	// logLines is how many lines wait to be written at most. A reader that stops
	// costs lines and holds up nothing.
	logLines = 4096
	// logInterval is the time between two looks for lines to write.
	logInterval = 100 * time.Millisecond
)

// newBounded returns a writer that never blocks. It says how many lines it has
// dropped.
func newBounded(w io.Writer) io.Writer {
	return diode.NewWriter(w, logLines, logInterval, func(missed int) {
		fmt.Fprintf(w, "{\"level\":\"warn\",\"Lines\":%d,\"message\":\"LinesDropped\"}\n", missed)
	})
}

func newLog(w io.Writer, settings configurer.Log) zerolog.Logger {
	if settings.Form == "text" {
		w = zerolog.ConsoleWriter{
			Out:        w,
			NoColor:    true,
			TimeFormat: "15:04:05.000",
		}
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	level, err := zerolog.ParseLevel(settings.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(level).With().Timestamp().Logger()
}
