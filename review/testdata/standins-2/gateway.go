package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// class is a class of requests of the settings.
type class struct {
	name, effect, scope string
	aim, giveUp, window float64
}

// deployment is what the configuration of a front end says.
type deployment struct {
	classes  []class
	tenants  []string
	fronts   int  // number of front ends; 0: one
	index    int  // number of this one
	miss     bool // a worker that lacks the function answers `nothing`; only an order loads it
	zones    string
	orders   bool
	probing  bool
	rate     [3]float64 // loads_within, loads_anyway, load_part
	drain    float64
	dial     float64
	connIdle float64
	memoryMB int
	sockets  int
}

// lahore has the classes and figures of lahore-payroll.
func lahore() deployment {
	return deployment{
		classes: []class{
			{"pay-preview", "pure", "all", 2.5, 6, 5},
			{"tax-check", "pure", "all", 1.5, 5, 5},
			{"salary-release", "side_effect", "all", 1.5, 6, 5},
		},
		tenants: []string{"indus-textiles", "ravi-pharmacy"}, zones: "lhr-dc1", orders: true, probing: true, drain: 0.5, dial: 0.25, connIdle: 15, memoryMB: 192, sockets: 1024,
	}
}

// ktm has the class and the figures of ktm-notify.
func ktm() deployment {
	d := lahore()
	d.classes = []class{{"compose", "pure", "all", 0.4, 2.5, 5}}
	d.tenants = []string{"himal-bank", "sajha-yatayat", "pahad-telecom", "bagmati-news", "tarai-agro"}
	d.zones, d.miss = "ktm-dc1", true
	return d
}

// settings returns the settings object under the names of the wire page.
func (d deployment) settings() map[string]any {
	classes := []any{}
	for _, c := range d.classes {
		classes = append(classes, map[string]any{"aim": c.aim, "dedup_scope": c.scope, "effect": c.effect, "gain": 3.0,
			"give_up": c.giveUp, "late_worth": 0.2, "name": c.name, "streamed": false, "window": c.window})
	}
	tenants := []any{}
	for _, name := range d.tenants {
		share := 1 / float64(len(d.tenants))
		tenants = append(tenants, map[string]any{"name": name, "quota_per_s": 190 * share, "share": share})
	}
	missMode, source, attempts := "load", "inline", 6
	if d.miss {
		missMode, source, attempts = "miss", "on_probe", 3
	}
	return map[string]any{
		"client_habits": map[string]any{"marks_retry": true},
		"family":        "warm",
		"family_info": map[string]any{"idle_price": 0.0, "keep": 8.1, "load_part": d.rate[2], "loads_anyway": d.rate[1],
			"loads_within": d.rate[0], "machine_mb": []any{106880.0, 105728.0}, "miss_mode": missMode, "order_limit": 10.0,
			"orders": d.orders, "says_company": true, "tells_warm": true,
			"report_x0": "share of memory that is at work or loading", "report_x1": "loads under way or waiting"},
		"index": d.index, "instances": max(1, d.fronts), "kinds": []any{"fast-5core", "std-5core"}, "locality": d.zones,
		"orgs":             tenants,
		"over_share_worth": 0.05,
		"policy_limits": map[string]any{"cancel": true, "conn_idle": d.connIdle, "cpu_us_per_request": 0.0,
			"cpu_us_per_s": 122209, "dial_timeout": d.dial, "max_retry_after": 2.0, "max_streams": 32, "may_tell": false,
			"most_held": 24441, "probing": d.probing, "retry_after": true, "second_copies": false, "send_cap": attempts},
		"prices": map[string]any{"connection": 0.0, "cross_zone": 0.0, "handshake": 0.0, "late_fail": 0.05, "moves": 0.0,
			"origin": 0.062, "peer": 0.0, "probe": 0.01, "registry_mode": 0.0, "waste": 0.05},
		"quantum":         0.002,
		"registry_mode":   "push",
		"report":          map[string]any{"fields": []any{"busy_reqs", "pending", "x0", "x1"}, "source": source},
		"request_classes": classes,
		"rules": map[string]any{"answer_slack": 0.008, "cold_from": 0.17, "fall": 1.0, "fall_multiple": 2.5,
			"must_ask_in": 10.0, "stop_sending_within": d.drain, "warm_after": 17.0},
		"scoring_mix": map[string]any{"whole": 0.45, "worst_class": 0.2, "worst_tenant": 0.1, "worst_window": 0.25},
		"tier":        0, "tiers": []any{"rule-workers"}, "value_by": "request", "weight_source": "nominal",
		"zones": []any{d.zones},
	}
}

// front is a front end: one process of bin/gateway, started with the run line of the deploy file.
type front struct {
	rec    *record
	addr   string
	config string
	log    string // file of its log
	cmd    *exec.Cmd
	ended  chan struct{}
}

// processes are all processes that were started, so that they are ended with the run.
var processes struct {
	mu  sync.Mutex
	all []*os.Process
	dir string
}

func endAll() {
	processes.mu.Lock()
	defer processes.mu.Unlock()
	for _, p := range processes.all {
		_ = p.Signal(syscall.SIGCONT)
		_ = p.Kill()
	}
	for _, p := range processes.all { // until each has been waited for
		for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
			if p.Signal(syscall.Signal(0)) != nil {
				break
			}
		}
	}
	if processes.dir != "" {
		_ = os.RemoveAll(processes.dir)
	}
}

// temporary returns the temporary folder of the run.
func temporary() string {
	processes.mu.Lock()
	defer processes.mu.Unlock()
	if processes.dir == "" {
		dir, err := os.MkdirTemp("", "review")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		processes.dir = dir
	}
	return processes.dir
}

func newFront(rec *record) *front {
	addr := freeAddress()
	_, port, _ := net.SplitHostPort(addr)
	return &front{rec: rec, addr: addr, config: filepath.Join(temporary(), "config-"+port+".json"),
		log: filepath.Join(temporary(), "gateway-"+port+".log")}
}

// write writes the configuration file.
func (f *front) write(d deployment, journalAddr string, known batch) {
	config := map[string]any{"name": "n1", "listen": f.addr, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits":  map[string]any{"cores": 1.0, "memory_mb": d.memoryMB, "sockets": d.sockets},
		"journal": journalAddr, "known": known, "settings": d.settings()}
	b, err := json.Marshal(config)
	if err == nil {
		err = os.WriteFile(f.config+".new", b, 0o644)
	}
	if err == nil {
		err = os.Rename(f.config+".new", f.config)
	}
	if err != nil {
		cannotRun("configuration: %v", err)
	}
}

// start starts the process and waits until it answers alive with good.
func (f *front) start() {
	log, err := os.OpenFile(f.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		cannotRun("log: %v", err)
	}
	f.cmd = exec.Command("/bin/sh", "-c", "exec bin/gateway")
	f.cmd.Env = append(os.Environ(), "GW_NAME=n1", "GW_LISTEN="+f.addr, "GW_CONFIG="+f.config)
	f.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	f.cmd.Stdout, f.cmd.Stderr = log, log
	if err := f.cmd.Start(); err != nil {
		cannotRun("gateway: %v", err)
	}
	log.Close()
	processes.mu.Lock()
	processes.all = append(processes.all, f.cmd.Process)
	processes.mu.Unlock()
	cmd, ended := f.cmd, make(chan struct{})
	f.ended = ended
	go func() {
		_ = cmd.Wait()
		f.rec.line("gateway process %d ended: %v", cmd.Process.Pid, cmd.ProcessState)
		close(ended)
	}()
	f.rec.line("gateway process %d started at %s", cmd.Process.Pid, f.addr)
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		c, err := dialClient(f.rec, f.addr)
		if err != nil {
			continue
		}
		good, err := c.alive()
		c.conn.Close()
		if err == nil && good {
			f.rec.line("gateway is good")
			return
		}
	}
	cannotRun("the gateway was not ready in 10 s")
}

func (f *front) signal(s syscall.Signal) {
	f.rec.line("signal %v to the gateway", s)
	if err := f.cmd.Process.Signal(s); err != nil {
		cannotRun("signal: %v", err)
	}
}

// copyLog writes what the gateway logged to the record.
func (f *front) copyLog() {
	b, _ := os.ReadFile(f.log)
	for line := range strings.SplitSeq(strings.TrimSpace(string(b)), "\n") {
		if line != "" {
			f.rec.line("log of the gateway: %s", line)
		}
	}
}
