package main

import (
	_ "embed"
	"strings"
)

// namesText has the names of the platform's protocols, which no Go file outside the project's
// platform package may have.
//
//go:embed names.txt
var namesText string

var names = func() map[string]string {
	m := map[string]string{}
	for _, line := range strings.Split(strings.TrimSpace(namesText), "\n") {
		own, wire, _ := strings.Cut(line, " ")
		m[own] = wire
	}
	return m
}()
