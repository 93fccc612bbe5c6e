package wire

import (
	"encoding/json"
	"testing"
)

// TestSettingsKeys guards against a field whose key in the settings text changes with its Go name. Keys
// without a field are ignored, so nothing else would report it.
func TestSettingsKeys(t *testing.T) {
	const text = `{"clients":{"marksRetry":true},` +
		`"contract":{"coldFrom":0.3,"coldS":9,"fallMultiple":3,"mustAskInS":10},` +
		`"discovery":"subscribe","failureDomains":["a"],` +
		`"familyInfo":{"classCells":[[1]],"holdingS":[1.5],"widths":[2],"selfNo":4,"releaseGuardS":0.25,"resendS":0.125,"shape":"network"},` +
		`"limits":{"retryAfter":true,"maxAttempts":5,"maxOpen":6,"maxRetryAfterS":2,"connectTimeoutS":0.5},` +
		`"overShareWorth":0.75,"peersTotal":7,` +
		`"profiles":[{"aimS":1,"deadlineS":2,"lateValue":0.5,"value":3,"windowS":4,"keyScope":"zone","name":"voice","repeat":"keyed"}],` +
		`"realms":[{"name":"r","quotaPerS":8}],"telemetry":{"fields":["idle"]}}`
	var s settingsText
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		t.Fatal(err)
	}
	if got, err := json.Marshal(s); err != nil || string(got) != text {
		t.Errorf("decoded and encoded again:\n%s\nwant:\n%s\n(%v)", got, text, err)
	}
}
