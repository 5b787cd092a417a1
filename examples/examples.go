// Package examples provides the example deployments, which are embedded in the
// program. The files next to it can be read as examples of the formats.
package examples

import (
	"embed"
	"path"

	"github.com/go-faster/errors"

	"github.com/hawthornpoint/hawthornpoint/config"
)

//go:embed quito/*.jsonc alpenbrett/*.jsonc
var files embed.FS

// Deployments returns the names of the bundled deployments.
func Deployments() []string { return []string{"quito", "alpenbrett"} }

// Load returns the configuration of a bundled deployment after checking it.
func Load(deployment string) (*config.Config, error) {
	file := path.Join(deployment, "descriptions.jsonc")
	data, err := files.ReadFile(file)
	if err != nil {
		return nil, errors.Wrapf(err, "deployment %q", deployment)
	}
	descriptions, problems := config.ParseDescriptions(file, data)
	file = path.Join(deployment, "sheet.jsonc")
	data, err = files.ReadFile(file)
	if err != nil {
		return nil, errors.Wrapf(err, "deployment %q", deployment)
	}
	sheet, sheetProblems := config.ParseSheet(file, data)
	problems = append(problems, sheetProblems...)
	if len(problems) == 0 {
		var conf *config.Config
		conf, problems = config.Merge(descriptions, sheet)
		if len(problems) == 0 {
			return conf, nil
		}
	}
	return nil, config.Join(problems)
}
