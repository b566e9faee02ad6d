package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is one entry host: a machine of the platform with the process that the deploy
// file runs on it.
type host struct {
	name     string
	front    string
	ready    string
	settings string // path of the settings file
	log      *os.File
	cmd      *exec.Cmd
	exited   chan struct{}
}

// system is the set of entry hosts.
type system struct {
	rec   *recorder
	root  string // of the repository
	run   []string
	hosts []*host

	mu      sync.Mutex
	closing bool
}

// runLine returns the words of the line run in the deploy file.
func runLine(root string) (words []string, err error) {
	data, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		return nil, err
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(data)
	if match == nil {
		return nil, fmt.Errorf("deploy/system.toml has no line run")
	}
	return strings.Fields(string(match[1])), nil
}

// metricsPort is the port of the metrics in the deploy file.
const metricsPort = 9464

// freeIPs returns loopback addresses on which the metrics port is free.
func freeIPs(count int) (ips []string, err error) {
	for range 1000 {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
		listener, err := net.Listen("tcp", ip+":"+strconv.Itoa(metricsPort))
		if err != nil {
			continue
		}
		_ = listener.Close()
		if ips = append(ips, ip); len(ips) == count {
			return ips, nil
		}
	}
	return nil, fmt.Errorf("no free loopback address")
}

// freeAddress returns a free port of ip.
func freeAddress(ip string) string {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return ip + ":0"
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// placeholder matches the plain placeholders of a settings template.
var placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9_.]+)\}\}`)

// startSystem renders the settings from the project's template, with the figures of the
// site jerami-lelang, and starts the hosts.
func startSystem(rec *recorder, root, dir string, storeAddress string, ips []string) (s *system, err error) {
	s = &system{rec: rec, root: root}
	if s.run, err = runLine(root); err != nil {
		return nil, err
	}
	template, err := os.ReadFile(filepath.Join(root, "platform/settings.ini.tmpl"))
	if err != nil {
		return nil, err
	}
	zones := []string{"boyolali", "klaten", "salatiga"}
	var control []string
	for _, ip := range ips {
		control = append(control, freeAddress(ip))
	}
	for i, ip := range ips {
		zone := zones[i%len(zones)]
		h := &host{
			name: "edge-" + zone + "-1", front: freeAddress(ip), ready: freeAddress(ip),
			settings: filepath.Join(dir, fmt.Sprintf("settings-%d.ini", i)),
		}
		fields := map[string]string{
			"node": h.name, "zone": zone, "ip": ip, "limits.cpuShare": "0.4", "limits.memoryMb": "284",
			"listen.front": h.front, "listen.ready": h.ready, "listen.control": control[i],
			"seeds": strings.Join(control, ","), "platform.address": storeAddress, "advice": storeAddress,
			"bounds.graceS": "6", "bounds.maxHoldMs": "6000", "bounds.stopMs": "900", "bounds.status_s": "120",
			"bounds.farX": "1.5", "bounds.configApplyMs": "2000", "bounds.revokeFailClosed": "false",
		}
		text := placeholder.ReplaceAllStringFunc(string(template), func(p string) string { return fields[strings.Trim(p, "{}")] })
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		if h.log, err = os.Create(filepath.Join(dir, h.name+".log")); err != nil {
			return nil, err
		}
		s.hosts = append(s.hosts, h)
	}
	for _, h := range s.hosts {
		if err := s.start(h); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// start starts the process of a host.
func (s *system) start(h *host) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return nil
	}
	cmd := exec.Command(filepath.Join(s.root, s.run[0]), s.run[1:]...)
	cmd.Dir = s.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TURMERICSPREAD_SETTINGS=" + h.settings}
	cmd.Stdout, cmd.Stderr = h.log, h.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.cmd, h.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	s.rec.line("%s: process started", h.name)
	return nil
}

// kill sends SIGKILL to the process of a host and waits for its end.
func (s *system) kill(h *host) {
	_ = h.cmd.Process.Kill()
	<-h.exited
	s.rec.line("%s: process killed", h.name)
}

// close ends all processes.
func (s *system) close() {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	for _, h := range s.hosts {
		if h.cmd != nil {
			s.kill(h)
		}
	}
}

// waitReady waits until all hosts report ready.
func (s *system) waitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, h := range s.hosts {
		for {
			resp, err := http.Get("http://" + h.ready + "/-/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// call makes a client's call at one host and returns the status, 0 if there is no answer.
func (s *system) call(h *host, method, hostName, path, key string, body []byte) (status int, answer string) {
	const deadline = 3 * time.Second
	req, err := http.NewRequest(method, "http://"+h.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = hostName
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		s.rec.line("client: %s %s at %s: no answer: %v", method, path, h.name, err)
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	var data bytes.Buffer
	_, _ = data.ReadFrom(resp.Body)
	s.rec.line("client: %s %s at %s: %d %s", method, path, h.name, resp.StatusCode, bytes.TrimSpace(data.Bytes()))
	return resp.StatusCode, data.String()
}

// callAny makes a call at one host after the other until there is a final answer.
func (s *system) callAny(method, hostName, path, key string, body []byte) (status int, answer string) {
	for attempt := range 5 {
		status, answer = s.call(s.hosts[attempt%len(s.hosts)], method, hostName, path, key, body)
		if status != 0 && status != http.StatusServiceUnavailable && status != http.StatusGatewayTimeout && status != http.StatusTooManyRequests {
			return status, answer
		}
		time.Sleep(300 * time.Millisecond)
	}
	return status, answer
}
