// Command turmericspread runs entry processes and is their command-line client.
//
// # Usage
//
//	turmericspread serve --settings entry.ini
//	turmericspread --help
package main

import (
	"context"
	"os"

	"turmericspread.org/turmericspread/internal/cli"
	"turmericspread.org/turmericspread/platform"
)

func main() {
	program := cli.Program{DecodeTables: platform.DecodeTables}
	os.Exit(program.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
