package decide_test

import (
	"fmt"
	"time"

	"pipitring/decide"
)

// A proxy at exchange 0 receives the exchange list with exchange 1, its free circuits, and an offered call.
func Example() {
	settings := decide.Settings{
		OwnExchange: 0, Proxies: 2, MaxAttempts: 3,
		Classes: []decide.Class{{HoldTime: 12 * time.Second, Width: 1, SetupTarget: time.Second, Deadline: 9 * time.Second, Value: 1}},
	}
	if err := settings.Validate(); err != nil {
		fmt.Println(err)
		return
	}
	c := decide.New(settings, 42)

	now := 10 * time.Second // on the event clock
	c.Feed(now, decide.ListUpdate{Kind: decide.ListFull, Entries: []decide.Entry{
		{Exchange: 7001, Number: 1, Phase: decide.Ready},
	}})
	free := decide.NoReport
	free.Free, free.Size = 12, 40
	c.Feed(now, decide.ReportReceived{Exchange: 7001, Outcome: decide.Completed, Report: free})

	for _, a := range c.Feed(now, decide.Offer{Call: 1, Dest: 1, Width: 1, Patience: 3 * time.Second}) {
		switch a := a.(type) {
		case decide.SetUp:
			fmt.Printf("send call %d to exchange %d\n", a.Call, a.Exchange)
		case decide.Refuse:
			fmt.Printf("refuse call %d\n", a.Call)
		}
	}
	// Output: send call 1 to exchange 7001
}
