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

// Leg is one end-to-end signalling relation of a call: with its caller, or with the exchange it is sent to.
type Leg uint64

// Request is what is known of a call when it is offered.
type Request struct {
	Called  string
	Calling string
	Name    string // of the caller
	Context string
	User    string
	Passed  bool // a tandem has passed it on already
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
	Leg      Leg
	Other    Leg
	Exchange decide.ExchangeID
	Request  Request
	Cause    Cause
	Text     string
}

// End tells how a call ended for its caller.
type End uint8

// Ends of a call.
const (
	Stood   End = iota + 1 // it was answered, and released by either end
	CutOff                 // it was answered, and cut
	Refused                // final answer: turned away
	Failed                 // final answer: given up
	Left                   // the caller hung up before any answer
)

func (e End) String() string {
	return [...]string{"none", "stood", "cut", "refused", "failed", "left"}[e]
}

// RecordKind tells at which moment of its call a Record was made.
type RecordKind uint8

// Kinds of Record.
const (
	Ended RecordKind = iota // the call is over
	Began                   // it is answered; its Ended follows
)

// Known tells how the end of a call is known.
type Known uint8

// Ways to know a call's end.
const (
	ByRouter Known = iota + 1 // this router gave the final answer
	ByCaller                  // the caller's end released it
	ByFarEnd                  // the far end released it
	ByLoss                    // an end was lost
	ByTimer                   // the watchdog ended it
)

// Attempt is one set-up of a call, or one that could not leave.
type Attempt struct {
	Exchange  int // number it was sent to
	Processor decide.ExchangeID
	Tandem    bool
	Bearer    Bearer
	Sent      time.Duration // clock
	Took      time.Duration // until its end, or its answer
	Outcome   decide.Outcome
	Cause     Cause // the far end's, 0 if it gave none
}

// Record tells of one call.
type Record struct {
	Kind     RecordKind
	Call     decide.CallID
	Seq      uint64 // of calls taken since the start: never used twice, as Call may be
	Ticket   uint64 // of the records made; see Core.Durable
	Origin   int
	Bearer   Bearer // of the caller's leg
	Class    int
	Tenant   int
	Dest     int
	Width    int
	Transit  bool
	End      End
	Cause    Cause
	Known    Known
	Attempts []Attempt
	Offered  time.Duration // clock
	SetUp    time.Duration // from offer to answer, 0 if it never stood
	Length   time.Duration // it stood for
	Called   string
	Calling  string
	User     string
	Context  string
}

// Stats count since the start.
type Stats struct {
	Offered   uint64 // calls taken
	Turned    uint64 // calls rejected before they were taken
	Ends      [Left + 1]uint64
	Attempts  uint64
	Overdue   uint64 // calls answered by the watchdog: a defect of the module
	Withdrawn uint64 // set-ups called off at the end of a drain's grace
	Unproven  uint64 // answers that went out before their record was durable
	Faults    uint64 // actions of the module that could not be carried out: a defect
}
