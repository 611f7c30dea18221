package command

import (
	"context"
	"io"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

// versionOutput is the output of version.
type versionOutput struct {
	Version string `json:"version"`
	Commit  string `json:"commit"`
	Go      string `json:"go"`
}

func (p *program) versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version of this program",
		Description: `Example:
   chiveramp version`,
		Action: p.version,
	}
}

func (p *program) version(_ context.Context, c *cli.Command) error {
	if err := requireNoArguments(c); err != nil {
		return err
	}
	v := readVersion()
	return p.print(c, v, func(w io.Writer) {
		linef(w, "chiveramp %s (commit %s, %s)", v.Version, orDash(v.Commit), v.Go)
	})
}

func readVersion() versionOutput {
	info, found := debug.ReadBuildInfo()
	if !found {
		return versionOutput{Version: "unknown"}
	}
	v := versionOutput{Version: info.Main.Version, Go: info.GoVersion}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v.Commit = s.Value
		}
	}
	return v
}
