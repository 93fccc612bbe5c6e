package standin

import (
	"encoding/json"
	"testing"
)

// TestHealthAnswerKeepsItsKeys guards against a change of a JSON key in the service discovery response when its
// Go field is renamed.
func TestHealthAnswerKeepsItsKeys(t *testing.T) {
	const want = `{"Service":{"ID":"a","Service":"exchange","Address":"127.0.0.1","Port":4569,"Meta":{"number":"1"}},` +
		`"Checks":[{"CheckID":"processor","Status":"passing"}]}`
	got, err := json.Marshal(health{service{"a", "exchange", "127.0.0.1", 4569, map[string]string{"number": "1"}},
		[]check{{"processor", "passing"}}})
	if err != nil || string(got) != want {
		t.Errorf("got  %s\nwant %s\n(%v)", got, want, err)
	}
}
