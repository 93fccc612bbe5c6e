package registry

import (
	"encoding/json"
	"testing"
)

// TestHealthAnswerKeepsItsKeys guards against a field whose key in the register's answer changes with its Go name.
func TestHealthAnswerKeepsItsKeys(t *testing.T) {
	const text = `{"Service":{"ID":"a","Address":"127.0.0.1","Port":4569,"Meta":{"number":"1"}},"Checks":[{"CheckID":"processor","Status":"passing"}]}`
	var h healthEntry
	if err := json.Unmarshal([]byte(text), &h); err != nil {
		t.Fatal(err)
	}
	if got, err := json.Marshal(h); err != nil || string(got) != text {
		t.Errorf("read and written again:\n%s\nwant:\n%s\n(%v)", got, text, err)
	}
}
