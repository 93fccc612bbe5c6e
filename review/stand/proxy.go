//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// proxy is the project's signalling proxy as a process of its own.
type proxy struct {
	rec    *record
	dir    string // temporary folder
	listen string
	config map[string]any
	cmd    *exec.Cmd
	exited chan struct{}
}

func freeAddr(ip string) (string, error) {
	lis, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", err
	}
	defer lis.Close()
	return lis.Addr().String(), nil
}

// class is one class of call, as in the site's file.
type class struct {
	name                string
	aim, deadline, hold float64 // seconds
	worth, lateWorth    float64
}

// site is what the settings take from a site's file.
type site struct {
	zones                         []string
	classes                       []class
	drainGrace, fall              float64
	coldFrom, coldS, fallMultiple float64
	release, resend               float64
	maxAttempts                   int
	fields                        []string
	how                           string
}

var wa = site{zones: []string{"perth-metro", "goldfields", "pilbara"}, drainGrace: 1, fall: 3, coldFrom: 0.29, coldS: 15, fallMultiple: 3,
	release: 0.3, resend: 0.5, maxAttempts: 5, fields: []string{"x0", "x1", "util", "queue"}, how: "inline", classes: []class{
		{"status-check", 1.5, 9, 11.5, 1, 0.25}, {"entrapment-alarm", 1, 6, 6.9, 5, 0.25}, {"fault-log", 1.2, 9, 13.8, 3, 0.25}}}

var southWest = site{zones: []string{"bunbury"}, drainGrace: 0.25, fall: 2, coldFrom: 0.28, coldS: 14, fallMultiple: 3,
	release: 0.3, resend: 0.5, maxAttempts: 5, fields: []string{"x0", "x1"}, how: "off", classes: []class{
		{"status-report", 1.2, 9, 11, 1, 0.1}, {"entrapment-alarm", 1, 6, 8.8, 5, 0.25}}}

type object = map[string]any

func (s site) settings(exchanges int) object {
	var profiles []object
	var holds, widths []float64
	for _, c := range s.classes {
		profiles = append(profiles, object{"name": c.name, "aimS": c.aim, "deadlineS": c.deadline, "value": c.worth, "lateValue": c.lateWorth, "repeat": "safe"})
		holds, widths = append(holds, c.hold), append(widths, 1)
	}
	return object{
		"contract": object{"answerSlackS": 0.05, "coldFrom": s.coldFrom, "coldS": s.coldS, "fallMultiple": s.fallMultiple, "fallS": s.fall,
			"drainGraceS": s.drainGrace},
		"peersTotal": exchanges, "ordinal": 0, "failureDomains": s.zones, "discovery": "automatic", "clients": object{"marksRetry": true},
		"familyInfo": object{"holdingS": holds, "widths": widths, "selfNo": 0, "shape": "network", "releaseGuardS": s.release, "resendS": s.resend},
		"limits":     object{"maxAttempts": s.maxAttempts, "connectTimeoutS": 0.5, "retryAfter": true, "maxRetryAfterS": 2, "cancel": true},
		"telemetry":  object{"fields": s.fields, "how": s.how}, "profiles": profiles,
	}
}

// newProxy prepares the proxy of exchange 0 among switches at the exchanges 1, 2 and so on.
func newProxy(rec *record, dir string, s site, coordinator string, switches []*switchSim) (*proxy, error) {
	listen, err := freeAddr("127.0.0.1")
	if err != nil {
		return nil, err
	}
	var instances []object
	for _, sw := range switches {
		instances = append(instances, object{"instanceId": fmt.Sprintf("s-%08x", sw.id), "hostPort": sw.addr().String(), "zone": s.zones[sw.cell%len(s.zones)],
			"machineType": "single-core", "cell": sw.cell, "lifecycle": "Ready", "weight": 1, "startedAtMs": 0})
	}
	p := &proxy{rec: rec, dir: dir, listen: listen, config: object{"name": "n0", "listen": listen, "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1.0, "memory_mb": 96, "sockets": 512}, "coordinator": coordinator,
		"known":    object{"index": 1, "updates": []object{{"index": 1, "endpoints": object{"generation": 1, "reset": true, "instances": instances}}}},
		"settings": s.settings(len(switches) + 1)}}
	return p, p.writeConfig()
}

func (p *proxy) configFile() string { return filepath.Join(p.dir, "config.json") }

// know adds an event of the coordinator to the configuration, for the next start.
func (p *proxy) know(e event) error {
	var instances []object
	for _, x := range e.entries {
		instances = append(instances, object{"instanceId": fmt.Sprintf("s-%08x", x.id), "hostPort": x.addr.String(), "zone": "perth-metro",
			"machineType": "single-core", "cell": x.cell, "lifecycle": []string{"Ready", "Terminating", "Gone"}[x.state], "weight": 1, "startedAtMs": x.started})
	}
	known := p.config["known"].(object)
	known["index"] = e.index
	known["updates"] = append(known["updates"].([]object), object{"index": e.index,
		"endpoints": object{"generation": e.index, "reset": false, "instances": instances}})
	return p.writeConfig()
}

// writeConfig replaces the configuration file as a whole.
func (p *proxy) writeConfig() error {
	b, err := json.MarshalIndent(p.config, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.configFile()+".new", b, 0o600); err != nil {
		return err
	}
	return os.Rename(p.configFile()+".new", p.configFile())
}

// start starts the proxy with the command of the deploy file and waits until a test of it passes.
func (p *proxy) start(run string) error {
	log, err := os.OpenFile(filepath.Join(p.dir, "proxy.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command("/bin/sh", "-c", run)
	p.cmd.Env = append(os.Environ(), "NODE_NAME=n0", "NODE_LISTEN="+p.listen, "NODE_CONFIG="+p.configFile(), "TMPDIR="+p.dir)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.rec.log("proxy: started, process %d", p.cmd.Process.Pid)
	p.exited = make(chan struct{})
	go func() { _ = p.cmd.Wait(); p.rec.log("proxy: ended: %v", p.cmd.ProcessState); close(p.exited) }()
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if p.test() {
			p.rec.log("proxy: a test has passed")
			return nil
		}
	}
	return fmt.Errorf("the proxy was not ready in time")
}

// test is a front's test of the proxy.
func (p *proxy) test() bool {
	conn, err := net.DialTimeout("tcp4", p.listen, time.Second)
	if err != nil {
		return false
	}
	q := newPeer(conn)
	defer q.Close()
	_ = q.SetDeadline(time.Now().Add(time.Second))
	zero := 0
	if q.send(message{Type: "hb", Ref: "00000000000000aa", Cause: &zero}) != nil {
		return false
	}
	m, err := q.receive()
	return err == nil && m.Type == "hb_ok" && m.cause() == 1
}

func (p *proxy) signal(s syscall.Signal) {
	p.rec.log("proxy: %v", s)
	_ = p.cmd.Process.Signal(s)
}

// running reports whether the process has not ended.
func (p *proxy) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *proxy) kill() {
	if p.cmd != nil && p.running() {
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
}
