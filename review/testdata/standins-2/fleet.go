package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// program is a process of one of the project's programs.
type program struct {
	rec   *record
	name  string
	log   string // file of its log
	args  []string
	cmd   *exec.Cmd
	ended chan struct{}
}

func startProgram(rec *record, dir, name string, args ...string) *program {
	p := &program{rec: rec, log: filepath.Join(dir, name+".log"), name: name, args: args}
	p.start()
	return p
}

func (p *program) start() {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		cannotRun("log: %v", err)
	}
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		cannotRun("%s: %v", p.name, err)
	}
	log.Close()
	processes.mu.Lock()
	processes.all = append(processes.all, p.cmd.Process)
	processes.mu.Unlock()
	cmd, ended := p.cmd, make(chan struct{})
	p.ended = ended
	go func() {
		_ = cmd.Wait()
		p.rec.line("%s: process %d ended: %v", p.name, cmd.Process.Pid, cmd.ProcessState)
		close(ended)
	}()
	p.rec.line("%s: process %d started", p.name, cmd.Process.Pid)
}

func (p *program) signal(s syscall.Signal) {
	p.rec.line("%s: signal %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

func (p *program) restart(s syscall.Signal) {
	p.signal(s)
	<-p.ended
	p.start()
}

func awaitPort(addr string) {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if conn, err := net.Dial("tcp", addr); err == nil {
			conn.Close()
			return
		}
	}
	cannotRun("nothing listens at %s", addr)
}

// fleet is a small deployment of the project's own programs.
type fleet struct {
	rec                *record
	registry, store    *program
	registers, workers []*program
	gateways           []*program
	gatewayAddr        []string
	dir, registryAddr  string
}

// startOwnFleet starts a fleet in a folder. functions are pairs of name and request type.
func startOwnFleet(rec *record, dir, settings, functions string, gateways, workers, registers int, workerFlags ...string) *fleet {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		cannotRun("folder: %v", err)
	}
	fl := &fleet{rec: rec, registryAddr: freeAddress(), dir: dir}
	fl.registry = startProgram(rec, dir, "registry", "bin/registry", "--listen", fl.registryAddr)
	storeAddr := freeAddress()
	fl.store = startProgram(rec, dir, "store", "bin/artifact-store", "--listen", storeAddr, "--folder", dir+"/store")
	awaitPort(storeAddr)
	awaitPort(fl.registryAddr)
	for _, f := range strings.Fields(functions) {
		name, kind, _ := strings.Cut(f, ":")
		folder := filepath.Join(dir, "package-"+name)
		binary, err := os.ReadFile("bin/payroll")
		if err == nil {
			err = os.MkdirAll(folder, 0o755)
		}
		if err == nil {
			err = os.WriteFile(filepath.Join(folder, "payroll"), binary, 0o755)
		}
		if err != nil {
			cannotRun("package: %v", err)
		}
		for _, args := range [][]string{
			{"bin/worker", "pack", folder, "--name", name, "--version", "1", "--type", kind, "--kind", "process", "--entry", "payroll", "--lanes", "4", "--memory", "64"},
			{"bin/lpctl", "publish", folder, "--store", "http://" + storeAddr},
		} {
			if out, err := exec.Command(args[0], args[1:]...).CombinedOutput(); err != nil {
				cannotRun("%v: %v %s", args, err, out)
			}
		}
	}
	var addresses []string
	for i := range registers {
		addr := freeAddress()
		addresses = append(addresses, addr)
		fl.registers = append(fl.registers, startProgram(rec, dir, fmt.Sprintf("register-%d", i), "bin/worker", "register", "--listen", addr, "--folder", fmt.Sprintf("%s/register-%d", dir, i)))
		awaitPort(addr)
	}
	for i := range workers {
		args := []string{"bin/worker", "--name", fmt.Sprintf("w%d", i), "--folder", fmt.Sprintf("%s/w%d", dir, i),
			"--store", "http://" + storeAddr, "--list", "http://" + fl.registryAddr, "--effects", fmt.Sprintf("%s/effects-%d", dir, i)}
		if registers > 0 {
			args = append(args, "--registers", strings.Join(addresses, ","))
		}
		args = append(args, workerFlags...)
		fl.workers = append(fl.workers, startProgram(rec, dir, fmt.Sprintf("w%d", i), args...))
	}
	fl.awaitWorkers(workers)
	settingsFile := dir + "/fleet.yaml"
	settings = strings.ReplaceAll(settings, "REGISTRY", "http://"+fl.registryAddr)
	if err := os.WriteFile(settingsFile, []byte(settings), 0o644); err != nil {
		cannotRun("settings: %v", err)
	}
	for i := range gateways {
		addr := freeAddress()
		fl.gatewayAddr = append(fl.gatewayAddr, addr)
		fl.gateways = append(fl.gateways, startProgram(rec, dir, fmt.Sprintf("gateway-%d", i), "bin/gateway", "--settings", settingsFile, "--listen", addr,
			"--index", fmt.Sprint(i), "--gateways", fmt.Sprint(gateways), "--name", fmt.Sprintf("gateway-%d", i), "--endpoint-cache", fmt.Sprintf("%s/list-%d", dir, i), "--log-level", "debug"))
		awaitPort(addr)
	}
	return fl
}

// effects returns how often each event had its effect, by the logs of the replicas.
func (fl *fleet) effects() map[string]int {
	count := map[string]int{}
	files, _ := filepath.Glob(fl.dir + "/effects-*")
	for _, file := range files {
		b, _ := os.ReadFile(file)
		for line := range strings.SplitSeq(string(b), "\n") {
			if name, found := strings.CutPrefix(line, "effect "); found {
				count[name]++
			}
		}
	}
	return count
}

// awaitWorkers waits until the registry lists as many workers.
func (fl *fleet) awaitWorkers(workers int) {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		answer, err := http.Get("http://" + fl.registryAddr + "/v1/workers")
		if err != nil {
			continue
		}
		b, _ := io.ReadAll(answer.Body)
		answer.Body.Close()
		if strings.Count(string(b), `"state":"in"`) == workers {
			return
		}
	}
	cannotRun("the workers did not register")
}
