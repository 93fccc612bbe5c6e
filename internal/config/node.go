package config

import (
	"strconv"

	"pipitring/decide"
	"pipitring/internal/call"
	"pipitring/internal/cdr"
	"pipitring/internal/iax2"
	"pipitring/internal/node"
)

// NodeSettings converts the settings to those of a router node. seed is used if the settings have a seed of 0, random is
// the source of call numbers and challenges, and hasRoute reports whether a called number has a route.
func (s *Settings) NodeSettings(seed uint64, random func() uint64, hasRoute func(number string) bool) node.Settings {
	x := &s.IAX
	iax := iax2.Config{MaxDialogs: x.MaxDialogs, MaxPerHost: x.MaxPerHost, RetransmitInterval: x.RetransmitInterval,
		MaxRetransmitInterval: x.MaxRetransmitInterval, MaxRetransmits: x.MaxRetransmits, AckDelay: x.AckDelay,
		AcceptDelay: x.AcceptDelay, Linger: x.Linger, PingInterval: x.PingInterval, MaxRefresh: x.MaxRefresh,
		RequireTokens: x.CallTokens, Random: random, AcceptUnauthenticated: !x.Challenge, NumberExists: hasRoute}
	if x.Challenge || len(s.User) > 0 {
		iax.Secret = s.Secret
	}
	n := node.Settings{Core: s.CallSettings(seed), IAX: iax, Zones: s.Zones, Peers: map[iax2.Addr]int{}, ISUP: s.ISUPConfig()}
	for _, g := range s.Group {
		if a, ok := iax2.AddrFrom(g.Peer); ok {
			n.Peers[a] = g.To
		}
	}
	return n
}

// outcomeNames holds the stored names of decide.Outcome values, by value.
var outcomeNames = [...]string{"", "completed", "busy", "full", "timed out", "unreachable", "cut", "cancelled", "not sent"}

// outcomeName returns the stored name of an outcome, or its number if it has no name.
func outcomeName(o decide.Outcome) string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return strconv.Itoa(int(o))
}

// Mapping of the call core's enumerations to those of stored records.
var (
	cdrEnds = [...]cdr.End{call.Answered: cdr.Answered, call.CutOff: cdr.Cut, call.Refused: cdr.Refused,
		call.Failed: cdr.Failed, call.Abandoned: cdr.Abandoned}
	cdrEndSources = [...]cdr.EndSource{call.EndedByRouter: cdr.EndedByRouter, call.EndedByCaller: cdr.EndedByCaller,
		call.EndedByFarEnd: cdr.EndedByFarEnd, call.EndedByLoss: cdr.EndedByLoss, call.EndedByTimer: cdr.EndedByTimer}
)

// CallRecord converts a record of the call core to the stored form. clock converts monotonic times to wall-clock times.
func (s *Settings) CallRecord(clock *cdr.Clock, id cdr.ID, r *call.Record) cdr.Record {
	out := cdr.Record{ID: id, End: cdrEnds[r.End], Cause: uint8(r.Cause), EndSource: cdrEndSources[r.EndSource],
		Class: s.Class[r.Class].Name, Called: r.Called, Calling: r.Calling, User: r.User, Context: r.Context,
		Front: r.Bearer.Front, Circuit: r.Bearer.Circuit, Origin: r.Origin, Dest: r.Dest, Transit: r.Transit,
		Width: r.Width, Offered: clock.At(r.Offered)}
	if r.Tenant < len(s.Tenant) {
		out.Tenant = s.Tenant[r.Tenant].Name
	}
	end := r.Offered
	for i := range r.Attempts {
		a := &r.Attempts[i]
		out.Attempts = append(out.Attempts, cdr.Attempt{Exchange: a.Exchange, Tandem: a.Tandem, Front: a.Bearer.Front,
			Circuit: a.Bearer.Circuit, After: a.Sent - r.Offered, Duration: a.Duration, Outcome: outcomeName(a.Outcome),
			Cause: uint8(a.Cause)})
		end = max(end, a.Sent+a.Duration)
	}
	if r.SetupTime > 0 {
		answered := r.Offered + r.SetupTime
		end = answered + r.Duration
		out.Answered, out.SetUp, out.Duration = clock.At(answered), r.SetupTime, r.Duration
	}
	out.Ended, out.ClockStep = clock.At(end), clock.Step(r.Offered, end)
	return out
}
