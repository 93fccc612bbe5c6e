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

// serveEnv is the environment variable that makes this test binary run a router with the settings file that it names.
const serveEnv = "PIPITRING_TEST_SERVE"

// serveForTest runs a router with a settings file until it is killed.
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

// TestKilledProcess guards against records that are lost or duplicated when a router's process is killed under load. Each
// call whose answer the caller received must have exactly one record.
func TestKilledProcess(t *testing.T) {
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	// RunKills appends the name of the settings file, and the script passes it on in the environment.
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
