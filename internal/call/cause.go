package call

import "pipitring/decide"

// Cause is a Q.850 cause value. IAX2 and ISUP use the same values.
type Cause uint8

// Q.850 causes that routers and switches send.
const (
	Unallocated         Cause = 1   // unallocated number
	NoRoute             Cause = 3   // no route to destination
	NormalClearing      Cause = 16  // normal call clearing
	UserBusy            Cause = 17  // user busy
	NoUserResponding    Cause = 18  // no user responding
	NoAnswer            Cause = 19  // user alerted, no answer
	Rejected            Cause = 21  // call rejected
	NumberChanged       Cause = 22  // number changed
	RoutingError        Cause = 25  // exchange routing error, used for routing loops
	OutOfOrder          Cause = 27  // destination out of order
	InvalidNumber       Cause = 28  // address incomplete or invalid number format
	NormalUnspecified   Cause = 31  // normal, unspecified
	NoCircuit           Cause = 34  // no circuit available
	NetworkDown         Cause = 38  // network out of order
	TemporaryFailure    Cause = 41  // temporary failure
	Congestion          Cause = 42  // switching equipment congestion
	CircuitUnavailable  Cause = 44  // requested circuit not available
	ResourceUnavailable Cause = 47  // resource unavailable, unspecified
	TimerExpired        Cause = 102 // recovery on timer expiry
)

// Refusal reports whether a final answer with this cause counts as a refusal. Any other cause, except a normal
// release, counts as a failure. Callers, the rule checker and call records use the same table, which is published in
// docs/ops/router.md.
func (c Cause) Refusal() bool {
	switch c {
	case Unallocated, UserBusy, NoUserResponding, NoAnswer, Rejected, NumberChanged, InvalidNumber, NoCircuit,
		Congestion, CircuitUnavailable, ResourceUnavailable:
		return true
	}
	return false
}

// releaseOutcome maps the cause of a release before the answer to the controller's outcome and cause. On a call sent
// via a tandem, a cause that reports a lack of capacity refers to the trunk group or processor beyond the tandem.
func releaseOutcome(c Cause, tandem bool) (decide.Outcome, decide.Cause) {
	switch c {
	case Unallocated, UserBusy, NoUserResponding, NoAnswer, Rejected, NumberChanged, InvalidNumber:
		return decide.Busy, decide.LinesBusy // the called number is unreachable by any route
	case NoCircuit, CircuitUnavailable:
		if tandem {
			return decide.Rejected, decide.TandemRejected
		}
		return decide.Rejected, decide.NoCircuit
	case Congestion, ResourceUnavailable:
		if tandem {
			return decide.Rejected, decide.TandemRejectedFull
		}
		return decide.Rejected, decide.ProcessorFull
	case NoRoute, RoutingError:
		if tandem {
			return decide.Rejected, decide.TandemRejected
		}
		return decide.Busy, decide.LinesBusy // a retry on the same route would end the same way
	}
	return decide.Busy, decide.CauseUnknown
}

// finalCause returns the cause of the final answer after the last attempt ended with outcome last. cause is the
// far end's cause, 0 if it gave none.
func finalCause(last decide.Outcome, cause Cause) Cause {
	switch last {
	case decide.TimedOut:
		return TimerExpired
	case decide.Unreachable:
		return NetworkDown
	case decide.Cut:
		return TemporaryFailure
	case decide.NotSent:
		return NoCircuit
	case decide.Busy, decide.Rejected:
		if cause != 0 && cause != NormalClearing {
			return cause
		}
		return TemporaryFailure
	}
	return Congestion // no attempt was made: the call was queued or rejected for lack of capacity
}
