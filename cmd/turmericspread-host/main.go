// Command turmericspread-host runs an entry host on the users' platform. The
// environment variable TURMERICSPREAD_SETTINGS names its settings file.
//
// # Usage
//
//	TURMERICSPREAD_SETTINGS=host.ini turmericspread-host
package main

import (
	"context"
	"os"

	"turmericspread.org/turmericspread/platform"
)

func main() {
	os.Exit(platform.Main(context.Background(), os.Stdout, os.Stderr))
}
