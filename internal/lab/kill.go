package lab

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"pipitring/internal/capture"
	"pipitring/internal/records"
	"pipitring/internal/rules"
	"pipitring/internal/standin"
)

// KillOptions are the options of killing a real router process under load.
type KillOptions struct {
	Kills        int       // number of kills under load; one more follows after all calls have ended
	Rate         float64   // calls per second; 0 is 400
	Seed         uint64    // seed of the calls and the times of the kills
	Progress     io.Writer // gets a line for every 20 kills; nil for none
	ServeCommand []string  // command that runs a router; the settings file is appended as its last argument. Empty is this program
}

// KillResult is the result of auditing the records after the kills.
type KillResult struct {
	Kills          int     `json:"kills"`
	Calls          int     `json:"calls"`
	Answered       int     `json:"answered"`  // final answers that callers received
	Recovered      int     `json:"recovered"` // records of calls that a recovery closed
	Records        int     `json:"records"`
	Missing        int     `json:"records_missing"`
	Duplicated     int     `json:"records_doubled"`
	Wrong          int     `json:"records_wrong"` // records whose end differs from the capture
	ViolationCount int     `json:"rules_broken"`
	LongestStartMS float64 `json:"longest_start_ms"` // from the start of the process until it serves

	Problems []string `json:"found,omitempty"`
}

// Good reports whether no record was missing, duplicated or wrong, and no rule was violated.
func (r *KillResult) Good() bool {
	return r.Missing+r.Duplicated+r.Wrong+r.ViolationCount+len(r.Problems) == 0
}

// RunKills runs a router as a separate process, offers calls through it, kills it at random times with SIGKILL and restarts
// it with the same records. The callers' capture shows which calls must have a record.
func RunKills(ctx context.Context, o KillOptions) (*KillResult, error) {
	if o.Rate == 0 {
		o.Rate = 400
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	dir, err := os.MkdirTemp("", "pipitring-kill-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // a temporary directory: the system removes what remains
	res := &KillResult{Kills: o.Kills}
	rep, err := runChecked(func(tap *capture.Writer) error { return killRepeatedly(ctx, o, dir, tap, res) })
	if err != nil {
		return nil, err
	}
	res.Calls, res.ViolationCount = rep.Tries, len(rep.Violations)
	res.Answered = rep.Count(rules.Answered) + rep.Count(rules.Refused) + rep.Count(rules.Failed)
	for _, b := range rep.Violations[:min(len(rep.Violations), 20)] {
		res.Problems = append(res.Problems, b.String())
	}
	return res, res.audit(filepath.Join(dir, "records"), rep)
}

// audit opens the records once more, which closes the calls that the last kill left open, and checks the record of every
// call.
func (r *KillResult) audit(dir string, rep *rules.Report) error {
	rec, err := records.Open(records.Options{Dir: dir, Router: 0, MaxBatch: 1, HeartbeatInterval: time.Second})
	if err != nil {
		return err
	}
	audit := RecordsAudit{}
	stored, err := readStoredRecords(rec.Store(), 0, &audit)
	if err == nil {
		err = rec.Close()
	} else {
		_ = rec.Close()
	}
	if err != nil {
		return err
	}
	audit.match(rep.TryDetails, storedRecords{0: stored}, nil)
	r.Records, r.Recovered, r.Missing, r.Duplicated, r.Wrong = audit.Records, audit.Recovered, audit.Missing, audit.Duplicated, audit.Wrong
	r.Problems = append(r.Problems, audit.Problems...)
	return nil
}

// killRepeatedly runs the switch, the callers and the router's process, and kills and restarts the process.
func killRepeatedly(ctx context.Context, o KillOptions, dir string, tap *capture.Writer, res *KillResult) error {
	tap.Notice(time.Now(), callsParameters())
	sw, err := standin.NewSwitch(anyPort, standin.SwitchSpec{Exchange: 1, Rate: 1e9, QueueWait: time.Second, Lines: 1e6,
		RingTime: 5 * time.Millisecond}, o.Seed, tap)
	if err != nil {
		return err
	}
	defer sw.Close()
	listenAddr, err := freePort()
	if err != nil {
		return err
	}
	httpAddr, err := freePort()
	if err != nil {
		return err
	}
	file, err := writeKillSettings(dir, listenAddr, httpAddr, sw.Addr())
	if err != nil {
		return err
	}
	c, err := standin.NewCallers(anyPort, listenAddr, standin.CallersSpec{Exchange: 0, Rate: o.Rate, Weights: []float64{0, 1},
		Classes: []standin.CallerClass{{Name: callsClass, Share: 1, Hold: callsHoldTime, Patience: callsPatience, Deadline: callsPatience}},
		Number:  func(_ int, rng *rand.Rand) string { return fmt.Sprintf("1%05d", rng.IntN(100000)) }}, o.Seed, tap)
	if err != nil {
		return err
	}
	defer c.Close()
	rng := rand.New(rand.NewPCG(o.Seed, 21))
	for i := range o.Kills + 1 {
		p, err := startProcess(ctx, o.ServeCommand, file, httpAddr, res)
		if err != nil {
			return fmt.Errorf("start %d: %w", i+1, err)
		}
		recordRouterState(tap, true)
		if i == 0 {
			c.Start()
		}
		uptime := 150*time.Millisecond + time.Duration(rng.Int64N(int64(500*time.Millisecond)))
		if i == o.Kills { // the last incarnation runs until all calls have ended
			c.Stop()
			uptime = callsPatience + 500*time.Millisecond
		}
		ok := sleepUntil(ctx, time.Now().Add(uptime))
		if i == o.Kills {
			c.HangUp()
			ok = ok && sleepUntil(ctx, time.Now().Add(300*time.Millisecond))
		}
		recordRouterState(tap, false)
		err = p.Process.Kill()
		_ = p.Wait() // the error only says that the process was killed
		if err != nil || !ok {
			return errors.Join(err, ctx.Err())
		}
		if i%20 == 0 {
			fmt.Fprintf(o.Progress, "kill %d done, numbered from 0\n", i)
		}
	}
	return nil
}

// recordRouterState records in the capture that the process is up or was killed. It does so for both exchanges, because each
// of the stand-ins on the two sides treats the process as the router of its own exchange.
func recordRouterState(tap *capture.Writer, up bool) {
	for x := range 2 {
		tap.Notice(time.Now(), capture.Notice{Router: &capture.RouterState{Exchange: x, Up: up}})
	}
}

// writeKillSettings writes the router's settings, exchange list and tariffs to dir and returns the settings file.
func writeKillSettings(dir string, listenAddr, httpAddr, sw netip.AddrPort) (string, error) {
	files := map[string]string{
		"tariffs.toml": dayTariffs,
		"list.toml":    fmt.Sprintf("[[exchange]]\nid = \"far\"\nnumber = 1\naddress = %q\n", sw),
		"router.toml": string(callsSettingsText(0, fmt.Sprintf("listen = %q\nanswer_margin = \"120ms\"", listenAddr), "circuits = 5000",
			fmt.Sprintf("file = %q", filepath.Join(dir, "list.toml")), fmt.Sprintf("[http]\nlisten = %q\n[records]\ndir = %q\n"+
				"tariffs = \"tariffs.toml\"\nanswer_wait = \"100ms\"\n[log]\nlevel = \"error\"\n", httpAddr, filepath.Join(dir, "records")))),
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			return "", err
		}
	}
	return filepath.Join(dir, "router.toml"), nil
}

// startProcess starts the router's process and waits until its health check succeeds, at most 20 s.
func startProcess(ctx context.Context, serve []string, file string, httpAddr netip.AddrPort, res *KillResult) (*exec.Cmd, error) {
	if len(serve) == 0 {
		exe, err := os.Executable()
		if err != nil {
			return nil, err
		}
		serve = []string{exe, "serve", "-c"}
	}
	var stderr bytes.Buffer
	p := exec.CommandContext(ctx, serve[0], append(append([]string(nil), serve[1:]...), file)...)
	p.Stderr = &stderr
	began := time.Now()
	if err := p.Start(); err != nil {
		return nil, err
	}
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for limit := began.Add(20 * time.Second); time.Now().Before(limit) && ctx.Err() == nil; time.Sleep(2 * time.Millisecond) {
		resp, err := client.Get("http://" + httpAddr.String() + "/health")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			res.LongestStartMS = max(res.LongestStartMS, float64(time.Since(began).Microseconds())/1000)
			return p, nil
		}
	}
	_ = p.Process.Kill()
	_ = p.Wait()
	return nil, fmt.Errorf("health check of the router process failed for 20 s: %s", stderr.String())
}
