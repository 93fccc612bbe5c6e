package lab

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"pipitring/internal/config"
	"pipitring/internal/runtime"
)

// serveEnv makes this test binary a router, for tests that kill one.
const serveEnv = "PIPITRING_TEST_SERVE"

// serveForTest serves a settings file until it is killed.
func serveForTest(file string) {
	set, err := config.Load(file)
	if err == nil {
		var r *runtime.Server
		if r, err = runtime.Start(set, nil); err == nil {
			err = r.Wait()
		}
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

// A router's process is killed again and again under load: each call whose answer a caller saw has one record.
func TestKilledProcess(t *testing.T) {
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	// The settings file's name is appended by the lab: the shell hands it over as the router's.
	script := filepath.Join(t.TempDir(), "serve")
	if err := os.WriteFile(script, fmt.Appendf(nil, "#!/bin/sh\n%s=\"$1\" exec %q\n", serveEnv, exe), 0o700); err != nil {
		t.Fatal(err)
	}
	res, err := RunKills(context.Background(), KillOptions{Kills: 6, Rate: 200, Seed: 5, ServeCommand: []string{script}})
	if err != nil {
		t.Fatal(err)
	}
	if !res.Good() || res.Answered < 100 || res.Recovered == 0 {
		t.Errorf("%+v", res)
	}
}
