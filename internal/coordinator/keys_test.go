package coordinator

import (
	"encoding/json"
	"testing"
)

// TestKnownListKeepsItsKeys guards against a field whose key in the configuration changes with its Go name: keys
// without a field are ignored, so that nothing else would tell.
func TestKnownListKeepsItsKeys(t *testing.T) {
	const text = `{"index":3,"updates":[{"index":2,"endpoints":{"reset":true,"instances":[{"instanceId":"s-00c41f7a",` +
		`"hostPort":"127.0.0.9:5060","zone":"east","cell":2,"lifecycle":"Ready","startedAtMs":5}]}}]}`
	var k knownText
	if err := json.Unmarshal([]byte(text), &k); err != nil {
		t.Fatal(err)
	}
	if got, err := json.Marshal(k); err != nil || string(got) != text {
		t.Errorf("read and written again:\n%s\nwant:\n%s\n(%v)", got, text, err)
	}
}
