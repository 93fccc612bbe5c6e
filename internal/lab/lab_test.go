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

// gnet starts a pool of workers at its import, which stays.
func TestMain(m *testing.M) {
	if file := os.Getenv(serveEnv); file != "" {
		serveForTest(file)
	}
	goleak.VerifyTestMain(m, goleak.IgnoreCurrent(), goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*goWorker).run.func1"))
}

func play1(t *testing.T, script string) *DayResult {
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
		t.Errorf("%d rules broken, left %+v, %d overdue, %d faults, %d malformed:\n%s", res.ViolationCount, res.LeftOver, res.Overdue,
			res.ActionFaults, res.Malformed, strings.Join(res.Violations, "\n"))
	}
	return res
}

const class = `
[[class]]
name = "alarm"
share = 1
hold = "700ms"
aim = "1s"
patience = "2s"
deadline = "6s"
worth = 1
`

// More than a thousand calls over three routers, with loss, repeats and reordering on every link, lost and
// repeated answers, impatient callers, a killed router and a drain: one final answer each, and nothing left.
func TestThousandCallsWithFaults(t *testing.T) {
	res := play1(t, `
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
`+class+`
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
		t.Errorf("%d calls, %d stood, %d left early", res.Calls, res.Answered, res.Abandoned)
	}
}

// A switch silent in mid set-up: calls to it get one failure answer, and go out again no sooner than 300 ms later,
// which the rules checker looks at.
func TestSilentSwitch(t *testing.T) {
	res := play1(t, `
length = "4s"
[fleet]
exchanges = 2
circuits = 100
[load]
rate = 40
redials = 0
`+class+`
[[trouble]]
kind = "hang"
at = "0s"
for = "4s"
exchanges = [1]
`)
	if res.Failed == 0 || res.Answered == 0 || res.Unanswered > 0 {
		t.Errorf("%d failed, %d stood, %d unanswered", res.Failed, res.Answered, res.Unanswered)
	}
}

// A processor restarted cold under a surge is not pushed over by all routers together.
func TestColdSwitchSurvivesSurge(t *testing.T) {
	res := play1(t, `
length = "6s"
[fleet]
exchanges = 4
circuits = 200
setup_rate = 60
cold_for = "4s"
[load]
rate = 120
`+class+`
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
		t.Errorf("%d switches fell", res.SwitchCollapses)
	}
}

// The same troubles where every other pair of routers signals by ISUP over M3UA, with a region cut off and a router
// killed under its associations.
func TestMixedFronts(t *testing.T) {
	res := play1(t, `
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
`+class+`
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
		t.Errorf("%d stood, %d refused, %d failed", res.Answered, res.Refused, res.Failed)
	}
}

func TestScriptErrors(t *testing.T) {
	for _, c := range []struct{ script, want string }{
		{"length = \"0s\"" + class, "test.toml:1: length"},
		{"[fleet]\nexchanges = 0" + class, "test.toml:2: fleet.exchanges"},
		{class + "[[trouble]]\nkind = \"flood\"", "trouble[1].kind: \"flood\" is none of answer_lost"},
		{class + "[[trouble]]\nkind = \"hang\"\nat = \"5h\"", "trouble[1].at"},
		{class + "[[trouble]]\nkind = \"hang\"\nexchanges = [9]", "trouble[1].exchanges: there is no exchange 9"},
		{class + "[[trouble]]\nkind = \"answer_lost\"\nsize = 3", "trouble[1].size: 3 is not from 0 to 1"},
		{"[load]\nrate = 10", "class: at least one"},
		{class + class, "the shares add up to 2"},
	} {
		if _, err := ParseScript("test.toml", []byte(c.script)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v, want %q", c.script, err, c.want)
		}
	}
	if _, err := BuiltInScript(); err != nil {
		t.Error(err)
	}
}

// Every kind of trouble can begin and end, on sockets and on the virtual clock.
func TestEveryKindOfTrouble(t *testing.T) {
	const head = "length = \"3s\"\n[fleet]\nexchanges = 3\nregions = [\"a\", \"b\"]\n[load]\nrate = 60\n" + class
	var onSockets, all strings.Builder
	for _, k := range slices.Sorted(maps.Keys(kinds)) {
		text := "[[trouble]]\nkind = \"" + k + "\"\nat = \"500ms\"\nfor = \"1s\"\npart = 0.4\n"
		all.WriteString(text)
		if !kinds[k].only {
			onSockets.WriteString(text)
		}
	}
	if res := play1(t, head+onSockets.String()); res.Calls == 0 {
		t.Error("no calls")
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

// Callers register and stay registered.
func TestCallersRegister(t *testing.T) {
	s, err := ParseScript("test.toml", []byte("[fleet]\nexchanges = 2\n"+class))
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
			t.Fatal("not registered in 20 s")
		}
	}
}

func TestBytesPerStandingCall(t *testing.T) {
	n, err := bytesPerStanding(500)
	if err != nil || n < 200 || n > 20000 {
		t.Errorf("%v bytes, %v", n, err)
	}
}

// A network without trouble, whose processors have long run, answers every call from its first second, on each front.
func TestQuietNetworkAnswersEveryCall(t *testing.T) {
	for _, front := range FrontNames {
		res := play1(t, `
length = "2s"
[fleet]
exchanges = 3
circuits = 60
front = "`+front+`"
[load]
rate = 60
local = 0.3
redials = 0
`+class)
		if res.Answered != res.Calls || res.Calls < 60 {
			t.Errorf("%s: %d of %d calls stood: causes %v", front, res.Answered, res.Calls, res.Causes)
		}
	}
}
