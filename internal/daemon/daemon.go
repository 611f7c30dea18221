// Package daemon implements the chiverampd command: it loads the settings, runs the instance
// and maps errors to exit codes.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log/level"
	"github.com/urfave/cli/v3"
	"go.opentelemetry.io/otel"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/heap"
	"github.com/chiveramp/chiveramp/internal/node"
	"github.com/chiveramp/chiveramp/internal/telemetry"
	"github.com/chiveramp/chiveramp/pkg/config"
)

// Exit codes of the command.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitSettings = 2
)

var errNoConfig = errors.New(`required flag "config" not set`)

// settingsError marks an error in the settings or in a resource that they refer to.
type settingsError struct{ error }

func (e settingsError) Unwrap() error { return e.error }

// Main runs the command and returns its exit code. It writes errors to w, one per line. It subscribes to
// signals before it reads the settings, since a signal that comes before would end the process.
func Main(ctx context.Context, args []string, w io.Writer) int {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	code := ExitOK
	command := newCommand(w, hangups)
	if err := command.Run(ctx, args); err != nil {
		_, _ = fmt.Fprintf(w, "chiverampd: %v\n", err)
		code = exitCode(err)
	}
	return code
}

func newCommand(w io.Writer, hangups <-chan os.Signal) *cli.Command {
	return &cli.Command{
		Name:      "chiverampd",
		Usage:     "serve many models on few accelerators, as one of many equal instances",
		UsageText: "chiverampd --config /etc/chiveramp/chiverampd.ini",
		Writer:    w,
		ErrWriter: w,
		Commands:  []*cli.Command{newGatewayCommand(hangups)},
		Flags: []cli.Flag{
			// Not marked as required because that would apply to the subcommands too.
			&cli.StringFlag{Name: "config", Usage: "INI file with the settings of this instance", Local: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit", Local: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if !c.IsSet("config") {
				return errNoConfig
			}
			settings, err := config.Load(c.String("config"))
			if err != nil {
				return settingsError{err}
			}
			if c.Bool("check") || ctx.Err() != nil {
				return nil
			}
			return run(ctx, settings, w, hangups)
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

func run(ctx context.Context, c config.Config, w io.Writer, hangups <-chan os.Signal) error {
	heap.SetIdlePercent()
	logger := telemetry.NewLogger(w, c)
	tracers, err := telemetry.NewTracerProvider(ctx, c)
	if err != nil {
		return settingsError{err}
	}
	otel.SetTracerProvider(tracers)
	otel.SetTextMapPropagator(telemetry.NewPropagator())
	group, running := errgroup.WithContext(ctx)
	listening, stopListening := context.WithCancel(running)
	defer stopListening()
	n, err := node.New(c, logger, group)
	if err != nil {
		return settingsError{err}
	}
	group.Go(func() error {
		onHangup(listening, hangups, func() {
			_ = level.Warn(logger).Log("step", "reload", "cause", "signal", "msg", "settings take effect at the next start")
		})
		return nil
	})
	if err := n.Run(running); err != nil {
		return settingsError{err}
	}
	stopListening()
	err = group.Wait()
	_ = tracers.Shutdown(context.WithoutCancel(ctx))
	_ = level.Info(logger).Log("step", "stop", "err", err)
	return err
}

// onHangup calls fn for each SIGHUP until the context ends.
func onHangup(ctx context.Context, hangups <-chan os.Signal, fn func()) {
	for {
		select {
		case <-hangups:
			fn()
		case <-ctx.Done():
			return
		}
	}
}
