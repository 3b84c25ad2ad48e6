// Package deploy embeds the example site configurations. The demo runs them, and new sites can start from them.
package deploy

import "embed"

// Sites contains the file NAME/site.ini of each example site.
//
//go:embed */site.ini
var Sites embed.FS
