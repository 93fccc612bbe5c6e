package tomlbind

import (
	"net/netip"
	"strings"
	"testing"
	"time"
)

type document struct {
	Name  string         `toml:"name"`
	Wait  time.Duration  `toml:"wait"`
	Share float64        `toml:"share"`
	On    bool           `toml:"on"`
	At    netip.AddrPort `toml:"at"`
	Item  []struct {
		N    int      `toml:"n"`
		List []string `toml:"list"`
	} `toml:"item"`
	Sub struct {
		Port uint16 `toml:"port"`
	} `toml:"sub"`
}

func TestReadAllTypes(t *testing.T) {
	var s document
	d := Read("x.toml", []byte(`name = "a"
wait = "300ms"
share = 1
on = true
at = "127.0.0.1:4569"
[sub]
port = 9
[[item]]
n = 4
list = ["x", "y"]
[[item]]
`), &s)
	if err := d.Err(); err != nil {
		t.Fatal(err)
	}
	if s.Name != "a" || s.Wait != 300*time.Millisecond || s.Share != 1 || !s.On || s.At.Port() != 4569 ||
		len(s.Item) != 2 || s.Item[0].N != 4 || len(s.Item[0].List) != 2 || s.Sub.Port != 9 {
		t.Errorf("got %+v", s)
	}
}

// All problems are reported together, in the order of lines, each with its key.
func TestAllProblemsAreReported(t *testing.T) {
	var s document
	d := Read("x.toml", []byte(`name = 5
wait = 300
colour = "red"
at = "nowhere"
[sub]
port = 70000
[[item]]
n = 1
[[item]]
n = "two"
list = ["x", 7]
`), &s)
	d.Report("item[2].n", "checked later")
	want := []string{
		"x.toml:1: name: expected a string, got an integer",
		"x.toml:2: wait: expected a time such as",
		"x.toml:3: colour: unknown key",
		"x.toml:4: at: \"nowhere\"",
		"x.toml:6: sub.port: 70000 is out of range",
		"x.toml:10: item[2].n: expected an integer, got a string",
		"x.toml:10: item[2].n: checked later",
		"x.toml:11: item[2].list[2]: expected a string, got",
	}
	err := d.Err()
	if err == nil {
		t.Fatal("nothing was reported")
	}
	lines := strings.Split(err.Error(), "\n")
	if len(lines) != len(want) {
		t.Fatalf("%d lines, want %d:\n%v", len(lines), len(want), err)
	}
	for i := range want {
		if !strings.HasPrefix(lines[i], want[i]) {
			t.Errorf("line %d: %q, want %q", i+1, lines[i], want[i])
		}
	}
}

func TestSyntaxError(t *testing.T) {
	var s document
	err := Read("x.toml", []byte("name = \"a\"\nwait = = 3\n"), &s).Err()
	if err == nil || !strings.HasPrefix(err.Error(), "x.toml:2: ") {
		t.Errorf("got %v", err)
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte("name = \"a\"\n[[item]]\nn=1\n[sub]\nport=2"))
	f.Add([]byte("a.b.c = 1\n[x.y]\n[[x.z]]\n[x.z.q]\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var s document
		Read("x.toml", b, &s)
	})
}
