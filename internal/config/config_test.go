package config

import (
	"os"
	"strings"
	"testing"
	"time"

	"pipitring/internal/call"
)

const example = "../../deploy/router.toml"

func TestExampleIsValid(t *testing.T) {
	s, err := Load(example)
	if err != nil {
		t.Fatal(err)
	}
	class, tenant, dest, ok := s.Plan.Lookup(call.Request{Called: "6295", Context: "alarm", User: "handheld"})
	if class != 1 || tenant != 0 || dest != 2 || !ok {
		t.Errorf("an alarm to 6295: class %d, tenant %d, exchange %d, %v", class, tenant, dest, ok)
	}
	if s.GroupSizes[1] != 60 || s.Class[1].Width != 1 || s.Rules.DrainGrace != time.Second || len(s.Zones) != 3 {
		t.Errorf("got %+v", s)
	}
	if secret, ok := s.Secret("handheld"); !ok || secret != "change me" {
		t.Errorf("secret %q", secret)
	}
}

// The example file has to contain every key, so that operators find all of them.
func TestExampleContainsEveryKey(t *testing.T) {
	data, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"listen", "routers", "seed", "max_calls", "answer_margin", "drain_limit", "default_class",
		"release_wait", "drain_grace", "cold_from", "cold_for", "fall_multiple", "max_attempts", "max_stay_away", "hold",
		"width", "aim", "deadline", "patience", "worth", "late_worth", "users", "contexts", "prefixes", "quota", "zone",
		"circuits", "peer", "file", "register", "service", "wait", "retry_first", "retry_max", "retries", "ack_delay",
		"accept_delay", "linger", "ping_every", "refresh", "max_dialogs", "max_per_host", "call_tokens", "challenge",
		"secret", "point_code", "front", "first_cic", "connect", "mode", "routing_context", "ack_wait", "beat", "max_out",
		"t1", "t5", "t7", "t9", "t12", "t13", "t16", "t17", "level", "per_second", "over_share_worth"} {
		if !strings.Contains(string(data), key+" = ") {
			t.Errorf("%s is not in the example", key)
		}
	}
}

// Each invalid change to the example is reported with its key.
func TestInvalidSettings(t *testing.T) {
	data, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, want string }{
		{`listen = "127.0.0.1:4569"`, `listen = "[::1]:4569"`, "router.listen: [::1]:4569 is not an IPv4 address"},
		{"exchange = 0", "exchange = 7", "router.exchange: exchange 7 is not among"},
		{"exchange = 0", "exchnge = 0", "router.exchnge: unknown key"},
		{`drain_grace = "1s"`, `drain_grace = 1`, "rules.drain_grace: expected a time such as"},
		{`drain_grace = "1s"`, `drain_grace = "200ms"`, "rules.drain_grace: 200ms is under four times"},
		{"cold_from = 0.29", "cold_from = 1.5", "rules.cold_from: 1.5 is not a share"},
		{"fall_multiple = 3.0", "fall_multiple = 0.5", "rules.fall_multiple: 0.5 is under the minimum of 1"},
		{`patience = "3s"`, `patience = "30s"`, "class[1].patience: 30s is not from 0 to the deadline"},
		{`patience = "3s"`, `patience = "100ms"`, "class[1].patience: 100ms leaves no time"},
		{"width = 1 ", "width = -1 ", "class[1].width: -1 circuits"},
		{`name = "entrapment-alarm"`, `name = "status-check"`, "class[2].name: name \"status-check\" is empty or given twice"},
		{`default_class = "status-check"`, `default_class = "x"`, "router.default_class: no class is named \"x\""},
		{`prefixes = ["21", "61"]`, `prefixes = ["21", "60"]`, "exchange[2].prefixes[2]: prefix \"60\" is given twice"},
		{`prefixes = ["21", "61"]`, `prefixes = ["2x"]`, "exchange[2].prefixes[1]: prefix \"2x\""},
		{`prefixes = ["21", "61"]`, `prefixes = [""]`, "exchange[2].prefixes[1]: an empty prefix"},
		{"number = 2", "number = 1", "exchange[3].number: exchange 1 is given twice"},
		{"to = 2", "to = 9", "group[2].to: exchange 9 is not among"},
		{"to = 2", "to = 1", "group[2].to: the group to exchange 1 is given twice"},
		{"to = 2", "to = 0", "group[2].to: the group leads to the router's own exchange"},
		{"circuits = 30", "circuits = -3", "group[2].circuits: -3 is negative"},
		{`file = "exchanges.toml"`, `register = "nowhere"`, "list.register: \"nowhere\" is not a URL"},
		{`file = "exchanges.toml"`, ``, "list: either file or register is required"},
		{`ack_delay = "20ms"`, `ack_delay = "2s"`, "iax.ack_delay: 2s is not from 0"},
		{"max_dialogs = 32000", "max_dialogs = 90000", "iax.max_dialogs: 90000"},
		{`secret = "change me too"`, ``, "user[2]: name and secret are required"},
		{`listen = "127.0.0.1:9100"`, `listen = "0.0.0.0:9100"`, "http.listen: 0.0.0.0:9100 is not a loopback address"},
		{`level = "info"`, `level = "loud"`, "log.level: \"loud\" is none of"},
		{`front = "isup"`, `front = "ss7"`, "group[2].front: \"ss7\" is none of iax2, isup"},
		{`front = "isup"`, `front = "iax2"`, "group[2]: connect, first_cic and point_code apply only to groups with front"},
		{"point_code = 3", "point_code = 1", "group[2].point_code: 1 has more than 24 bits or is another exchange's"},
		{"first_cic = 1", "first_cic = 4090", "group[2].circuits: the last circuit's CIC would be 4119"},
		{`mode = "override"`, `mode = "both"`, "m3ua.mode: \"both\" is none of"},
		{`t5 = "5m"`, `t5 = "5s"`, "isup.t5: 5s is shorter than the timer of retransmissions (15s)"},
		{`contexts = ["alarm"]`, `contexts = ["alarm", "alarm"]`, "class[2].contexts[2]: \"alarm\" is given twice"},
	} {
		text := string(data)
		if strings.Count(text, c.from) < 1 {
			t.Errorf("%q is not in the example", c.from)
			continue
		}
		changed := strings.Replace(text, c.from, c.to, 1)
		_, err := Parse("r.toml", []byte(changed))
		if err == nil {
			t.Errorf("%q was accepted", c.to)
			continue
		}
		if !strings.Contains(err.Error(), c.want) || !strings.HasPrefix(err.Error(), "r.toml:") {
			t.Errorf("%q: %v, want %q", c.to, err, c.want)
		}
	}
}

// All problems of a file are reported together.
func TestAllProblemsAreReported(t *testing.T) {
	_, err := Parse("r.toml", []byte("[router]\nlisten = 5\n[[group]]\nto = 3\n[log]\nlevel = \"x\"\n"))
	if err == nil {
		t.Fatal("taken")
	}
	for _, want := range []string{"r.toml:2: router.listen", "r.toml:4: group[1].to", "r.toml:6: log.level", "class"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not in\n%v", want, err)
		}
	}
}

func TestCheckReload(t *testing.T) {
	data, _ := os.ReadFile(example)
	s, _ := Load(example)
	for from, ok := range map[string]bool{"circuits = 60": true, "max_calls = 20000": true, "exchange = 0": false,
		`name = "entrapment-alarm"`: false} {
		to := map[string]string{"circuits = 60": "circuits = 61", "max_calls = 20000": "max_calls = 5",
			"exchange = 0": "exchange = 1\n", `name = "entrapment-alarm"`: `name = "other"`}[from]
		text := strings.Replace(string(data), from, to, 1)
		if from == "exchange = 0" {
			text = strings.Replace(text, "to = 1", "to = 0", 1)
		}
		next, err := Parse("r.toml", []byte(text))
		if err != nil {
			t.Fatalf("%q: %v", to, err)
		}
		if err := s.CheckReload(next); (err == nil) != ok {
			t.Errorf("%q: %v", to, err)
		}
	}
}
