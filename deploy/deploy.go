// Package deploy holds the site configurations that the demo runs and that a clone can start from.
package deploy

import "embed"

// Sites holds NAME/site.ini for each site.
//
//go:embed */site.ini
var Sites embed.FS
