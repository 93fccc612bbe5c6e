package platform

import (
	"iter"
	"strconv"
	"strings"

	"pipitring/decide"
	"pipitring/internal/jsonl"
	"pipitring/internal/wire"
)

// releaseOutcome converts a release of a set-up before its answer to the decision module's outcome and cause.
func releaseOutcome(m *jsonl.Message) (decide.Outcome, decide.Cause) {
	cause := causeByNote[m.Fields["note"]]
	switch m.Cause {
	case jsonl.CauseNoCircuit:
		return decide.Rejected, cause
	case jsonl.CauseUserBusy, jsonl.CauseResourceUnavailable:
		return decide.Busy, cause
	case jsonl.CauseTimerExpiry:
		return decide.NotSent, cause
	}
	return decide.Cut, cause
}

var causeByNote = map[string]decide.Cause{"blocked": decide.NoCircuit, "bounced": decide.TandemRejected,
	"far_swamped": decide.TandemRejectedFull, "swamped": decide.ProcessorFull, "occupied": decide.LinesBusy}

// parseReport parses a load report.
func (c *Core) parseReport(m *jsonl.Message) decide.Report {
	r := decide.NoReport
	for name, value := range pairs(m.Fields["load"]) {
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			wire.SetReportField(&r, name, v)
		}
	}
	return r
}

// pairs iterates over the names and values of text such as x0:12;x1:40.
func pairs(text string) iter.Seq2[string, string] {
	return func(yield func(string, string) bool) {
		for part := range strings.SplitSeq(text, ";") {
			if name, value, ok := strings.Cut(part, ":"); ok && !yield(name, value) {
				return
			}
		}
	}
}
