package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/urfave/cli/v3"

	"github.com/chiveramp/chiveramp/internal/standin/platform"
)

const (
	pathMembers   = "/standin/members"
	maxReplyBytes = 64 << 10 // bytes
)

func memberCommand() *cli.Command {
	return &cli.Command{
		Name:  "member",
		Usage: "register a member of a service with a running platform stand-in, or remove it",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Required: true, Usage: "`ADDRESS` of the platform stand-in"},
			&cli.StringFlag{Name: "service", Required: true, Usage: "name of the service"},
			&cli.StringFlag{Name: "name", Required: true, Usage: "name of the member"},
			&cli.StringFlag{Name: "address", Usage: "`ADDRESS` of the member"},
			&cli.StringFlag{Name: "region", Usage: "region of the member"},
			&cli.StringFlag{Name: "datacentre", Usage: "data centre of the member"},
			&cli.StringFlag{Name: "incarnation", Value: "1", Usage: "incarnation of the member, which changes with each restart"},
			&cli.StringFlag{Name: "state", Value: "live", Usage: "live or leaving"},
			&cli.BoolFlag{Name: "gone", Usage: "remove the member"},
		},
		Action: runMember,
	}
}

func runMember(ctx context.Context, c *cli.Command) error {
	body, err := json.Marshal(platform.Member{
		Service: c.String("service"), Name: c.String("name"), Address: c.String("address"),
		Region: c.String("region"), DataCentre: c.String("datacentre"),
		Incarnation: c.String("incarnation"), State: c.String("state"), Gone: c.Bool("gone"),
	})
	if err != nil {
		return fmt.Errorf("member: %w", err)
	}
	target := "http://" + c.String("platform") + pathMembers
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, target, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: --platform: %w", errUsage, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("member: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil || response.StatusCode != http.StatusOK {
		return fmt.Errorf("member: status %d: %s", response.StatusCode, text)
	}
	return nil
}
