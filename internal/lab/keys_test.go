package lab

import (
	"encoding/json"
	"strings"
	"testing"
)

// TestHeldResourcesKeepsJSONKeys guards against a key of day --json that changes when its Go field is renamed.
func TestHeldResourcesKeepsJSONKeys(t *testing.T) {
	const want = `"left_over":{"Calls":1,"Legs":2,"Dialogs":3,"Circuits":4}`
	got, err := json.Marshal(DayResult{LeftOver: HeldResources{1, 2, 3, 4}})
	if err != nil || !strings.Contains(string(got), want) {
		t.Errorf("got %s, %v, want it to contain %s", got, err, want)
	}
}
