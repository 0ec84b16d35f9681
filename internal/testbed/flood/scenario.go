package flood

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"lupinpond/internal/gateway/discovery"
	"lupinpond/internal/testbed/discoverytest"
	"lupinpond/internal/testbed/processlimit"
	"lupinpond/internal/testbed/subprocess"
)

// Scenario is a flood of one gateway that runs with a share of a processor and a memory limit.
type Scenario struct {
	Program     string // path of the gateway program
	Dir         string // existing directory for the configuration and the log
	Kind        Kind
	Connections int           // connections of the flood
	Effect      string        // effect of the flood's request class, as in the settings; empty: the flood sends pure requests
	Function    string        // function of the flood's requests; empty: a new one for each
	Returning   bool          // another client closes its connections with requests unread and sends these again
	Cores       float64       // share of a processor that the gateway gets
	StatedCores float64       // share of a processor in the configuration; 0: Cores
	MemoryMB    int           // memory limit in the configuration; the scenario reports the peak and does not enforce it
	Sockets     int           // descriptor limit in the configuration
	Before      time.Duration // time before the flood
	Length      time.Duration // length of the flood
	After       time.Duration // time after the flood
	Seed        uint64
}

// Outcome is the outcome of a scenario.
type Outcome struct {
	Before, During, After Result // what usual clients saw, by the phase in which they sent their requests
	PeakMemory            int64  // largest resident memory of the gateway, in bytes
	CPUTime               time.Duration
	Written               int64         // bytes that the flood has written
	FloodExecutions       int           // executions of requests of the flood
	RanTwice              int           // requests of the flood with more than one execution
	Departures            int           // requests whose client closed its connection and sent them again
	SentAfterLeaving      int           // of these, requests that were sent to a worker in between
	Alive                 time.Duration // time until the gateway told, during the flood, that it is ready
}

func (o Outcome) String() string {
	return fmt.Sprintf("before: %v\nduring: %v\nafter:  %v\npeak memory %.1f MB, CPU %v, flood wrote %.1f MB, ran %d, "+
		"twice %d, left with %d of which %d sent on, alive answered in %v", o.Before, o.During, o.After, float64(o.PeakMemory)/(1<<20),
		o.CPUTime.Round(time.Millisecond), float64(o.Written)/(1<<20), o.FloodExecutions, o.RanTwice,
		o.Departures, o.SentAfterLeaving, o.Alive.Round(time.Millisecond))
}

const (
	workers          = 10
	usualConnections = 4
	usualRate        = 60 // requests per second
	usualWait        = 1500 * time.Millisecond
	floodWait        = 1500 * time.Millisecond
	startTimeout     = 20 * time.Second
	stopTimeout      = 5 * time.Second
	aliveTimeout     = 10 * time.Second
	classUsual       = "usual"
	classFlood       = "flood"

	// returningFunction is the function of the requests that returning clients send.
	returningFunction = "0000000000000001"
)

// Play plays a scenario.
func Play(scenario Scenario) (outcome Outcome, err error) {
	floodExecutions := &executions{class: classFlood, times: map[string][]time.Time{}}
	var endpoints []discovery.Endpoint
	for i := range workers {
		worker, err := startWorker(floodExecutions)
		if err != nil {
			return outcome, err
		}
		defer worker.listener.Close()
		endpoints = append(endpoints, discovery.Endpoint{Name: fmt.Sprintf("s-%d", i),
			Addr: worker.listener.Addr().String(), Zone: "z", Kind: "std", State: discovery.Up, Size: 4})
	}
	service, err := discoverytest.New(endpoints)
	if err != nil {
		return outcome, err
	}
	starter := subprocess.NewStarter()
	defer starter.Close()
	gateway, addr, err := scenario.startGateway(starter, service.Addr, endpoints)
	if err != nil {
		return outcome, errors.Join(err, service.Close())
	}
	pid := gateway.Process.Pid
	quota := processlimit.LimitCPU(pid, scenario.Cores)
	outcome.Before = scenario.runUsual(addr, scenario.Before)
	flood := Start(Options{Addr: addr, Kind: scenario.Kind, Connections: scenario.Connections, Seed: scenario.Seed,
		Class: classFlood, Wait: floodWait, Function: scenario.Function})
	alive := make(chan error, 1)
	time.AfterFunc(scenario.Length/2, func() {
		var err error
		outcome.Alive, err = Alive(addr, aliveTimeout)
		alive <- err
	})
	returned := make(chan []departure, 1)
	leaveCtx, stopLeaving := context.WithCancel(context.Background())
	defer stopLeaving()
	if scenario.Returning {
		options := Options{Addr: addr, Seed: scenario.Seed + 1, Class: classFlood, Wait: floodWait,
			Function: returningFunction}
		go func() { returned <- runReturning(leaveCtx, options) }()
	} else {
		returned <- nil
	}
	cpuBefore := processlimit.CPUTime(pid)
	outcome.During = scenario.runUsual(addr, scenario.Length)
	outcome.CPUTime = processlimit.CPUTime(pid) - cpuBefore
	outcome.Written = flood.Stop()
	stopLeaving()
	departures := <-returned
	if err := <-alive; err != nil {
		return outcome, errors.Join(fmt.Errorf("health check: %w", err), stopGateway(gateway), service.Close())
	}
	outcome.After = scenario.runUsual(addr, scenario.After)
	outcome.Departures, outcome.SentAfterLeaving = len(departures), floodExecutions.sentAfterLeaving(departures)
	outcome.FloodExecutions, outcome.RanTwice = floodExecutions.total(), floodExecutions.repeated()
	outcome.PeakMemory, err = processlimit.PeakMemory(pid)
	quota.Stop()
	return outcome, errors.Join(err, stopGateway(gateway), service.Close())
}

func (s Scenario) runUsual(addr string, length time.Duration) Result {
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	clients := UsualClients{Addr: addr, Connections: usualConnections, Rate: usualRate, Class: classUsual,
		Wait: usualWait, Seed: s.Seed + uint64(time.Now().UnixNano())}
	return clients.Run(ctx)
}

// startGateway starts the gateway, bound to one processor, and waits until it is ready.
func (s Scenario) startGateway(starter *subprocess.Starter, discoveryAddr string, endpoints []discovery.Endpoint) (
	gateway *exec.Cmd, addr string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	addr = listener.Addr().String()
	listener.Close()
	config, err := json.Marshal(s.config(addr, discoveryAddr, endpoints))
	if err != nil {
		return nil, "", err
	}
	path := filepath.Join(s.Dir, "config.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, "", err
	}
	log, err := os.Create(filepath.Join(s.Dir, "gateway.log"))
	if err != nil {
		return nil, "", err
	}
	defer log.Close()
	gateway = exec.Command(s.Program)
	gateway.Env = append(os.Environ(), "GW_CONFIG="+path)
	gateway.Stderr = log
	if err := starter.Start(gateway); err != nil {
		return nil, "", err
	}
	if err := processlimit.Bind(gateway.Process.Pid, int(s.Seed)); err != nil {
		return nil, "", errors.Join(err, stopGateway(gateway))
	}
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(redialInterval) {
		if _, err := Alive(addr, time.Second); err == nil {
			return gateway, addr, nil
		}
		if time.Now().After(deadline) {
			return nil, "", errors.Join(errors.New("the gateway is not ready"), stopGateway(gateway))
		}
	}
}

// stopGateway ends the gateway with SIGTERM, or with SIGKILL if it does not end in time.
func stopGateway(gateway *exec.Cmd) error {
	if err := gateway.Process.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("the gateway has ended: %w", err)
	}
	kill := time.AfterFunc(stopTimeout, func() { _ = gateway.Process.Kill() }) // fails if it has ended
	defer kill.Stop()
	return gateway.Wait()
}

// object is a JSON object.
type object map[string]any

// config returns the configuration of the gateway.
func (s Scenario) config(addr, discoveryAddr string, endpoints []discovery.Endpoint) object {
	effect := s.Effect
	if effect == "" {
		effect = "pure"
	}
	update := &discovery.Update{Complete: true, Endpoints: endpoints}
	return object{
		"name":    "n0",
		"listen":  addr,
		"seed":    fmt.Sprintf("%x", s.Seed+1),
		"journal": discoveryAddr,
		"limits":  object{"cores": cmp.Or(s.StatedCores, s.Cores), "memory_mb": s.MemoryMB, "sockets": s.Sockets},
		"known":   discovery.Batch{Position: 1, Events: []discovery.Event{{Position: 1, Update: update}}},
		"settings": object{
			"index": 0, "instances": 1, "quantum": 0.002, "weight_source": "nominal", "kinds": []string{"std"},
			"family_info": object{"keep": 10, "orders": true, "miss_mode": "load", "order_limit": 4,
				"machine_mb": []int{64 << 10}, "loads_within": 5, "loads_anyway": 30, "load_part": 0.5},
			"policy_limits": object{"cancel": true, "conn_idle": 15, "dial_timeout": 0.25, "max_streams": 32, "send_cap": 6,
				"probing": true, "retry_after": true, "max_retry_after": 2},
			"rules": object{"stop_sending_within": 0.5, "cold_from": 0.3, "warm_after": 6, "fall_multiple": 2.5, "fall": 1},
			"request_classes": []object{
				{"name": classUsual, "effect": "pure", "aim": 0.5, "give_up": usualWait.Seconds()},
				{"name": classFlood, "effect": effect, "aim": 0.5, "give_up": floodWait.Seconds(), "window": 5},
			},
		},
	}
}
