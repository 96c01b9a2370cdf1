//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// deployFile holds what the deploy file says about the gateway.
type deployFile struct {
	command []string
	env     map[string]string
}

var assignment = regexp.MustCompile(`^([A-Za-z_]+) = "(.*)"$`)

// readDeployFile reads the command and the environment of the role from the deploy file.
func readDeployFile(path string) (deployFile, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return deployFile{}, err
	}
	d := deployFile{env: map[string]string{}}
	section := ""
	for _, line := range strings.Split(string(data), "\n") {
		if strings.HasPrefix(line, "[") {
			section = line
			continue
		}
		m := assignment.FindStringSubmatch(line)
		switch {
		case m == nil:
		case section == "[roles.gateway]" && m[1] == "run":
			d.command = strings.Fields(m[2])
		case section == "[roles.gateway.env]":
			d.env[m[1]] = m[2]
		}
	}
	if len(d.command) == 0 {
		return d, &caseError{path + " has no command"}
	}
	return d, nil
}

var placeholder = regexp.MustCompile(`\{\{([a-zA-Z.0-9]+)(\|json)?\}\}`)

// fill replaces the placeholders of a text. A placeholder without a value becomes the empty text.
func fill(text string, settings map[string]string) string {
	return placeholder.ReplaceAllStringFunc(text, func(p string) string { return settings[placeholder.FindStringSubmatch(p)[1]] })
}

// zones are those of a small deployment with their regions.
var zones = []string{"cluj-a", "iasi-a", "ploiesti-a", "sibiu-b", "bacau-b", "pitesti-b"}

var regions = map[string]string{"cluj-a": "transilvania", "iasi-a": "moldova", "ploiesti-a": "muntenia",
	"sibiu-b": "transilvania", "bacau-b": "moldova", "pitesti-b": "muntenia"}

// gateway is one host of the system.
type gateway struct {
	name, zone, ip string
	front, ready   string
	deploy         deployFile
	environment    []string
	dir            string
	rec            *record

	mu        sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{}
	starts    int
	touchedAt time.Time // last start or signal
	signalled bool      // it got a signal since its last start
}

func freePort(ip string) (string, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	_, port, err := net.SplitHostPort(ln.Addr().String())
	return port, err
}

// newGateway returns a host with the settings of a small deployment.
func newGateway(d deployFile, n int, storeAddress, dir string, rec *record, extra map[string]string) (*gateway, error) {
	zone := zones[n%len(zones)]
	g := &gateway{name: fmt.Sprintf("edge-%s-%d", zone, n/len(zones)+1), zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", 16+os.Getpid()%200, os.Getpid()/200%250, n+1), deploy: d, dir: dir, rec: rec}
	var ports [3]string
	for i := range ports {
		var err error
		if ports[i], err = freePort(g.ip); err != nil {
			return nil, err
		}
	}
	g.front, g.ready = g.ip+":"+ports[0], g.ip+":"+ports[1]
	zonesJSON, err := json.Marshal(regions)
	if err != nil {
		return nil, err
	}
	settings := map[string]string{
		"node": g.name, "zone": zone, "region": regions[zone], "zones": string(zonesJSON), "ip": g.ip,
		"listen.front": g.front, "listen.ready": g.ready, "internalPorts.0": ports[2], "provider.addr": storeAddress,
		"bounds.grace": "6s", "bounds.drain": "2000ms", "bounds.config": "2000ms", "heartbeat": "1500ms",
		"limits.memoryMb": "284", "limits.maxFds": "4100", "bounds.retryRatio": "0.2", "bounds.retrySlack": "60",
		"bounds.retryWindow": "10s", "bounds.probesPerS": "60",
	}
	for k, v := range extra {
		settings[k] = v
	}
	for _, name := range []string{"PATH", "HOME"} {
		g.environment = append(g.environment, name+"="+os.Getenv(name))
	}
	for name, text := range d.env {
		g.environment = append(g.environment, name+"="+fill(text, settings))
	}
	return g, nil
}

func (g *gateway) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.starts++
	log, err := os.Create(filepath.Join(g.dir, fmt.Sprintf("%s.%d.log", g.name, g.starts)))
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(g.deploy.command[0], g.deploy.command[1:]...)
	cmd.Env, cmd.Stdout, cmd.Stderr = g.environment, log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.cmd, g.exited, g.touchedAt, g.signalled = cmd, exited, time.Now(), false
	g.rec.add("%s starts at %s", g.name, g.front)
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.touchedAt, g.signalled = time.Now(), true
	g.rec.add("%s gets %s", g.name, s)
	_ = g.cmd.Process.Signal(s)
}

// awaitExit waits until the process has ended, or kills it after the grace time.
func (g *gateway) awaitExit(grace time.Duration) {
	g.mu.Lock()
	cmd, exited := g.cmd, g.exited
	g.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(grace):
		_ = cmd.Process.Kill()
		<-exited
	}
	g.rec.add("%s has ended", g.name)
}

func (g *gateway) lastTouched() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.touchedAt
}

// takesCallers reports whether the platform's balancer sends new callers to the host.
func (g *gateway) takesCallers() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.signalled && time.Since(g.touchedAt) >= stability
}

var readyClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (g *gateway) isReady() bool {
	resp, err := readyClient.Get("http://" + g.ready + "/bilberryline/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (g *gateway) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if g.isReady() {
			return nil
		}
	}
	return &caseError{fmt.Sprintf("%s isn't ready after %s", g.name, limit)}
}

func (g *gateway) kill() {
	g.mu.Lock()
	cmd, exited := g.cmd, g.exited
	g.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-exited
}
