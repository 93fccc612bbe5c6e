package call

import "pipitring/decide"

// Cause is a cause value of Q.850, which IAX2 and ISUP share.
type Cause uint8

// Causes that routers and switches give.
const (
	Unallocated         Cause = 1
	NoRoute             Cause = 3
	NormalClearing      Cause = 16
	UserBusy            Cause = 17
	NoUserResponding    Cause = 18
	NoAnswer            Cause = 19
	Rejected            Cause = 21
	NumberChanged       Cause = 22
	RoutingError        Cause = 25
	OutOfOrder          Cause = 27
	InvalidNumber       Cause = 28
	NormalUnspecified   Cause = 31
	NoCircuit           Cause = 34
	NetworkDown         Cause = 38
	TemporaryFailure    Cause = 41
	Congestion          Cause = 42
	CircuitUnavailable  Cause = 44
	ResourceUnavailable Cause = 47
	TimerExpired        Cause = 102
)

// Refusal tells whether a final answer with this cause is a refusal; every other but a normal release is a
// failure. It is the one table that callers, checkers and records go by.
func (c Cause) Refusal() bool {
	switch c {
	case Unallocated, UserBusy, NoUserResponding, NoAnswer, Rejected, NumberChanged, InvalidNumber, NoCircuit,
		Congestion, CircuitUnavailable, ResourceUnavailable:
		return true
	}
	return false
}

// outcome puts a release before the answer in the module's terms. Over a tandem the same cause tells another
// thing: the group or the processor that lacked room is the one beyond.
func outcome(c Cause, tandem bool) (decide.Outcome, decide.Cause) {
	switch c {
	case Unallocated, UserBusy, NoUserResponding, NoAnswer, Rejected, NumberChanged, InvalidNumber:
		return decide.Busy, decide.LinesBusy // it is the number that cannot be reached, whatever the route
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
		return decide.Busy, decide.LinesBusy // the same way once more would end the same
	}
	return decide.Busy, decide.CauseUnknown
}

// finalCause is the cause of a final answer after the last attempt ended as told. cause is what the far end
// gave, 0 if nothing.
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
	return Congestion // never tried: held or turned away for lack of room
}
