package lab

import (
	"context"
	"fmt"

	"go.uber.org/zap"
)

// RunDemo runs three routers with their switches on loopback until ctx ends. It passes lines for the operator to printLine.
func RunDemo(ctx context.Context, printLine func(string)) error {
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
	for x, at := range f.routerAddrs {
		printLine(fmt.Sprintf("exchange %d: router listens on %v (IAX2) and serves numbers that begin with %s", x, at, numberPrefix(x)))
	}
	printLine("calls are accepted without registration; press Ctrl-C to stop")
	<-ctx.Done()
	return nil
}
