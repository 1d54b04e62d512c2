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
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/chestnutcourse/chestnutcourse/internal/testutil/platformstub"
)

// host is the host of all routes.
const host = "gate.example"

// site is a small deployment: a store, daemons and servers on loopback addresses.
type site struct {
	dir    string
	store  *platformstub.Stub
	stores *http.Server
	// storeAddress is where the store listens.
	storeAddress string
	daemons      []*daemon
	servers      []*server

	mu     sync.Mutex
	record *os.File
	began  time.Time
}

// newSite starts the store. The record of what happens goes to record.txt in the folder.
func newSite(folder string) (*site, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, store: platformstub.New(), record: record, began: time.Now(), storeAddress: listener.Addr().String()}
	s.stores = &http.Server{Handler: s.store, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.stores.Serve(listener) }()
	return s, nil
}

// close ends all processes and servers.
func (s *site) close() {
	for _, d := range s.daemons {
		d.kill()
	}
	for _, server := range s.servers {
		server.close()
	}
	_ = s.stores.Close()
	_ = s.record.Close()
	_ = os.RemoveAll(s.dir)
}

// note writes a line of the record.
func (s *site) note(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f "+format+"\n", append([]any{time.Since(s.began).Seconds()}, values...)...)
}

// route is a route of the configuration.
type route struct {
	prefix, kind, service string
	aim, timeout          time.Duration
}

// configure writes the configuration.
func (s *site) configure(routes []route, services map[string]bool) {
	var rules, clusters []any
	for _, r := range routes {
		rules = append(rules, map[string]any{
			"name": "r" + strings.Trim(r.prefix, "/"), "kind": r.kind, "targetLatency": r.aim.String(), "priority": 1,
			"match":  map[string]any{"pathPrefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeout": r.timeout.String(), "maxAttempts": 2},
		})
	}
	for name, keyed := range services {
		clusters = append(clusters, map[string]any{
			"name": name, "healthPath": "/health", "maxConnections": 257, "warmup": "3s", "warmupPerS": 11, "sharded": keyed, "warm": "1s",
		})
	}
	s.store.Set("config", "main", map[string]any{
		"version":   "00000007",
		"limits":    map[string]any{"headerBytes": 16384, "maxBodyBytes": 64 << 20, "headerTimeout": "3s", "idleTimeout": "15s"},
		"listeners": []any{map[string]any{"host": host, "routeRules": rules}},
		"clusters":  clusters,
	}, nil)
}

// daemon is one process of the system.
type daemon struct {
	name, front, ready, settings, log string
	command                           *exec.Cmd
	exited                            chan struct{}
}

// startDaemon starts a daemon by the command of the deploy file.
func (s *site) startDaemon() (*daemon, error) {
	ports, err := freePorts()
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("edge-a-%d", len(s.daemons)+1)
	d := &daemon{
		name: name, front: address(ports), ready: address(ports + 1),
		settings: filepath.Join(s.dir, name+".conf"), log: filepath.Join(s.dir, name+".log"),
	}
	text := strings.Join([]string{
		"nodeName=" + name, "role=gateway", "machineClass=edge", "serves=edge", "ip=127.0.0.1", "zone=a", "region=r", "zones.a=r",
		"endpoints.front=" + d.front, "endpoints.ready=" + d.ready,
		fmt.Sprintf("internalPorts=%d,%d", ports+2, ports+9), "initialStart=true",
		"limits.cpuShare=1", "limits.cpuCores=1", "limits.memoryMb=206", "limits.maxFds=2870", "limits.linkMbps=700.0",
		"discovery=platform", "entryMode=vip", "heartbeat=870ms", "platform.address=" + s.storeAddress, "platform.form=objects",
		"ruleParams=seedLag=3s,addrReuse=2s,contact=3000ms,ack=4000ms,drain=2000ms,grace=6s,lossSlack=200ms,apply=2000ms,retryRatio=0.2,retryWindow=10s,retrySlack=135,coldOver=1.5,coldSlack=5,holdMax=10000ms,thaw=300ms",
	}, "\n")
	if err := os.WriteFile(d.settings, []byte(text+"\n"), 0o600); err != nil {
		return nil, err
	}
	s.daemons = append(s.daemons, d)
	return d, d.start()
}

// start starts the process.
func (d *daemon) start() error {
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	words, err := deployCommand()
	if err != nil {
		return err
	}
	d.command = exec.Command(words[0], words[1:]...)
	d.command.Env = []string{"CHESTNUTCOURSE_CONFIG=" + d.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	d.command.Stdout, d.command.Stderr = log, log
	if err := d.command.Start(); err != nil {
		return err
	}
	d.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}(d.command, d.exited)
	return nil
}

// deployCommand returns the words of the role's command in the deploy file.
func deployCommand() ([]string, error) {
	content, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(content), "\n") {
		if text, found := strings.CutPrefix(line, "run = "); found {
			run, err := strconv.Unquote(strings.TrimSpace(text))
			return strings.Fields(run), err
		}
	}
	return nil, fmt.Errorf("the deploy file has no command")
}

// kill ends the process and waits for its end.
func (d *daemon) kill() {
	if d.command != nil && d.command.Process != nil {
		_ = d.command.Process.Kill()
		<-d.exited
	}
}

// awaitReady waits until all daemons are ready.
func (s *site) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: 300 * time.Millisecond}
	deadline := time.Now().Add(limit)
	for _, d := range s.daemons {
		for {
			response, err := client.Get("http://" + d.ready + "/readiness")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// leader returns the name of the daemon that the record names.
func (s *site) leader() string {
	o, ok := s.store.Get("chestnutcourse", "record")
	var record struct {
		Leader struct {
			VM string `json:"vm"`
		} `json:"leader"`
	}
	if !ok || json.Unmarshal(o.Spec, &record) != nil {
		return ""
	}
	return record.Leader.VM
}

// freePorts returns the first of ten free ports in a row.
func freePorts() (int, error) {
	for base := 11000 + os.Getpid()%500*10; base < 31000; base += 10 {
		free := true
		for port := base; port < base+10 && free; port++ {
			listener, err := net.Listen("tcp", address(port))
			if err != nil {
				free = false
				continue
			}
			_ = listener.Close()
		}
		if free && !given[base] {
			given[base] = true
			return base, nil
		}
	}
	return 0, fmt.Errorf("no ten free ports in a row")
}

// given are the ports that freePorts has returned.
var given = map[int]bool{}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
