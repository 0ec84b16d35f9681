package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// ownFleet is a fleet of our own programs on loopback: registry, artifact store, idempotency registers, workers and a
// gateway.
type ownFleet struct {
	*harness
	registry, store, registers string // addresses
	settings                   string
	answers                    map[string]string // by name of the request
}

// startOwnFleet starts the registry, a register, and the store with the packages of functions, by their types.
func startOwnFleet(h *harness, settings string, lanes int, functions map[string]string) *ownFleet {
	f := &ownFleet{harness: h, answers: map[string]string{}, registry: freeAddr(), store: freeAddr(), registers: freeAddr()}
	f.settings = filepath.Join(h.folder, "settings.yaml")
	check(os.WriteFile(f.settings, []byte(strings.ReplaceAll(settings, "REGISTRY", f.registry)), 0o644))
	h.runTool("bin/lpctl", "check", f.settings)
	h.startProgram("registry", nil, "bin/registry", "--listen", f.registry)
	h.startProgram("store", nil, "bin/artifact-store", "--listen", f.store, "--folder", filepath.Join(h.folder, "store"))
	h.startProgram("register", nil, "bin/worker", "register", "--listen", f.registers,
		"--folder", filepath.Join(h.folder, "register"))
	for _, addr := range []string{f.registry, f.store, f.registers} {
		awaitAddr(addr)
	}
	program, err := os.ReadFile(filepath.Join(h.root, "review", "bin", "payroll"))
	check(err)
	for function, requestType := range functions {
		pack := filepath.Join(h.folder, "package-"+function)
		check(os.MkdirAll(pack, 0o755))
		check(os.WriteFile(filepath.Join(pack, "payroll"), program, 0o755))
		h.runTool("bin/worker", "pack", pack, "--name", function, "--version", "1", "--type", requestType,
			"--kind", "process", "--entry", "payroll", "--lanes", strconv.Itoa(lanes), "--memory", "64")
		h.runTool("bin/lpctl", "publish", "--store", "http://"+f.store, pack)
	}
	return f
}

// startFrontEnd starts a gateway of the fleet and returns its address.
func (f *ownFleet) startFrontEnd(index, gateways int) string {
	addr := freeAddr()
	f.startGateway(fmt.Sprintf("gateway-%d", index), nil, fmt.Sprintf("--settings %s --index %d --gateways %d "+
		"--name gateway-%d --listen %s --log-level debug --log-format json", f.settings, index, gateways, index, addr))
	awaitAddr(addr)
	return addr
}

// startWorker starts a worker of cell 1, and returns it with the log of its effects.
func (f *ownFleet) startWorker(name, listen string, flags ...string) (*process, *effectLog) {
	effects := filepath.Join(f.folder, name+".effects")
	p := f.startProgram(name, nil, append([]string{"bin/worker", "--name", name, "--listen", listen,
		"--folder", filepath.Join(f.folder, name), "--store", "http://" + f.store, "--list", "http://" + f.registry,
		"--cell", "1", "--effects", effects, "--registers", f.registers, "--log-level", "info"}, flags...)...)
	awaitAddr(listen)
	time.Sleep(300 * time.Millisecond)
	return p, &effectLog{worker: name, path: effects}
}
