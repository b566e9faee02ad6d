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
)

func main() {
	os.Exit(cli.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
