package cli

import (
	"os"

	"github.com/go-faster/errors"

	"github.com/hawthornpoint/hawthornpoint/internal/explain"
)

type explainCommand struct {
	ID    string   `arg:"" name:"request-id" help:"The ID of the request, as its client sent it."`
	Files []string `arg:"" name:"file" type:"existingfile" help:"Log files of one or more processes."`
}

// Run prints the story of a request. An ID that no line names is an error.
func (c explainCommand) Run(o *output) error {
	if c.ID == "" {
		return errors.New("the request ID is empty")
	}
	r := explain.NewReader(c.ID)
	for _, name := range c.Files {
		if err := readLog(r, name); err != nil {
			return err
		}
	}
	story, err := r.Story()
	if err != nil {
		return errors.Wrapf(err, "%d lines could not be read", story.Unreadable)
	}
	return story.Write(o.out)
}

func readLog(r *explain.Reader, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return r.Read(name, f)
}
