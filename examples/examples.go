// Package examples embeds the files of the demo.
//
// # Usage
//
//	data, err := examples.Files.ReadFile("demo/tables.ini")
package examples

import "embed"

// Files holds the files of the demo.
//
//go:embed demo
var Files embed.FS
