package coordinator

import (
	"encoding/json"
	"testing"
)

// TestSnapshotJSONKeys guards against a configuration key that changes with the Go name of its field. Unknown keys are
// ignored, so no other test would fail.
func TestSnapshotJSONKeys(t *testing.T) {
	const text = `{"index":3,"updates":[{"index":2,"endpoints":{"reset":true,"instances":[{"instanceId":"s-00c41f7a",` +
		`"hostPort":"127.0.0.9:5060","zone":"east","cell":2,"lifecycle":"Ready","startedAtMs":5}]}}]}`
	var snapshot snapshotJSON
	if err := json.Unmarshal([]byte(text), &snapshot); err != nil {
		t.Fatal(err)
	}
	if got, err := json.Marshal(snapshot); err != nil || string(got) != text {
		t.Errorf("decoded and encoded again:\n%s\nwant:\n%s\n(%v)", got, text, err)
	}
}
