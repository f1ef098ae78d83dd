package commander

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/configurer"
	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/server"
)

type serveCommand struct {
	Output
	Settings      string `type:"existingfile" placeholder:"FILE" help:"Settings in TOML."`
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
	instance, err := server.New(settings, newLog(s.errors, settings.Log))
	if err != nil {
		return err
	}
	return runUntilSignalled(s, instance)
}

// runUntilSignalled drains the instance at the first SIGTERM or interrupt, and
// ends it at the second.
func runUntilSignalled(s *session, instance *server.Server) error {
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
