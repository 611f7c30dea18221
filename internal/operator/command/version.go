package command

import (
	"context"
	"io"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

// versionInfo is what version prints.
type versionInfo struct {
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
	if err := noArguments(c); err != nil {
		return err
	}
	v := readVersion()
	return p.print(c, v, func(w io.Writer) {
		linef(w, "chiveramp %s (commit %s, %s)", v.Version, orDash(v.Commit), v.Go)
	})
}

func readVersion() versionInfo {
	info, found := debug.ReadBuildInfo()
	if !found {
		return versionInfo{Version: "unknown"}
	}
	v := versionInfo{Version: info.Main.Version, Go: info.GoVersion}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v.Commit = s.Value
		}
	}
	return v
}
