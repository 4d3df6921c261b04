// Package schema embeds the JSON Schemas that are the source of all messages
// and settings.
package schema

import "embed"

// Files holds messages.json and settings.json.
//
//go:embed *.json
var Files embed.FS
