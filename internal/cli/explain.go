package cli

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"

	"github.com/hawthornpoint/hawthornpoint/internal/explain"
)

type explainCommand struct {
	ID    string   `arg:"" name:"request-id" help:"The ID of the request, as its client sent it."`
	Files []string `arg:"" name:"file" type:"existingfile" help:"Log files of one or more processes."`
}

// Run prints the report on a request. It is an error if no log line names the ID. The error is
// preceded by the daemons that ended without a stop, because one of them may have accepted the
// request.
func (c explainCommand) Run(o *output) error {
	if c.ID == "" {
		return errors.New("the request ID is empty")
	}
	reader := explain.NewReader(c.ID)
	for _, name := range c.Files {
		if err := readLog(reader, name); err != nil {
			return err
		}
	}
	report, err := reader.Report()
	if err != nil {
		for i := range report.AbruptEnds {
			fmt.Fprintln(o.err, explain.DescribeAbruptEnd(&report.AbruptEnds[i]))
		}
		return errors.Wrapf(err, "%d lines could not be read", report.Unreadable)
	}
	return report.Write(o.out)
}

func readLog(reader *explain.Reader, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return reader.Read(name, f)
}
