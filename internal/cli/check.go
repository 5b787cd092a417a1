package cli

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"

	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/settings"
)

type checkCommand struct {
	Files []string `arg:"" type:"path" help:"Settings, descriptions or sheet files. A sheet is checked against the descriptions named with it."`
}

// Run checks each file. Its kind is determined from its top-level fields.
func (c checkCommand) Run(o *output) error {
	problems, err := checkFiles(c.Files)
	if err != nil {
		return err
	}
	for _, p := range problems {
		fmt.Fprintln(o.err, p)
	}
	if len(problems) > 0 {
		return errReported
	}
	fmt.Fprintf(o.out, "%d files checked, no problems\n", len(c.Files))
	return nil
}

func checkFiles(files []string) ([]config.Problem, error) {
	var problems []config.Problem
	var descriptions *config.Descriptions
	var sheet *config.SheetFile
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "check")
		}
		var found []config.Problem
		switch fileKind(data) {
		case "settings":
			_, found = settings.Parse(file, data)
		case "sheet":
			sheet, found = config.ParseSheet(file, data)
		case "configuration":
			_, found = config.Parse(file, data)
		default:
			descriptions, found = config.ParseDescriptions(file, data)
		}
		problems = append(problems, found...)
	}
	if len(problems) == 0 && descriptions != nil && sheet != nil {
		_, found := config.Merge(descriptions, sheet)
		problems = append(problems, found...)
	}
	return problems, nil
}

// fileKind determines the kind of a file by its top-level fields. It returns an empty
// string if data cannot be parsed as a JSON object.
func fileKind(data []byte) string {
	standardJSON, err := hujson.Standardize(append([]byte(nil), data...))
	if err != nil {
		return ""
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(standardJSON, &fields) != nil {
		return ""
	}
	switch {
	case fields["listeners"] != nil || fields["backend"] != nil:
		return "settings"
	case fields["services"] != nil && fields["sheet"] != nil:
		return "configuration"
	case fields["days"] != nil && fields["services"] == nil:
		return "sheet"
	default:
		return "descriptions"
	}
}

type sealCommand struct {
	Descriptions string `required:"" type:"existingfile" help:"Descriptions of services."`
	Sheet        string `type:"existingfile" help:"Sheet of the coming days."`
}

// Run prints the envelope, or the problems found in the files.
func (c sealCommand) Run(o *output) error {
	conf, problems, err := loadConfig(c.Descriptions, c.Sheet)
	if err != nil {
		return err
	}
	for _, p := range problems {
		fmt.Fprintln(o.err, p)
	}
	if len(problems) > 0 {
		return errReported
	}
	envelope, err := config.Seal(conf)
	if err != nil {
		return err
	}
	return json.NewEncoder(o.out).Encode(envelope)
}

func loadConfig(descriptionsFile, sheetFile string) (*config.Config, []config.Problem, error) {
	data, err := os.ReadFile(descriptionsFile)
	if err != nil {
		return nil, nil, err
	}
	descriptions, problems := config.ParseDescriptions(descriptionsFile, data)
	sheet := &config.SheetFile{}
	if sheetFile != "" {
		data, err := os.ReadFile(sheetFile)
		if err != nil {
			return nil, nil, err
		}
		var found []config.Problem
		sheet, found = config.ParseSheet(sheetFile, data)
		problems = append(problems, found...)
	}
	if len(problems) > 0 {
		return nil, problems, nil
	}
	conf, problems := config.Merge(descriptions, sheet)
	return conf, problems, nil
}
