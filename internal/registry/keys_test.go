package registry

import (
	"encoding/json"
	"testing"
)

// The keys of a health response must not change if the Go names of its fields do.
func TestHealthResponseKeys(t *testing.T) {
	const text = `{"Service":{"ID":"a","Address":"127.0.0.1","Port":4569,"Meta":{"number":"1"}},"Checks":[{"CheckID":"processor","Status":"passing"}]}`
	var h healthEntry
	if err := json.Unmarshal([]byte(text), &h); err != nil {
		t.Fatal(err)
	}
	if got, err := json.Marshal(h); err != nil || string(got) != text {
		t.Errorf("after decoding and encoding:\n%s\nwant:\n%s\n(%v)", got, text, err)
	}
}
