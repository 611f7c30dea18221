package command

import (
	"context"
	"errors"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/chiveramp/chiveramp/internal/certs"
	"github.com/chiveramp/chiveramp/internal/operator"
	"github.com/chiveramp/chiveramp/pkg/config"
)

const (
	filePrefix     = "file:"
	defaultTimeout = 10 * time.Second
)

// outputFormat is a value of the --output flag.
type outputFormat string

const (
	outputText outputFormat = "text"
	outputJSON outputFormat = "json"
)

func connectionFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "address", Usage: "host:port of [operator] of one or more instances, tried in order", Sources: cli.EnvVars("CHIVERAMP_ADDRESS")},
		&cli.StringFlag{Name: "token", Usage: "the secret of [operator], or file:PATH of it", Sources: cli.EnvVars("CHIVERAMP_TOKEN")},
		&cli.StringFlag{Name: "ca", Usage: "PEM file of the CA of the instances; turns on TLS", Sources: cli.EnvVars("CHIVERAMP_CA")},
		&cli.StringFlag{Name: "cert", Usage: "PEM file of the operator's certificate", Sources: cli.EnvVars("CHIVERAMP_CERT")},
		&cli.StringFlag{Name: "key", Usage: "PEM file of the certificate's key", Sources: cli.EnvVars("CHIVERAMP_KEY")},
		&cli.DurationFlag{Name: "timeout", Usage: "longest time for one call", Value: defaultTimeout},
		&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Usage: "text or json", Value: string(outputText)},
	}
}

func validateOutputFlag(ctx context.Context, c *cli.Command) (context.Context, error) {
	switch outputFormat(c.String("output")) {
	case outputText, outputJSON:
		return ctx, nil
	default:
		return ctx, badInput("--output: got %q, want text or json", c.String("output"))
	}
}

func connect(c *cli.Command, addresses []string) (*operator.Client, error) {
	if len(addresses) == 0 {
		return nil, badInput("--address: missing, want host:port of an instance's [operator] (or CHIVERAMP_ADDRESS)")
	}
	token, err := readToken(c.String("token"))
	if err != nil {
		return nil, err
	}
	options := []operator.ClientOption{operator.WithBearerToken(token)}
	t, err := certs.Client(config.TLS{Cert: c.String("cert"), Key: c.String("key"), CA: c.String("ca")})
	if err != nil {
		return nil, badInput("%v", err)
	}
	if t != nil {
		options = append(options, operator.WithTLS(t))
	}
	return operator.NewClient(addresses, options...), nil
}

// readToken returns the value of the --token flag, or the content of the file if the value
// is file:PATH.
func readToken(flagValue string) (string, error) {
	path, found := strings.CutPrefix(flagValue, filePrefix)
	if !found {
		return flagValue, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return "", badInput("--token: %v", err)
	}
	return strings.TrimSpace(string(text)), nil
}

// call connects to the instances of --address and runs fn within --timeout.
func call[T any](ctx context.Context, c *cli.Command, fn func(context.Context, *operator.Client) (T, error)) (T, error) {
	return callAddresses(ctx, c, c.StringSlice("address"), c.Duration("timeout"), fn)
}

// callAddresses is call with explicit addresses and timeout.
func callAddresses[T any](ctx context.Context, c *cli.Command, addresses []string, timeout time.Duration, fn func(context.Context, *operator.Client) (T, error)) (T, error) {
	client, err := connect(c, addresses)
	if err != nil {
		var zero T
		return zero, err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return fn(ctx, client)
}

// fetchDocument returns the document in force, or an empty one of revision 0 if none was
// applied yet.
func fetchDocument(ctx context.Context, c *cli.Command) (operator.Document, error) {
	d, err := call(ctx, c, func(ctx context.Context, o *operator.Client) (operator.Document, error) { return o.Document(ctx) })
	if errors.Is(err, operator.ErrNotFound) {
		return operator.Document{}, nil
	}
	if err != nil {
		return operator.Document{}, err
	}
	return d, nil
}
