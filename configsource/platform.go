package configsource

import (
	"context"

	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/core/membership"
)

// ConfigSource is the configuration service.
type ConfigSource interface {
	// Fetch returns the newest configuration if its version is higher than
	// newerThan. Otherwise, found is false. The envelope is not checked.
	Fetch(ctx context.Context, newerThan uint64) (e config.Envelope, found bool, err error)
}

// VMList is the platform's list of VMs.
type VMList interface {
	// Fetch returns the complete list. The records are not checked.
	Fetch(ctx context.Context) ([]membership.Record, error)
}
