// Command hawthornpoint runs the daemon beside a backend server and contains the tools
// for its operators.
package main

import (
	"os"

	"github.com/hawthornpoint/hawthornpoint/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
