package main

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pipitring/internal/cdr"
	"pipitring/internal/records"
	"pipitring/internal/store"
)

// runCommand runs the program in this process and returns its standard output and its exit status.
func runCommand(t *testing.T, args ...string) (string, int) {
	t.Helper()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	old := os.Stdout
	os.Stdout = w
	text := make(chan string, 1)
	go func() {
		b, _ := io.ReadAll(r)
		text <- string(b)
	}()
	status := run(args)
	os.Stdout = old
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return <-text, status
}

func TestCDRCommands(t *testing.T) {
	dir := t.TempDir()
	recordsDir := filepath.Join(dir, "records")
	rec, err := records.Open(records.Options{Dir: recordsDir, Router: 4, MaxBatch: 8, HeartbeatInterval: time.Hour,
		Gate: store.GateSettings{SlowAfter: time.Hour, MaxQueue: 100}})
	if err != nil {
		t.Fatal(err)
	}
	at := time.Date(2026, 12, 1, 2, 0, 0, 0, time.UTC)
	for call := range uint64(5) {
		class := map[bool]string{true: "alarm", false: "status"}[call == 2]
		r := cdr.Record{ID: rec.ID(call + 1), End: cdr.Answered, EndSource: cdr.EndedByCaller, Class: class, Called: "21", Calling: "9", Width: 1,
			Offered: at, Answered: at, Ended: at.Add(time.Minute), Duration: time.Minute}
		if _, ok := rec.Submit(cdr.Item{Record: r}); !ok {
			t.Fatal("record not accepted")
		}
	}
	if _, status := runCommand(t, "cdr", "verify", "--store", recordsDir); status != exitUsage {
		t.Errorf("store of a running router: status %d", status)
	}
	if err := rec.Close(); err != nil {
		t.Fatal(err)
	}
	tariffs := filepath.Join(dir, "tariffs.toml")
	if err := os.WriteFile(tariffs, []byte("currency = \"AUD\"\n[[tariff]]\nname = \"t\"\nversion = 1\nfrom = \"2026-01-01\"\n"+
		"[[tariff.rate]]\nclasses = [\"status\"]\nper_minute = \"0.12\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args   string
		status int
		want   string
	}{
		{"cdr list --store DIR", exitOK, "4-1-3/1"},
		{"cdr list --store DIR --class alarm --json", exitOK, `{"damaged":0,"records":1}`},
		{"cdr list --store DIR --end gone", exitUsage, ""},
		{"cdr list --store DIR --from yesterday", exitUsage, ""},
		{"cdr list --store DIR/none", exitUsage, ""},
		{"cdr list", exitUsage, ""},
		{"cdr rate --store DIR --tariffs TARIFFS", exitOK, "5 records, 4 with a changed charge"},
		{"cdr report --store DIR", exitOK, "2026-12-01  status              4      4    0        0       0     0     4.00      0         4"},
		{"cdr rate --store DIR --tariffs TARIFFS --write --json", exitOK, `"changed":4`},
		{"cdr rate --store DIR --tariffs TARIFFS --write --json", exitOK, `"changed":0`},
		{"cdr report --store DIR --json", exitOK, `"charge":"0.48"`},
		{"cdr report --store DIR --plot DIR.gif", exitUsage, ""},
		{"cdr report --store DIR --plot DIR.svg", exitOK, ""},
		{"cdr export --store DIR --to OUT", exitOK, ""},
		{"cdr export --store DIR --to OUT", exitOK, ""},
		{"cdr export --store DIR --to OUT2 --format xml", exitUsage, ""},
		{"cdr export --store DIR --to OUT2 --format parquet --json", exitOK, `{"batches_sent"`},
		{"cdr verify --store DIR --files OUT --json", exitOK, `"exported":9`},
		{"cdr verify --store DIR --files OUT2", exitOK, "9 records, numbers 1 to 9; 0 open calls, 1 unrated; 9 records in 1 exported batches"},
	} {
		args := strings.NewReplacer("DIR", recordsDir, "TARIFFS", tariffs, "OUT", filepath.Join(dir, "out")).Replace(c.args)
		got, status := runCommand(t, strings.Fields(args)...)
		if status != c.status || !strings.Contains(got, c.want) {
			t.Errorf("%s: status %d, printed\n%s", c.args, status, got)
		}
	}
	if info, err := os.Stat(recordsDir + ".svg"); err != nil || info.Size() < 1000 {
		t.Errorf("plot is missing or too small: %v", err)
	}
	deleteRecord(t, recordsDir)
	if got, status := runCommand(t, "cdr", "verify", "--store", recordsDir); status != exitCheckFailed || !strings.Contains(got, "no record under number 2") {
		t.Errorf("with a gap: status %d, printed\n%s", status, got)
	}
}

// deleteRecord deletes the record with number 2.
func deleteRecord(t *testing.T, dir string) {
	t.Helper()
	s, err := store.Open(store.Options{Dir: dir, Schema: records.Schema()})
	if err != nil {
		t.Fatal(err)
	}
	b := s.Batch()
	b.Delete(cdr.RecordKey(2))
	if err := errors.Join(s.Commit(b), s.Close()); err != nil {
		t.Fatal(err)
	}
}
