// Command review-cases plays one script case: it starts the project's entry hosts as
// separate processes beside stand-ins for the store, the minions and the clients.
//
//	review-cases ROOT DIR CASE
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
// With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit statuses.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// limit ends a case that hangs.
const limit = 110 * time.Second

func main() {
	const args = 4
	if len(os.Args) != args {
		fmt.Fprintln(os.Stderr, "usage: review-cases ROOT DIR CASE")
		os.Exit(exitCannotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// bench is what a case plays on.
type bench struct {
	rec     *recorder
	store   *store
	fleet   *fleet
	system  *system
	trouble bool
	kinds   []string // of the minions
}

func play(root, dir, name string) int {
	cases := map[string]func(*bench) (bool, error){
		"many-ends": manyEnds, "removed-queue": removedQueue, "reborn-kind": rebornKind,
		"accepted-at-removal": acceptedAtRemoval, "grown": grown,
	}
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitCannotRun
	}
	rec, err := newRecorder(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer func() { _ = os.RemoveAll(temp) }()
	b := &bench{rec: rec, fleet: &fleet{rec: rec}, trouble: os.Getenv("TROUBLE") != "0", kinds: []string{"a", "a", "a", "b"}}
	if name == "reborn-kind" {
		b.kinds = []string{"a", "a", "b", "b"}
	}
	rec.say("case %s, disruption %v", name, b.trouble)
	defer func() {
		if b.system != nil {
			b.system.close()
		}
	}()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		err := b.setUp(root, temp)
		broken := false
		if err == nil {
			broken, err = play(b)
		}
		done <- result{broken, err}
	}()
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			rec.say("the case could not run: %v", r.err)
			return exitCannotRun
		case r.broken:
			rec.say("the rule was broken")
			return exitBroken
		}
		rec.say("the rule held")
		return exitHeld
	case <-time.After(limit):
		rec.say("the case could not run: time is up")
		return exitCannotRun
	}
}

// Names of the deployment; the queue's settings are in config.
const (
	service   = "pasar-jerami"
	queueHost = "novo13.example"
	prefix    = "/lunas/"
	key       = "key-of-tenant-1"
	attempts  = 3
)

// config returns a configuration with the given version, with or without the queue.
func config(version int, withQueue bool) any {
	routes := []any{map[string]any{
		"name": "other", "host": queueHost, names.Prefix: "/other/", "service": service, "priority": 2, "attempts": attempts,
		"stretch": 2, names.Latency: 1000, "timeoutMs": 3000,
	}}
	if withQueue {
		routes = append(routes, map[string]any{
			"name": "lunas", "host": queueHost, names.Prefix: prefix, "service": service, "priority": 2, "attempts": attempts,
			"stretch": 2, names.Latency: 1000, "timeoutMs": 3000,
		})
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": service, "admissionCheck": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 30000},
		"tenants": []any{map[string]any{
			"name": "tenant-1", names.Keys: []string{key}, "weight": 10, "maximum": map[string]any{"cpu": 0, names.Memory: 0, "gpu": 0},
		}},
	}
}

// setUp starts the store, four minions and three entry hosts.
func (b *bench) setUp(root, temp string) (err error) {
	const hosts = 3
	ips, err := freeIPs(hosts + 1)
	if err != nil {
		return err
	}
	if b.store, err = startStore(b.rec, ips[hosts]); err != nil {
		return err
	}
	b.store.put("op/config", config(1, true))
	for i, kind := range b.kinds {
		id, rack := fmt.Sprintf("i-%010x", 0x2d1c00+i), fmt.Sprintf("r%d-0", i%2)
		if err := b.fleet.startMinion(b.store, ips[hosts], id, service, "boyolali", kind, rack); err != nil {
			return err
		}
	}
	if b.system, err = startSystem(b.rec, root, temp, b.store.address, ips[:hosts]); err != nil {
		return err
	}
	if err := b.system.waitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second) // traffic starts well after the machines
	return nil
}
