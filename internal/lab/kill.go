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

// KillOptions are how a real router process is killed under load.
type KillOptions struct {
	Kills        int
	Rate         float64 // calls a second; 0 is 400
	Seed         uint64
	Progress     io.Writer
	ServeCommand []string // the command that serves the settings file named after it; empty is this program
}

// KillResult is what was found after the kills.
type KillResult struct {
	Kills          int     `json:"kills"`
	Calls          int     `json:"calls"`
	Answered       int     `json:"answered"` // final answers that callers saw
	Recovered      int     `json:"recovered"`
	Records        int     `json:"records"`
	Missing        int     `json:"records_missing"`
	Duplicated     int     `json:"records_doubled"`
	Wrong          int     `json:"records_wrong"`
	ViolationCount int     `json:"rules_broken"`
	LongestStartMS float64 `json:"longest_start_ms"` // from the process's start until it serves

	Problems []string `json:"found,omitempty"`
}

// Good tells whether nothing was lost, doubled or broken.
func (r *KillResult) Good() bool {
	return r.Missing+r.Duplicated+r.Wrong+r.ViolationCount+len(r.Problems) == 0
}

// RunKills starts a router as a process of its own, calls through it, kills it at random moments with SIGKILL and starts
// it again on the same records. The callers' capture tells which call must have its record.
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
	defer func() { _ = os.RemoveAll(dir) }() // of the system's temporary files: it cleans up what stays
	res := &KillResult{Kills: o.Kills}
	rep, err := judged(func(tap *capture.Writer) error { return kills(ctx, o, dir, tap, res) })
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

// audit opens the records once more, which closes what the last kill left open, and looks for every call.
func (r *KillResult) audit(dir string, rep *rules.Report) error {
	rec, err := records.Open(records.Options{Dir: dir, Router: 0, MaxBatch: 1, HeartbeatInterval: time.Second})
	if err != nil {
		return err
	}
	d := DayRecords{}
	have, err := readKept(rec.Store(), 0, &d)
	if err == nil {
		err = rec.Close()
	} else {
		_ = rec.Close()
	}
	if err != nil {
		return err
	}
	d.match(rep.TryDetails, keptRecords{0: have}, nil)
	r.Records, r.Recovered, r.Missing, r.Duplicated, r.Wrong = d.Records, d.Recovered, d.Missing, d.Duplicated, d.Wrong
	r.Problems = append(r.Problems, d.Problems...)
	return nil
}

// kills runs the process, its switch and its callers.
func kills(ctx context.Context, o KillOptions, dir string, tap *capture.Writer, res *KillResult) error {
	tap.Notice(time.Now(), callsFigures())
	sw, err := standin.NewSwitch(anyPort, standin.SwitchSpec{Exchange: 1, Rate: 1e9, QueueWait: time.Second, Lines: 1e6,
		RingTime: 5 * time.Millisecond}, o.Seed, tap)
	if err != nil {
		return err
	}
	defer sw.Close()
	at, err := freePort()
	if err != nil {
		return err
	}
	web, err := freePort()
	if err != nil {
		return err
	}
	file, err := killSettings(dir, at, web, sw.Addr())
	if err != nil {
		return err
	}
	c, err := standin.NewCallers(anyPort, at, standin.CallersSpec{Exchange: 0, Rate: o.Rate, Weights: []float64{0, 1},
		Classes: []standin.CallerClass{{Name: callsClass, Share: 1, Hold: callsHold, Patience: callsPatience, Deadline: callsPatience}},
		Number:  func(_ int, rng *rand.Rand) string { return fmt.Sprintf("1%05d", rng.IntN(100000)) }}, o.Seed, tap)
	if err != nil {
		return err
	}
	defer c.Close()
	rng := rand.New(rand.NewPCG(o.Seed, 21))
	for i := range o.Kills + 1 {
		p, err := startProcess(ctx, o.ServeCommand, file, web, res)
		if err != nil {
			return fmt.Errorf("start %d: %w", i+1, err)
		}
		lifeOf(tap, true)
		if i == 0 {
			c.Start()
		}
		lives := 150*time.Millisecond + time.Duration(rng.Int64N(int64(500*time.Millisecond)))
		if i == o.Kills { // the last life lets all calls come to their ends
			c.Stop()
			lives = callsPatience + 500*time.Millisecond
		}
		ok := sleepUntil(ctx, time.Now().Add(lives))
		if i == o.Kills {
			c.HangUp()
			ok = ok && sleepUntil(ctx, time.Now().Add(300*time.Millisecond))
		}
		lifeOf(tap, false)
		err = p.Process.Kill()
		_ = p.Wait() // it says that it was killed
		if err != nil || !ok {
			return errors.Join(err, ctx.Err())
		}
		if i%20 == 0 {
			fmt.Fprintf(o.Progress, "%d kills\n", i)
		}
	}
	return nil
}

// lifeOf notes that the process runs or was killed: the stand-ins at its two sides each know it as the router of their
// own exchange.
func lifeOf(tap *capture.Writer, up bool) {
	for x := range 2 {
		tap.Notice(time.Now(), capture.Notice{Router: &capture.RouterState{Exchange: x, Up: up}})
	}
}

// killSettings writes the router's settings, its list and its tariffs.
func killSettings(dir string, at, web, sw netip.AddrPort) (string, error) {
	files := map[string]string{
		"tariffs.toml": dayTariffs,
		"list.toml":    fmt.Sprintf("[[exchange]]\nid = \"far\"\nnumber = 1\naddress = %q\n", sw),
		"router.toml": string(callsText(0, fmt.Sprintf("listen = %q\nanswer_margin = \"120ms\"", at), "circuits = 5000",
			fmt.Sprintf("file = %q", filepath.Join(dir, "list.toml")), fmt.Sprintf("[http]\nlisten = %q\n[records]\ndir = %q\n"+
				"tariffs = \"tariffs.toml\"\nanswer_wait = \"100ms\"\n[log]\nlevel = \"error\"\n", web, filepath.Join(dir, "records")))),
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			return "", err
		}
	}
	return filepath.Join(dir, "router.toml"), nil
}

// startProcess starts the router's process and waits until it serves.
func startProcess(ctx context.Context, serve []string, file string, web netip.AddrPort, res *KillResult) (*exec.Cmd, error) {
	if len(serve) == 0 {
		exe, err := os.Executable()
		if err != nil {
			return nil, err
		}
		serve = []string{exe, "serve", "-c"}
	}
	var said bytes.Buffer
	p := exec.CommandContext(ctx, serve[0], append(append([]string(nil), serve[1:]...), file)...)
	p.Stderr = &said
	began := time.Now()
	if err := p.Start(); err != nil {
		return nil, err
	}
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for limit := began.Add(20 * time.Second); time.Now().Before(limit) && ctx.Err() == nil; time.Sleep(2 * time.Millisecond) {
		resp, err := client.Get("http://" + web.String() + "/health")
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
	return nil, fmt.Errorf("it does not serve after 20 s: %s", said.String())
}
