// Command standin runs stand-ins for the services of the platform, and the demo.
//
// # Usage
//
//	standin demo
//	standin run --cell examples/co-operative/cell.ini
package main

import (
	"context"
	"os"

	"turmericspread.org/turmericspread/internal/demo"
)

func main() {
	os.Exit(demo.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
