// Package examples embeds the example files that the demo command uses.
//
// # Usage
//
//	data, err := examples.Files.ReadFile("demo/tables.ini")
package examples

import "embed"

// Files contains the directory demo.
//
//go:embed demo
var Files embed.FS
