// Command rig runs the cases of the second review: small deployments of the system on
// loopback, with stand-ins for clients, minions and the platform.
//
// # Usage
//
//	rig CASE REPOSITORY RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
// With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// broken holds how a rule was broken; it is empty if the rule held.
type broken []string

var cases = map[string]func(c *Cell, trouble bool) (broken, error){
	"reborn":    reborn,
	"kind":      rebornKind,
	"probation": probation,
	"gang":      gangWaits,
	"long":      longJob,
	"loop":      loop,
	"outage":    outage,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE REPOSITORY RECORD")
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Args[3]))
}

func runCase(name, root, record string) int {
	log, err := newRecord(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		return 2
	}
	cell, err := newCell(root, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		return 2
	}
	defer cell.close()
	done := make(chan int, 1)
	go func() { done <- play(name, cell, os.Getenv("TROUBLE") != "0") }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case status := <-done:
		return status
	case <-stop:
	case <-time.After(115 * time.Second):
		fmt.Println("the case took too long")
	}
	return 2
}

func play(name string, cell *Cell, trouble bool) int {
	found, err := cases[name](cell, trouble)
	if err != nil {
		cell.log.write("error", "error", err)
		fmt.Println("could not run:", err)
		return 2
	}
	if len(found) == 0 {
		cell.log.write("held")
		fmt.Println("the rule held")
		return 0
	}
	for i, line := range found {
		cell.log.write("broken", "rule", line)
		if i < 5 {
			fmt.Println(line)
		}
	}
	fmt.Println("the rule was broken", len(found), "times")
	return 1
}
