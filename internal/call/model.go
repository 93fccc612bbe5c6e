// Package call implements the protocol-independent call core of a router: calls, legs and causes.
//
// Fronts report the events of callers and far ends to the Core. The Core passes them to decide.Controller,
// executes its actions and produces Outputs for the fronts. It makes no routing or admission decisions. A Core
// does no I/O, receives the time as an argument, and is not safe for concurrent use.
package call

import (
	"time"

	"pipitring/decide"
)

// LegID identifies one end-to-end signalling relation of a call, either with its caller or with the exchange
// that it is sent to.
type LegID uint64

// Request is the set-up information of an offered call.
type Request struct {
	Called    string
	Calling   string
	Name      string // display name of the caller
	Context   string
	User      string
	ViaTandem bool // a tandem has already forwarded the call
}

// Origin is where a call came from: an exchange or a subscriber, and the bearer of its leg.
type Origin struct {
	Exchange int // number of the exchange at the other end of the incoming trunk group, or Subscriber
	Bearer   Bearer
}

// Bearer is what carries a leg: the name of the front, and the circuit, 0 where circuits have no identity.
type Bearer struct {
	Front   string
	Circuit int
}

// Subscriber is the origin of calls that did not arrive over a trunk group.
const Subscriber = decide.Unknown

// OutputKind is the kind of an Output.
type OutputKind uint8

// Kinds of Output.
const (
	Connect OutputKind = iota + 1 // set up Leg toward the processor Exchange with Request
	Proceed                       // indicate to the caller on Leg that the call is proceeding
	Answer                        // answer Leg and join it with Other
	Release                       // release Leg with Cause
)

// Output is an instruction to a front. Kind determines which of the other fields are set.
type Output struct {
	Kind     OutputKind
	Leg      LegID
	Other    LegID
	Exchange decide.ExchangeID // ID of the processor to which Connect sends the set-up
	Request  Request
	Cause    Cause
	Text     string
}

// End is how a call ended, as its caller sees it.
type End uint8

// Ends of a call.
const (
	Answered  End = iota + 1 // answered, and released normally by either end
	CutOff                   // answered, and cut afterwards
	Refused                  // the final answer was a refusal
	Failed                   // the final answer was a failure
	Abandoned                // the caller hung up, or was lost, before the answer
)

func (e End) String() string {
	return [...]string{"none", "stood", "cut", "refused", "failed", "left"}[e]
}

// RecordKind is the point of a call at which a Record is made.
type RecordKind uint8

// Kinds of Record.
const (
	FinalRecord  RecordKind = iota // the call has ended
	AnswerRecord                   // the call was answered; its FinalRecord follows
)

// EndSource is how the router learnt that a call ended.
type EndSource uint8

// Sources of a call's end.
const (
	EndedByRouter EndSource = iota + 1 // this router gave the final answer
	EndedByCaller                      // the caller's end released the call
	EndedByFarEnd                      // the far end released the call
	EndedByLoss                        // the connection with one of the ends was lost
	EndedByTimer                       // the watchdog timer ended the call
)

// Attempt is one attempt to set up a call, including one that could not be sent.
type Attempt struct {
	Exchange  int               // number of its exchange; decide.Unknown if the processor is not listed
	Processor decide.ExchangeID // ID of the processor that it was sent to
	Tandem    bool              // sent via a tandem instead of directly to the destination
	Bearer    Bearer
	Sent      time.Duration // on the router's clock
	Duration  time.Duration // until its answer, or its end without one
	Outcome   decide.Outcome
	Cause     Cause // cause from the far end, 0 if none
}

// Record describes a call at its answer or at its end.
type Record struct {
	Kind      RecordKind
	Call      decide.CallID
	CallSeq   uint64 // counts accepted calls from 1; unlike Call it is never reused
	RecordSeq uint64 // counts records from 1; see Core.MarkDurable
	Origin    int
	Bearer    Bearer // of the caller's leg
	Class     int
	Tenant    int
	Dest      int
	Width     int
	Transit   bool
	End       End
	Cause     Cause
	EndSource EndSource
	Attempts  []Attempt
	Offered   time.Duration // on the router's clock
	SetupTime time.Duration // from offer to answer, 0 if not answered
	Duration  time.Duration // time since the answer, 0 if not answered
	Called    string
	Calling   string
	User      string
	Context   string
}

// Stats are counters since the router started.
type Stats struct {
	Offered            uint64 // calls accepted
	Rejected           uint64 // calls rejected without a record
	Ends               [Abandoned + 1]uint64
	Attempts           uint64 // set-ups sent
	Overdue            uint64 // calls answered by the watchdog timer: a defect of the controller
	Withdrawn          uint64 // set-ups withdrawn before the end of a drain's grace period
	AnsweredNotDurable uint64 // answers sent before their record was durable
	ActionFaults       uint64 // actions of the controller that could not be executed: a defect
}
