// Package cli implements the command line of hawthornpoint.
package cli

import (
	"fmt"
	"io"
	"runtime/debug"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"
)

// Exit codes of the command.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

type commands struct {
	Daemon  daemonCommand  `cmd:"" help:"Run the daemon beside a backend server."`
	Check   checkCommand   `cmd:"" help:"Check settings, descriptions and sheets; print each error with file, line and field."`
	Seal    sealCommand    `cmd:"" help:"Check descriptions and a sheet and print the envelope to publish."`
	Sidecar sidecarCommand `cmd:"" help:"Run the daemon beside a backend server on the platform of platform/."`
	Explain explainCommand `cmd:"" help:"Tell from log files what became of a request, and why."`
	Try     tryCommand     `cmd:"" help:"Run a bundled deployment in this process and report how it fared."`
	Soak    soakCommand    `cmd:"" help:"Run daemons as processes, inject faults from a seed and check the recorded history."`
	StandIn standInCommand `cmd:"" name:"stand-in" help:"Run a stand-in backend server or platform, for trying things out."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

// output holds the writers for the results and the errors of commands.
type output struct {
	out io.Writer
	err io.Writer
}

// errReported is returned by a command that has already printed its error.
var errReported = errors.New("reported")

// Main parses the arguments, runs the command and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var c commands
	exit := -1
	parser, err := kong.New(&c,
		kong.Name("hawthornpoint"),
		kong.Description("Overload control for service call graphs."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exit = code }),
		kong.UsageOnError(),
	)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitError
	}
	ctx, err := parser.Parse(args)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		fmt.Fprintln(stderr, "hawthornpoint:", err)
		return exitUsage
	}
	if err := ctx.Run(&output{out: stdout, err: stderr}); err != nil {
		if !errors.Is(err, errReported) {
			fmt.Fprintln(stderr, "hawthornpoint:", err)
		}
		return exitError
	}
	return exitOK
}

type versionCommand struct{}

// Run prints the module version and the revision that the binary was built from.
func (versionCommand) Run(o *output) error {
	version, revision := "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	_, err := fmt.Fprintf(o.out, "hawthornpoint version=%s revision=%s\n", version, revision)
	return err
}
