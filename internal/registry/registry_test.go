package registry

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"go.uber.org/goleak"

	"pipitring/decide"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var started = time.Date(2026, 12, 1, 14, 0, 0, 0, time.UTC)

func entry(id string, number int, p decide.Phase) Entry {
	return Entry{ID: id, Number: number, Zone: "z", Phase: p, Started: started,
		Address: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.%d:4569", number+1))}
}

var equateLists = cmp.Options{cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }), cmpopts.EquateEmpty()}

func TestListInJSONAndTOML(t *testing.T) {
	want := List{Entries: []Entry{entry("a", 0, decide.Ready), entry("b", 1, decide.Draining)}}
	got, err := ParseFile("l.json", FormatJSON(want))
	if err != nil || cmp.Diff(want, got, equateLists) != "" {
		t.Errorf("%v %s", err, cmp.Diff(want, got, equateLists))
	}
	got, err = ParseFile("l.toml", []byte(`
[[exchange]]
id = "b"
number = 1
zone = "z"
phase = "draining"
started = "2026-12-01T14:00:00Z"
address = "127.0.0.2:4569"
[[exchange]]
id = "a"
zone = "z"
started = "2026-12-01T14:00:00Z"
address = "127.0.0.1:4569"
`))
	if err != nil || cmp.Diff(want, got, equateLists) != "" {
		t.Errorf("%v %s", err, cmp.Diff(want, got, equateLists))
	}
}

func TestInvalidLists(t *testing.T) {
	for name, c := range map[string]struct{ file, text, want string }{
		"cut short":   {"l.json", `{"exchange": [`, "l.json:1"},
		"unknown key": {"l.toml", "[[exchange]]\nid=\"a\"\naddress=\"127.0.0.1:1\"\ncolour=1", "l.toml:4: exchange[1].colour"},
		"bad phase":   {"l.toml", "[[exchange]]\nid=\"a\"\naddress=\"127.0.0.1:1\"\nphase=\"away\"", "phase \"away\""},
		"twice":       {"l.toml", "[[exchange]]\nid=\"a\"\naddress=\"127.0.0.1:1\"\n[[exchange]]\nid=\"a\"\naddress=\"127.0.0.1:1\"", "given twice"},
		"no address":  {"l.toml", "[[exchange]]\nid=\"a\"", "is not an IPv4 address"},
		"bad time":    {"l.toml", "[[exchange]]\nid=\"a\"\naddress=\"127.0.0.1:1\"\nstarted=\"noon\"", "exchange[1].started"},
	} {
		if _, err := ParseFile(c.file, []byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", name, err, c.want)
		}
	}
}

func TestChanges(t *testing.T) {
	before := &List{Entries: []Entry{entry("a", 0, decide.Ready), entry("b", 1, decide.Ready), entry("c", 2, decide.Removed)}}
	after := &List{Entries: []Entry{entry("a", 0, decide.Draining), entry("d", 3, decide.Ready)}}
	var got []string
	for _, e := range before.Changes(after) {
		got = append(got, e.ID+" "+PhaseName(e.Phase))
	}
	if want := "a draining,d ready,b gone"; strings.Join(got, ",") != want {
		t.Errorf("got %v, want %s", got, want)
	}
}

// sourceEvents collects the lists and errors of a source.
type sourceEvents struct {
	lists  chan List
	errors chan error
}

func runSource(t *testing.T, s Source) sourceEvents {
	t.Helper()
	c := sourceEvents{make(chan List, 100), make(chan error, 1000)}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { s.Run(ctx, func(l List) { c.lists <- l }, func(err error) { c.errors <- err }) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return c
}

func (c sourceEvents) next(t *testing.T) List {
	t.Helper()
	select {
	case l := <-c.lists:
		return l
	case <-time.After(20 * time.Second):
		t.Fatal("no list within 20 s")
		return List{}
	}
}

// A replaced file is read again. An invalid one is reported and leaves the last list in place.
func TestFileSource(t *testing.T) {
	path := filepath.Join(t.TempDir(), "l.json")
	write := func(b []byte) {
		t.Helper()
		if err := os.WriteFile(path+".new", b, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	write(FormatJSON(List{Entries: []Entry{entry("a", 0, decide.Ready)}}))
	c := runSource(t, FileSource{path})
	if l := c.next(t); len(l.Entries) != 1 {
		t.Errorf("first: %+v", l)
	}
	write([]byte(`{"exchange": [`))
	select {
	case <-c.errors:
	case <-time.After(20 * time.Second):
		t.Fatal("an invalid file was not reported")
	}
	write(FormatJSON(List{Entries: []Entry{entry("a", 0, decide.Draining)}}))
	if l := c.next(t); l.Entries[0].Phase != decide.Draining || l.Index != 2 {
		t.Errorf("third: %+v", l)
	}
}

const healthBody = `[{"Node":{"Node":"n1"},"Service":{"ID":"sw-1","Service":"exchange","Address":"127.0.0.2","Port":4569,
"Meta":{"number":"1","zone":"z","switch":"127.0.0.2:5000","started":"2026-12-01T14:00:00Z"}},
"Checks":[{"CheckID":"serfHealth","Status":"passing"},{"CheckID":"%s","Status":"%s"}]}]`

func TestDiscoveryPhases(t *testing.T) {
	for _, c := range []struct {
		check, status string
		want          decide.Phase
	}{
		{"own", "passing", decide.Ready}, {"own", "warning", decide.Draining}, {"own", "critical", decide.Removed},
		{"_service_maintenance:sw-1", "critical", decide.Draining},
	} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Consul-Index", "7")
			fmt.Fprintf(w, healthBody, c.check, c.status)
		}))
		l, err := DiscoveryClient{URL: srv.URL, Service: "exchange", QueryWait: time.Second}.query(context.Background(), srv.Client(), 0)
		srv.Close()
		if err != nil || l.Index != 7 || l.Entries[0].Phase != c.want || l.Entries[0].Switch.Port() != 5000 {
			t.Errorf("%s %s: %+v %v", c.check, c.status, l, err)
		}
	}
}

// The server fails, sends invalid responses and restarts with a lower index. The client reports the three errors, retries
// and misses no list.
func TestDiscoveryServerFaults(t *testing.T) {
	responses := []struct {
		status int
		index  string
		body   string
	}{
		{500, "", ""}, {200, "x", "[]"}, {200, "9", "{"}, {200, "9", fmt.Sprintf(healthBody, "own", "passing")},
		{200, "9", fmt.Sprintf(healthBody, "own", "warning")}, // same index: no update
		{200, "12", fmt.Sprintf(healthBody, "own", "warning")},
		{200, "3", fmt.Sprintf(healthBody, "own", "passing")}, // restarted
		{200, "3", fmt.Sprintf(healthBody, "own", "passing")},
	}
	var mu sync.Mutex
	n := 0
	var queried []string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		i := n
		n++
		queried = append(queried, r.URL.Query().Get("index"))
		mu.Unlock()
		if i >= len(responses) {
			<-r.Context().Done()
			return
		}
		w.Header().Set("X-Consul-Index", responses[i].index)
		w.WriteHeader(responses[i].status)
		fmt.Fprint(w, responses[i].body)
	}))
	defer srv.Close()
	c := runSource(t, DiscoveryClient{URL: srv.URL, Service: "exchange", QueryWait: time.Second})
	var got []string
	for range 4 {
		l := c.next(t)
		got = append(got, fmt.Sprint(l.Index, PhaseName(l.Entries[0].Phase)))
	}
	if want := "9ready,12draining,3ready,3ready"; strings.Join(got, ",") != want {
		t.Errorf("updates %v, want %s", got, want)
	}
	if len(c.errors) != 3 {
		t.Errorf("%d errors, want 3", len(c.errors))
	}
	mu.Lock()
	defer mu.Unlock()
	if want := "0,0,0,0,9,9,12,0"; strings.Join(queried[:8], ",") != want {
		t.Errorf("queried with indexes %v, want %s", queried, want)
	}
}
