package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// wire holds the names of the platform's protocols that the project's Go files outside
// platform/ must not contain.
var wire = func() (names map[string]string) {
	if err := json.Unmarshal(namesFile, &names); err != nil {
		panic(err)
	}
	return names
}()
