package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Bounds are the bounds of the deployment that a case uses.
type Bounds struct {
	MaxHold, Stop time.Duration
}

// jerami has the bounds of the site jerami-lelang.
var jerami = Bounds{MaxHold: 6 * time.Second, Stop: 900 * time.Millisecond}

const (
	clientHost = "pasar.example"
	clientKey  = "key-of-tenant-1"
	service    = "pasar-jerami"
)

// Cell is a small deployment: a store, minions, and hosts of the system.
type Cell struct {
	root    string // the repository
	dir     string // temporary files
	log     *Record
	store   *Store
	minions []*Minion
	hosts   []*Host
}

// Host is one process of the system.
type Host struct {
	cell                         *Cell
	name, ip                     string
	front, ready, control, store string
	process                      *exec.Cmd
	exited                       chan struct{}
}

func newCell(root string, log *Record) (c *Cell, err error) {
	c = &Cell{root: root, log: log, store: newStore()}
	c.dir, err = os.MkdirTemp("", "review-")
	return c, err
}

// close ends all processes and removes the temporary files.
func (c *Cell) close() {
	for _, h := range c.hosts {
		h.signal(syscall.SIGKILL)
		if h.process != nil {
			<-h.exited
		}
	}
	_ = os.RemoveAll(c.dir)
}

// configure writes a configuration with the given routes, in the order of their priority.
func (c *Cell) configure(routes ...string) {
	var list []map[string]any
	for priority, name := range routes {
		list = append(list, map[string]any{
			"name": name, "host": clientHost, wire["prefix"]: "/" + name + "/", "timeoutMs": 5000, wire["target"]: 1000,
			"priority": priority, "service": service, "attempts": 3, "stretch": 2,
		})
	}
	c.store.put("op/config", map[string]any{
		"version": 7, "routes": list,
		"services": []map[string]any{{"name": service, "admissionCheck": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 5000, "idleTimeoutMs": 60000},
		"tenants":  []map[string]any{{"name": "tenant-1", wire["keys"]: []string{clientKey}, "weight": 100, "maximum": map[string]any{}}},
	})
}

// addMinion starts a minion of 32 cores.
func (c *Cell) addMinion(id, kind string, behave func(task, spec string) time.Duration) (m *Minion, err error) {
	l, err := newLink()
	if err != nil {
		return nil, err
	}
	m = &Minion{id: id, service: service, rack: "r1", kind: kind, link: l, store: c.store, bounds: jerami, log: c.log, behave: behave}
	c.minions = append(c.minions, m)
	return m, m.begin()
}

// addHosts starts n hosts of the system, and waits until they are ready.
func (c *Cell) addHosts(n int) error {
	net2, net3 := os.Getpid()>>8&0x7f+100, os.Getpid()&0xff
	for i := range n {
		h := &Host{cell: c, name: fmt.Sprintf("edge-z%d-1", i+1), ip: fmt.Sprintf("127.%d.%d.%d", net2, net3, 10+i)}
		var err error
		for _, address := range []*string{&h.front, &h.ready, &h.control} {
			if *address, err = freeAddress(h.ip); err != nil {
				return err
			}
		}
		if h.store, err = c.store.serve(); err != nil {
			return err
		}
		c.hosts = append(c.hosts, h)
	}
	for _, h := range c.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range c.hosts {
		if err := h.waitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func freeAddress(ip string) (address string, err error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

var placeholder = regexp.MustCompile(`{{([a-zA-Z_.]+)}}`)

// settings renders the project's template as the platform does.
func (h *Host) settings() (text string, err error) {
	template, err := os.ReadFile(filepath.Join(h.cell.root, "platform", "settings.ini.tmpl"))
	if err != nil {
		return "", err
	}
	var seeds []string
	for _, other := range h.cell.hosts[:min(3, len(h.cell.hosts))] {
		seeds = append(seeds, other.control)
	}
	values := map[string]string{
		"node": h.name, "zone": "z1", "ip": h.ip, "limits.cpuShare": "0.4", "limits.memoryMb": "284",
		"listen.front": h.front, "listen.ready": h.ready, "listen.control": h.control,
		"seeds": strings.Join(seeds, ","), "platform.address": h.store, "advice": "127.0.0.1:9",
		"bounds.graceS": "6", "bounds.maxHoldMs": "6000", "bounds.stopMs": "900", "bounds.status_s": "120", "bounds.farX": "1.5",
		"bounds.configApplyMs": "2000", "bounds.revokeFailClosed": "false",
	}
	missing := ""
	text = placeholder.ReplaceAllStringFunc(string(template), func(match string) string {
		value, ok := values[match[2:len(match)-2]]
		if !ok {
			missing = match
		}
		return value
	})
	if missing != "" {
		return "", fmt.Errorf("no value for %s", missing)
	}
	return text, nil
}

// start starts the process with the command of the deploy file.
func (h *Host) start() error {
	text, err := h.settings()
	if err != nil {
		return err
	}
	path := filepath.Join(h.cell.dir, h.name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(h.cell.dir, h.name+".log"))
	if err != nil {
		return err
	}
	h.process = exec.Command(filepath.Join(h.cell.root, "target", "turmericspread-host"))
	h.process.Dir = h.cell.root
	h.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.cell.dir, "LANG=C", "TURMERICSPREAD_SETTINGS=" + path}
	h.process.Stdout, h.process.Stderr = output, output
	if err := h.process.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	go func(process *exec.Cmd, exited chan struct{}) {
		err := process.Wait()
		h.cell.log.write("exit", "host", h.name, "error", err)
		close(exited)
	}(h.process, h.exited)
	h.cell.log.write("host", "name", h.name, "pid", h.process.Process.Pid, "front", h.front)
	return nil
}

func (h *Host) signal(signal syscall.Signal) {
	if h.process != nil {
		_ = h.process.Process.Signal(signal)
	}
}

func (h *Host) waitReady(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + h.ready + "/-/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == 200 {
				return nil
			}
		}
	}
	return fmt.Errorf("host %s is not ready", h.name)
}

// client is a client with one open connection to a host.
type client struct {
	host *Host
	http *http.Client
}

func newClient(h *Host) *client {
	return &client{h, &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1}}}
}

// call makes one call and returns the status, or 0 and an error.
func (c *client) call(method, path string, body any) (status int, answer string, err error) {
	var reader io.Reader
	if body != nil {
		data, _ := json.Marshal(body)
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, "http://"+c.host.front+path, reader)
	if err != nil {
		return 0, "", err
	}
	req.Host = clientHost
	req.Header.Set("Authorization", "Bearer "+clientKey)
	req.Header.Set("X-Deadline-Ms", "3000")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	sent := time.Now()
	c.host.cell.log.write("send", "host", c.host.name, "call", method+" "+path)
	resp, err := c.http.Do(req)
	if err != nil {
		c.host.cell.log.write("broken", "host", c.host.name, "call", method+" "+path, "after", time.Since(sent).Milliseconds(), "error", err)
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	c.host.cell.log.write("answer", "host", c.host.name, "call", method+" "+path, "status", resp.StatusCode, "after", time.Since(sent).Milliseconds(),
		"body", strings.TrimSpace(string(data)), "error", err)
	return resp.StatusCode, string(data), err
}
