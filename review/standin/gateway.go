//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
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

// gateway is one machine that runs the gateway of the deploy file.
type gateway struct {
	run   *caseRun
	name  string
	site  string
	ip    string
	ready string
	front string
	env   []string

	process *exec.Cmd
	exited  chan struct{} // closed when process has ended
	log     string        // path of the latest log
	starts  int
}

// deployFile is the deploy file, relative to the repository's root, in which the stand-in is started.
const deployFile = "deploy/system.toml"

// network is the first part of the loopback addresses of the machines of this run.
var network = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250))

func newGateway(c *caseRun, name, site string, index int) (*gateway, error) {
	storeAddress, err := c.store.listen(name)
	if err != nil {
		return nil, err
	}
	regions, err := json.Marshal(regionOf)
	if err != nil {
		return nil, err
	}
	ip := fmt.Sprintf("%s.%d", network, index+1)
	g := &gateway{run: c, name: name, site: site, ip: ip, ready: ip + ":8140", front: ip + ":8144"}
	g.env, err = deployEnvironment(map[string]string{
		"node": name, "zone": site, "region": regionOf[site], "zones|json": string(regions), "ip": ip,
		"listen.front": g.front, "listen.ready": g.ready, "internalPorts.0": "7660", "provider.addr": storeAddress,
		"bounds.grace": "6s", "bounds.drain": "2000ms", "bounds.config": "2000ms", "heartbeat": "1500ms",
		"limits.memoryMb": "284", "limits.maxFds": "4100", "bounds.retryRatio": "0.2", "bounds.retrySlack": "60",
		"bounds.retryWindow": "10s", "bounds.probesPerS": "60",
	})
	return g, err
}

var (
	envLine     = regexp.MustCompile(`(?m)^(BILBERRY_[A-Z_]+) = "(.*)"$`)
	placeholder = regexp.MustCompile(`\{\{([^}]+)\}\}`)
	runLine     = regexp.MustCompile(`(?m)^run = "(.*)"$`)
)

// deployEnvironment returns the environment of the deploy file with its placeholders filled in.
func deployEnvironment(values map[string]string) ([]string, error) {
	text, err := os.ReadFile(deployFile)
	if err != nil {
		return nil, err
	}
	env := []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8"}
	for _, line := range envLine.FindAllStringSubmatch(string(text), -1) {
		value := placeholder.ReplaceAllStringFunc(line[2], func(p string) string { return values[strings.Trim(p, "{}")] })
		env = append(env, line[1]+"="+value)
	}
	return env, nil
}

// command returns the command of the deploy file.
func command() ([]string, error) {
	text, err := os.ReadFile(deployFile)
	if err != nil {
		return nil, err
	}
	found := runLine.FindStringSubmatch(string(text))
	if found == nil {
		return nil, errNoCommand
	}
	return strings.Fields(found[1]), nil
}

func (g *gateway) start() error {
	args, err := command()
	if err != nil {
		return err
	}
	g.starts++
	g.log = filepath.Join(g.run.dir, fmt.Sprintf("%s-%d.log", g.name, g.starts))
	out, err := os.Create(g.log)
	if err != nil {
		return err
	}
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Env, cmd.Stdout, cmd.Stderr = g.env, out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
	g.process, g.exited = cmd, exited
	g.run.note("%s: process started at %s in %s", g.name, g.ip, g.site)
	return nil
}

func (g *gateway) signal(s syscall.Signal) {
	g.run.note("%s: %v", g.name, s)
	_ = g.process.Process.Signal(s)
}

// kill ends the process if it still runs.
func (g *gateway) kill() {
	if g.process == nil {
		return
	}
	_ = g.process.Process.Signal(syscall.SIGCONT)
	_ = g.process.Process.Kill()
	<-g.exited
}

func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + g.ready + "/bilberryline/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (g *gateway) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if g.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s: %w", g.name, errNotReady)
}

// awaitExit waits for the end of the process.
func (g *gateway) awaitExit(limit time.Duration) error {
	select {
	case <-g.exited:
		g.run.note("%s: process ended", g.name)
		return nil
	case <-time.After(limit):
		return fmt.Errorf("%s: %w", g.name, errStillRuns)
	}
}

// watchesStore reports by the log of the process whether it watches the store itself.
func (g *gateway) watchesStore() bool {
	text, err := os.ReadFile(g.log)
	if err != nil {
		return false
	}
	return bytes.LastIndex(text, []byte("BL1104 ")) > bytes.LastIndex(text, []byte("BL1105 "))
}

// dial connects to the address for callers.
func (g *gateway) dial() (net.Conn, error) { return net.DialTimeout("tcp", g.front, time.Second) }
