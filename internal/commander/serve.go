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
	"golang.org/x/sync/errgroup"

	"github.com/hemlockport/hemlockport/internal/configurer"
	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/internal/query/sizer"
	"github.com/hemlockport/hemlockport/internal/server"
	"github.com/hemlockport/hemlockport/internal/steerer"
	"github.com/hemlockport/hemlockport/platform"
)

type serveCommand struct {
	Output
	Settings      string `type:"existingfile" env:"HEMLOCKPORT_NODE_FILE" placeholder:"FILE" help:"Settings file in TOML."`
	MoreSettings  string `env:"HEMLOCKPORT_SETTINGS" placeholder:"TOML" help:"Settings in TOML that replace or add to those of the file."`
	PrintSettings bool   `help:"Print the settings that would be in force, defaults included, and exit."`
}

// Run runs an entry instance until a signal stops it.
func (c *serveCommand) Run(s *invocation) error {
	if c.PrintSettings && c.Settings == "" {
		return printSettings(s, c.Output, configurer.Defaults().WithMachine(sizer.Process()))
	}
	if c.Settings == "" {
		return &usageError{
			message: "--settings FILE is missing; --print-settings prints all settings with their defaults",
		}
	}
	settings, err := c.readSettings()
	var invalid *configurer.InvalidError
	if errors.As(err, &invalid) {
		return reportFaults(s, c.Output, invalid.Faults)
	}
	if err != nil {
		return err
	}
	if c.PrintSettings {
		return printSettings(s, c.Output, settings.WithoutSecrets())
	}
	// A signal must not end the process while the instance opens its listeners.
	signals := notifySignals()
	defer signals.stop()
	logWriter := newNonBlockingWriter(s.stdout)
	defer logWriter.flush()
	limitMemory(settings)
	instance, err := newInstance(s, settings, logWriter)
	if err != nil {
		return err
	}
	return runUntilSignalled(s, instance, signals, c.reloader(instance))
}

// readSettings reads the settings and adds what the process may use.
func (c *serveCommand) readSettings() (configurer.Settings, error) {
	settings, err := configurer.ReadFile(c.Settings, c.MoreSettings)
	if err != nil {
		return settings, err
	}
	return settings.WithMachine(sizer.Process()), nil
}

// entryInstance is an entry instance on any platform.
type entryInstance interface {
	// Run serves requests until ctx ends, and then drains the instance.
	Run(ctx context.Context) error
	// Halt stops the instance immediately, without draining it.
	Halt()
	// Reload receives the settings that have been read again. They come into force at the
	// next start; the instance only reports that they were read.
	Reload(settings configurer.Settings)
}

// newInstance returns an instance for the platform that the settings select. On an external
// platform it logs to logWriter.
func newInstance(s *invocation, settings configurer.Settings, logWriter io.Writer) (entryInstance, error) {
	if settings.Platform.Adapter == configurer.AdapterOwn {
		return server.New(settings, newLog(s.stderr, settings.Log))
	}
	adapted, err := platform.New(settings.Platform.Address)
	if err != nil {
		return nil, err
	}
	return steerer.New(settings, adapted, newLog(logWriter, settings.Log))
}

// reloader returns a function that reads the settings file again and passes the
// settings to the instance's Reload. If the file is invalid or cannot be read, the
// function returns an error.
func (c *serveCommand) reloader(target entryInstance) func() error {
	return func() error {
		settings, err := c.readSettings()
		if err != nil {
			return err
		}
		target.Reload(settings)
		return nil
	}
}

// runUntilSignalled runs the instance until a signal stops it. The first SIGTERM or
// interrupt drains it. A further SIGTERM changes nothing, as whoever supervises the process
// may repeat it, but an interrupt halts an instance that is draining. SIGHUP calls reload.
func runUntilSignalled(s *invocation, instance entryInstance, signals signalChannels, reload func() error) error {
	group, ctx := errgroup.WithContext(s.ctx)
	servingCtx, drain := context.WithCancel(ctx)
	defer drain()
	ended := make(chan struct{})
	group.Go(func() error {
		defer close(ended)
		return instance.Run(servingCtx)
	})
	group.Go(func() error {
		for {
			select {
			case <-signals.reload:
				reportReload(s, reload())
			case <-signals.terminate:
				drain()
			case <-signals.interrupt:
				if servingCtx.Err() != nil {
					instance.Halt()
				}
				drain()
			case <-ended:
				return nil
			}
		}
	})
	return group.Wait()
}

// signalChannels receive the signals that control the instance, each kind on a channel of its
// own, so that no number of one kind makes another be lost. Signals of a kind that wait for
// the same channel count as one.
type signalChannels struct {
	reload    chan os.Signal
	terminate chan os.Signal
	// interrupt holds two signals: one that drains the instance and one that halts it.
	interrupt chan os.Signal
}

// notifySignals starts to receive signals, which then no longer end the process.
func notifySignals() signalChannels {
	channels := signalChannels{
		reload:    make(chan os.Signal, 1),
		terminate: make(chan os.Signal, 1),
		interrupt: make(chan os.Signal, 2),
	}
	signal.Notify(channels.reload, syscall.SIGHUP)
	signal.Notify(channels.terminate, syscall.SIGTERM)
	signal.Notify(channels.interrupt, os.Interrupt)
	return channels
}

// stop stops receiving signals.
func (c signalChannels) stop() {
	signal.Stop(c.reload)
	signal.Stop(c.terminate)
	signal.Stop(c.interrupt)
}

// reportReload reports why the settings could not be read again, if they could not.
func reportReload(s *invocation, err error) {
	if err != nil {
		fmt.Fprintf(s.stderr, "hemlockport: the settings file is invalid or cannot be read, the settings in force stay: %v\n", err)
	}
}

func printSettings(s *invocation, output Output, settings configurer.Settings) error {
	return printResult(s, output, settings, func(w io.Writer, settings configurer.Settings) {
		data, err := encoder.TOML[configurer.Settings]{}.Encode(settings)
		if err != nil {
			return
		}
		w.Write(data)
	})
}

// newLog returns a logger with the given level and format.
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
