// Package call is the call core of one router: it knows calls, legs and causes, and no protocol.
//
// Fronts tell the Core what callers and far ends do; the Core tells decide.Controller, carries out what it
// decides and leaves Outputs for the fronts. It takes no decision on routing or admission itself. A Core has
// no I/O, is told the time, and is not safe for concurrent use.
package call

import (
	"time"

	"pipitring/decide"
)

// LegID is one end-to-end signalling relation of a call: with its caller, or with the exchange it is sent to.
type LegID uint64

// Request is what is known of a call when it is offered.
type Request struct {
	Called    string
	Calling   string
	Name      string // of the caller
	Context   string
	User      string
	ViaTandem bool // a tandem has passed it on already
}

// Origin tells where a call came from.
type Origin struct {
	Exchange int // number of the exchange whose trunk group it came over; Subscriber if none
	Bearer   Bearer
}

// Bearer is what carries a leg: the front's name, and the circuit it is on, 0 where circuits have no identity.
type Bearer struct {
	Front   string
	Circuit int
}

// Subscriber is the origin of calls that came over no trunk group.
const Subscriber = decide.Unknown

// OutputKind tells what an Output asks of a front.
type OutputKind uint8

// Kinds of Output.
const (
	Connect OutputKind = iota + 1 // set Leg up toward Exchange with Request
	Proceed                       // tell the caller on Leg that its call is under way
	Answer                        // the call stands: Leg is answered and joined with Other
	Release                       // end Leg with Cause
)

// Output is one thing that a front has to do.
type Output struct {
	Kind     OutputKind
	Leg      LegID
	Other    LegID
	Exchange decide.ExchangeID
	Request  Request
	Cause    Cause
	Text     string
}

// End tells how a call ended for its caller.
type End uint8

// Ends of a call.
const (
	Answered  End = iota + 1 // it was answered, and released by either end
	CutOff                   // it was answered, and cut
	Refused                  // final answer: turned away
	Failed                   // final answer: given up
	Abandoned                // the caller hung up before any answer
)

func (e End) String() string {
	return [...]string{"none", "stood", "cut", "refused", "failed", "left"}[e]
}

// RecordKind tells at which moment of its call a Record was made.
type RecordKind uint8

// Kinds of Record.
const (
	FinalRecord  RecordKind = iota // the call is over
	AnswerRecord                   // it is answered; its Ended follows
)

// EndSource tells how the end of a call is known.
type EndSource uint8

// Ways to know a call's end.
const (
	EndedByRouter EndSource = iota + 1 // this router gave the final answer
	EndedByCaller                      // the caller's end released it
	EndedByFarEnd                      // the far end released it
	EndedByLoss                        // an end was lost
	EndedByTimer                       // the watchdog ended it
)

// Attempt is one set-up of a call, or one that could not leave.
type Attempt struct {
	Exchange  int // number it was sent to
	Processor decide.ExchangeID
	Tandem    bool
	Bearer    Bearer
	Sent      time.Duration // clock
	Duration  time.Duration // until its end, or its answer
	Outcome   decide.Outcome
	Cause     Cause // the far end's, 0 if it gave none
}

// Record tells of one call.
type Record struct {
	Kind      RecordKind
	Call      decide.CallID
	CallSeq   uint64 // of calls taken since the start: never used twice, as Call may be
	RecordSeq uint64 // of the records made; see Core.Durable
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
	Offered   time.Duration // clock
	SetupTime time.Duration // from offer to answer, 0 if it never stood
	Duration  time.Duration // it stood for
	Called    string
	Calling   string
	User      string
	Context   string
}

// Stats count since the start.
type Stats struct {
	Offered            uint64 // calls taken
	Rejected           uint64 // calls rejected before they were taken
	Ends               [Abandoned + 1]uint64
	Attempts           uint64
	Overdue            uint64 // calls answered by the watchdog: a defect of the module
	Withdrawn          uint64 // set-ups called off at the end of a drain's grace
	AnsweredNotDurable uint64 // answers that went out before their record was durable
	ActionFaults       uint64 // actions of the module that could not be carried out: a defect
}
