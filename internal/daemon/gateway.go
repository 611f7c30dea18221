package daemon

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log/level"
	"github.com/urfave/cli/v3"
	"go.opentelemetry.io/otel"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/direct"
	"github.com/chiveramp/chiveramp/internal/heap"
	"github.com/chiveramp/chiveramp/internal/reload"
	"github.com/chiveramp/chiveramp/internal/telemetry"
	"github.com/chiveramp/chiveramp/pkg/config"
)

// newGatewayCommand returns the subcommand that runs an instance on the users' platform, where
// it sends requests directly to endpoints.
func newGatewayCommand() *cli.Command {
	return &cli.Command{
		Name:      "gateway",
		Usage:     "run one instance on the users' platform, sending requests directly to its endpoints",
		UsageText: "chiverampd gateway --config /etc/chiveramp/gateway.ini",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "INI file with the settings of this instance", Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			path := c.String("config")
			settings, err := reload.New([]string{path}, func() (config.Gateway, error) { return config.LoadGateway(path) })
			if err != nil {
				return settingsError{err}
			}
			if c.Bool("check") {
				return nil
			}
			return runGateway(ctx, settings, os.Stdout)
		},
	}
}

func runGateway(ctx context.Context, settings *reload.Value[config.Gateway], w io.Writer) error {
	c := settings.Get()
	heap.SetIdlePercent()
	heap.SetMemoryLimit(c.Limits.Memory)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	common := config.Config{Instance: c.Instance, Log: c.Log, Trace: c.Trace}
	var logWriting errgroup.Group
	lifetime, end := context.WithCancel(context.WithoutCancel(ctx))
	defer func() {
		end()
		_ = logWriting.Wait() // the log writer returns no error
	}()
	logger := telemetry.NewLogger(telemetry.NewBoundedWriter(lifetime, w, &logWriting), common)
	tracers, err := telemetry.NewTracerProvider(ctx, common)
	if err != nil {
		return settingsError{err}
	}
	otel.SetTracerProvider(tracers)
	otel.SetTextMapPropagator(telemetry.NewPropagator())
	group, running := errgroup.WithContext(ctx)
	n := direct.New(settings, logger, group)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	group.Go(func() error {
		for {
			select {
			case <-hangups:
				n.Reload("signal")
			case <-running.Done():
				return nil
			}
		}
	})
	if err := n.Run(running); err != nil {
		return settingsError{err}
	}
	err = group.Wait()
	_ = tracers.Shutdown(context.WithoutCancel(ctx))
	_ = level.Info(logger).Log("step", "exit", "err", err)
	return err
}
