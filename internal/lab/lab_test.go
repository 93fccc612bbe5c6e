package lab

import (
	"context"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
)

// TestMain checks for leaked goroutines, except those of the worker pool that gnet starts when it is imported.
func TestMain(m *testing.M) {
	if file := os.Getenv(serveEnv); file != "" {
		serveForTest(file)
	}
	goleak.VerifyTestMain(m, goleak.IgnoreCurrent(), goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*goWorker).run.func1"))
}

// runDayChecked runs a script on loopback and fails the test if anything is wrong with the day.
func runDayChecked(t *testing.T, script string) *DayResult {
	t.Helper()
	s, err := ParseScript("test.toml", []byte(script))
	if err != nil {
		t.Fatal(err)
	}
	res, err := RunDay(context.Background(), s, DayOptions{})
	if err != nil {
		t.Fatal(err)
	}
	if !res.Good() {
		t.Errorf("%d rule violations, resources still held %+v, %d overdue answers, %d failed actions, %d malformed messages:\n%s",
			res.ViolationCount, res.LeftOver, res.Overdue,
			res.ActionFaults, res.Malformed, strings.Join(res.Violations, "\n"))
	}
	return res
}

const classTable = `
[[class]]
name = "alarm"
share = 1
hold = "700ms"
aim = "1s"
patience = "2s"
deadline = "6s"
worth = 1
`

// TestThousandCallsWithFaults guards against calls without exactly one final answer, and against resources that remain held.
// It makes over a thousand calls through three routers, with loss, duplicates and reordering on every link, lost and
// duplicated answers, callers that abandon their tries, a killed router and a drain.
func TestThousandCallsWithFaults(t *testing.T) {
	res := runDayChecked(t, `
length = "6s"
[fleet]
exchanges = 3
circuits = 60
regions = ["a", "b"]
same_delay = "1ms"
jitter = "3ms"
lose = 0.1
repeat = 0.05
[load]
rate = 200
local = 0.1
`+classTable+`
[[trouble]]
kind = "answer_lost"
at = "1s"
for = "2s"
exchanges = [1]
size = 0.2
[[trouble]]
kind = "answer_repeated"
at = "1s"
for = "4s"
exchanges = [0]
[[trouble]]
kind = "give_up"
at = "2s"
for = "3s"
size = 0.4
[[trouble]]
kind = "deploy"
at = "1500ms"
for = "1s"
exchanges = [2]
size = 1.5
[[trouble]]
kind = "peer_down"
at = "4s"
for = "500ms"
exchanges = [1]
`)
	if res.Calls < 1000 || res.Answered < 300 || res.Abandoned == 0 {
		t.Errorf("%d calls, %d answered, %d abandoned", res.Calls, res.Answered, res.Abandoned)
	}
}

// TestUnresponsiveSwitch guards against calls without a final answer when a switch accepts set-ups and answers none. Each call
// gets one failure answer; the rules check that it is not attempted again within 300 ms.
func TestUnresponsiveSwitch(t *testing.T) {
	res := runDayChecked(t, `
length = "4s"
[fleet]
exchanges = 2
circuits = 100
[load]
rate = 40
redials = 0
`+classTable+`
[[trouble]]
kind = "hang"
at = "0s"
for = "4s"
exchanges = [1]
`)
	if res.Failed == 0 || res.Answered == 0 || res.Unanswered > 0 {
		t.Errorf("%d failed, %d answered, %d unanswered", res.Failed, res.Answered, res.Unanswered)
	}
}

// TestColdSwitchSurvivesSurge guards against a cold processor that collapses because all routers together overload it during
// a surge.
func TestColdSwitchSurvivesSurge(t *testing.T) {
	res := runDayChecked(t, `
length = "6s"
[fleet]
exchanges = 4
circuits = 200
setup_rate = 60
cold_for = "4s"
[load]
rate = 120
`+classTable+`
[[trouble]]
kind = "burst"
at = "1s"
for = "5s"
size = 4
[[trouble]]
kind = "mass_restart"
at = "1500ms"
exchanges = [0, 1]
`)
	if res.SwitchCollapses != 0 {
		t.Errorf("%d switches collapsed", res.SwitchCollapses)
	}
}

// TestMixedFronts runs faults in a fleet where every other pair of routers uses ISUP over M3UA: a region is cut off, a router
// with associations is killed, and a switch rejects set-ups.
func TestMixedFronts(t *testing.T) {
	res := runDayChecked(t, `
length = "6s"
[fleet]
exchanges = 4
circuits = 30
front = "mixed"
regions = ["a", "b"]
same_delay = "1ms"
jitter = "1ms"
lose = 0.03
[load]
rate = 120
`+classTable+`
[[trouble]]
kind = "zone_cut"
at = "1s"
for = "1s"
[[trouble]]
kind = "peer_down"
at = "3s"
for = "500ms"
exchanges = [1]
[[trouble]]
kind = "reject"
at = "4s"
for = "1s"
exchanges = [2]
`)
	if res.Answered < 200 || res.Failed+res.Refused == 0 {
		t.Errorf("%d answered, %d refused, %d failed", res.Answered, res.Refused, res.Failed)
	}
}

func TestScriptErrors(t *testing.T) {
	for _, c := range []struct{ script, want string }{
		{"length = \"0s\"" + classTable, "test.toml:1: length"},
		{"[fleet]\nexchanges = 0" + classTable, "test.toml:2: fleet.exchanges"},
		{classTable + "[[trouble]]\nkind = \"flood\"", "trouble[1].kind: \"flood\" is not one of answer_lost"},
		{classTable + "[[trouble]]\nkind = \"hang\"\nat = \"5h\"", "trouble[1].at"},
		{classTable + "[[trouble]]\nkind = \"hang\"\nexchanges = [9]", "trouble[1].exchanges: there is no exchange 9"},
		{classTable + "[[trouble]]\nkind = \"answer_lost\"\nsize = 3", "trouble[1].size: 3 must be from 0 to 1"},
		{"[load]\nrate = 10", "class: at least one"},
		{classTable + classTable, "the shares add up to 2"},
	} {
		if _, err := ParseScript("test.toml", []byte(c.script)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v, want %q", c.script, err, c.want)
		}
	}
	if _, err := BuiltInScript(); err != nil {
		t.Error(err)
	}
}

// TestEveryFaultKind checks that every kind of fault can begin and end, on sockets and on the virtual clock.
func TestEveryFaultKind(t *testing.T) {
	const head = "length = \"3s\"\n[fleet]\nexchanges = 3\nregions = [\"a\", \"b\"]\n[load]\nrate = 60\n" + classTable
	var onSockets, all strings.Builder
	for _, k := range slices.Sorted(maps.Keys(faultKinds)) {
		text := "[[trouble]]\nkind = \"" + k + "\"\nat = \"500ms\"\nfor = \"1s\"\npart = 0.4\n"
		all.WriteString(text)
		if !faultKinds[k].virtualOnly {
			onSockets.WriteString(text)
		}
	}
	if res := runDayChecked(t, head+onSockets.String()); res.Calls == 0 {
		t.Error("on sockets: no calls")
	}
	s, err := ParseScript("test.toml", []byte("virtual = true\n"+head+all.String()))
	if err != nil {
		t.Fatal(err)
	}
	res, err := RunVirtual(context.Background(), s, VirtualOptions{})
	if err != nil || len(res.problems()) > 0 || res.Calls == 0 {
		t.Errorf("on the virtual clock: %v, %v", res.problems(), err)
	}
}

// TestCallersRegister checks that callers register with the router of their exchange.
func TestCallersRegister(t *testing.T) {
	s, err := ParseScript("test.toml", []byte("[fleet]\nexchanges = 2\n"+classTable))
	if err != nil {
		t.Fatal(err)
	}
	f, err := startFleet(s, nil, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer f.close()
	f.callers[0].Start()
	for limit := time.Now().Add(20 * time.Second); !f.callers[0].Registered(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("callers not registered after 20 s")
		}
	}
}

func TestBytesPerStandingCall(t *testing.T) {
	n, err := bytesPerStandingCall(500)
	if err != nil || n < 200 || n > 20000 {
		t.Errorf("%v bytes, %v", n, err)
	}
}

// TestNetworkWithoutFaultsAnswersEveryCall checks that a network without faults and with warm processors answers every call
// from the first second on, with each protocol between routers.
func TestNetworkWithoutFaultsAnswersEveryCall(t *testing.T) {
	for _, front := range FrontNames {
		res := runDayChecked(t, `
length = "2s"
[fleet]
exchanges = 3
circuits = 60
front = "`+front+`"
[load]
rate = 60
local = 0.3
redials = 0
`+classTable)
		if res.Answered != res.Calls || res.Calls < 60 {
			t.Errorf("%s: %d of %d calls answered: causes %v", front, res.Answered, res.Calls, res.Causes)
		}
	}
}
