package lab

import (
	"context"
	"fmt"

	"go.uber.org/zap"
)

// RunDemo runs three routers with their switches until ctx ends, and tells where they listen.
func RunDemo(ctx context.Context, say func(string)) error {
	s, err := BuiltInScript()
	if err != nil {
		return err
	}
	s.Fleet.Exchanges, s.Fleet.LossRate, s.Fleet.DuplicateRate, s.Fleet.UnlinkedShare = 3, 0, 0, 0
	f, err := startFleet(s, nil, zap.NewNop())
	if err != nil {
		return err
	}
	defer f.close()
	for x, at := range f.at {
		say(fmt.Sprintf("router of exchange %d listens on %v (IAX2); it serves numbers that begin with %s", x, at, prefix(x)))
	}
	say("calls are taken without registration; Ctrl-C ends")
	<-ctx.Done()
	return nil
}
