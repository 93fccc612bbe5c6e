package main

import (
	"time"

	"pipitring/decide"
	"pipitring/internal/wire"
)

// exchangeID packs the address of a switch into an ID, most significant byte first.
func exchangeID(a wire.Addr) decide.ExchangeID {
	var id uint64
	for _, b := range a {
		id = id<<8 | uint64(b)
	}
	return decide.ExchangeID(id)
}

// switchAddr is the inverse of exchangeID.
func switchAddr(id decide.ExchangeID) wire.Addr {
	var a wire.Addr
	for i := range a {
		a[len(a)-1-i] = byte(id >> (8 * i))
	}
	return a
}

// toEvent converts an event on the wire to one of the decision module. It returns nil for events that the module does
// not use.
func toEvent(e *wire.Event, reportFields []string, tables map[uint16][]wire.Entry) decide.Event {
	call := decide.CallID(e.ID)
	switch e.Op {
	case wire.OpResult:
		cause, wait := toCause(e.Cause)
		return decide.AttemptEnded{Call: call, Attempt: int(e.Attempt), Exchange: exchangeID(e.Switch),
			Outcome: toOutcome(e.How), Cause: cause, Wait: wait, Took: wire.Seconds(e.Duration),
			Concluded: e.Ended != 0, Report: wire.ParseReport(e.Stats, reportFields)}
	case wire.OpStreaming:
		return decide.AttemptAnswered{Call: call, Attempt: int(e.Attempt), Exchange: exchangeID(e.Switch),
			Took: wire.Seconds(e.Duration)}
	case wire.OpDue:
		return decide.TimerExpired{Token: e.Cookie}
	case wire.OpClientLeft:
		return decide.CallerAbandoned{Call: call}
	case wire.OpProbeResult:
		return decide.ReportReceived{Exchange: exchangeID(e.Switch), Outcome: toOutcome(e.How),
			Took: wire.Seconds(e.Duration), Report: wire.ParseReport(e.Stats, reportFields)}
	case wire.OpSync:
		return toList(e, tables)
	case wire.OpSubmit:
		transit, advised := e.Attrs&wire.AttrTransit != 0, decide.Unknown
		if !transit {
			advised = wire.RoundToInt(float64(e.Through)) // for a transit call it is the exchange that the call comes from
		}
		return decide.Offer{Call: call, Class: int(e.Priority), Tenant: int(e.Party), CalledNumber: e.RouteKey,
			Patience: wire.Seconds(e.Grace), Dest: wire.RoundToInt(float64(e.Dest)),
			Width: wire.RoundToInt(float64(e.Units)), Transit: transit, AdvisedTandem: advised, Redial: e.Attrs&wire.AttrRedial != 0,
			WasCut: e.Attrs&wire.AttrWasCut != 0}
	}
	return nil
}

// toList converts an OpSync event and the table that it refers to into a list update.
func toList(e *wire.Event, tables map[uint16][]wire.Entry) decide.Event {
	kind := decide.ListKind(e.Scope)
	if kind >= decide.ListFailed {
		return decide.ListUpdate{Kind: decide.ListFailed}
	}
	l := decide.ListUpdate{Kind: kind}
	for _, t := range tables[e.Buffer] {
		l.Entries = append(l.Entries, decide.Entry{Exchange: exchangeID(t.Switch), Number: int(t.Point),
			Zone: int(t.Hall), Phase: decide.Phase(t.Phase), Started: wire.Seconds(t.ReadyAt)})
	}
	return l
}

// toOutcome converts an outcome. The module numbers outcomes as the wire does; 0 is none of them.
func toOutcome(how uint16) decide.Outcome {
	if how > 255 {
		return 0
	}
	return decide.Outcome(how)
}

// toCause splits a cause on the wire into the module's cause and the wait that a full processor asked for. The lowest
// four bits are the cause and the others the wait in milliseconds; 18 is a value of its own.
func toCause(c uint32) (decide.Cause, time.Duration) {
	if c == 18 {
		return decide.TandemRejectedFull, 0
	}
	wait := time.Duration(c/16) * time.Millisecond
	switch c % 16 {
	case 1:
		return decide.NoCircuit, 0
	case 2:
		return decide.TandemRejected, 0
	case 3:
		return decide.ProcessorFull, wait
	case 4:
		return decide.LinesBusy, 0
	}
	return decide.CauseUnknown, 0
}

// toAction converts an action of the decision module to one on the wire.
func toAction(proxy uint32, a decide.Action) wire.Action {
	out := wire.Action{Proxy: proxy}
	switch a := a.(type) {
	case decide.SetUp:
		out.Op, out.ID, out.Switch = wire.OpPlace, uint32(a.Call), switchAddr(a.Exchange)
		out.TryFor = a.Timeout.Seconds()
	case decide.Refuse:
		out.Op, out.ID, out.CoolDown = wire.OpShed, uint32(a.Call), a.RetryAfter.Seconds()
	case decide.Fail:
		out.Op, out.ID = wire.OpEndFailed, uint32(a.Call)
	case decide.Timer:
		out.Op, out.SleepFor, out.Cookie = wire.OpSleep, a.After.Seconds(), a.Token
	case decide.Subscribe:
		out.Op, out.Active = wire.OpStreamChanges, 1
	case decide.LogLine:
		out.Op, out.Blob = wire.OpJournalLine, []byte(a.Text)
	}
	return out
}
