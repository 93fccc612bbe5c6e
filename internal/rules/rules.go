// Package rules checks captured traffic for violations of the five call-handling rules. It uses only the protocols'
// messages and the notices of a capture, and no state of the router.
//
// A try is one dialling by a caller: the first of a call or a redial. An attempt is one set-up that a router sends
// for a call.
package rules

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pipitring/internal/capture"
	"pipitring/internal/iax2"
)

// Rule is the number of a rule, from 1 to 5.
type Rule int

// The five rules.
const (
	OneAnswer           Rule = iota + 1 // exactly one final answer, in time, and nothing sent after it
	OneAttempt                          // never two attempts of a call in progress at once
	DrainObserved                       // no set-up to a draining or removed exchange after the grace period
	SlowStartObserved                   // a cold switch is not overloaded
	ReleaseWaitObserved                 // the release wait after a time-out, a reset or a cancel is observed
)

func (r Rule) String() string {
	return fmt.Sprintf("rule %d (%s)", int(r), [...]string{"", "one final answer", "one attempt at a time", "drains kept",
		"cold switch not overloaded", "release awaited"}[r])
}

// Tolerances of captures from a live network. Datagrams of two sockets are recorded by two goroutines, each with its
// own delay, so that their recorded order and times are inexact.
const (
	sendTolerance   = 100 * time.Millisecond // a set-up recorded this soon after the call's end may have been sent before it
	graceTolerance  = 10 * time.Millisecond  // a set-up recorded this soon after the grace period may have been sent within it
	waitTolerance   = 15 * time.Millisecond  // a release wait recorded as shorter by this may have been complete
	answerTolerance = 20 * time.Millisecond  // an answer recorded this late may have been in time
	setUpTolerance  = 4                      // set-ups that a window may exceed a cold switch's budget by
	budgetStep      = 50 * time.Millisecond  // step by which a cold switch's budget is integrated over a window
)

// Violation is one violation of a rule.
type Violation struct {
	Rule  Rule
	At    time.Duration // since the first packet of the capture
	Party capture.Party
	Call  string // calling number of the call
	Text  string
}

func (v Violation) String() string {
	return fmt.Sprintf("%9.3f s  %v: %v, call %q: %s", v.At.Seconds(), v.Rule, v.Party, v.Call, v.Text)
}

// Outcome is how a try ended, as its caller saw it.
type Outcome string

// Outcomes of a try.
const (
	Answered   Outcome = "stood"      // the try was answered
	Refused    Outcome = "refused"    // the final answer was a refusal
	Failed     Outcome = "failed"     // the final answer was a failure
	Abandoned  Outcome = "left"       // the caller hung up before an answer
	Unanswered Outcome = "unanswered" // no final answer came, because the router was down or too late
	Unfinished Outcome = "unfinished" // the capture ended before the try did
)

// Report is the result of checking a capture.
type Report struct {
	Violations  []Violation
	Tries       int
	Outcomes    map[string]map[Outcome]int // by called context, which identifies the class
	SetUpDelays []time.Duration            // from NEW to ANSWER as seen by the callers, ascending
	Causes      map[uint8]int              // causes of final answers other than ANSWER
	Cut         int                        // calls that were answered and then cut
	Attempts    int                        // set-ups sent by routers
	Malformed   int
	Datagrams   int
	Duration    time.Duration
	TryDetails  []Try // all classified tries, if Checker.KeepTries is set
}

// Try is one try of a caller.
type Try struct {
	Router       int
	Call         string // calling number of the call
	Outcome      Outcome
	RouterDown   bool // the router was killed or not running during the try
	Acknowledged bool // the router acknowledged the call
	at           time.Duration
}

// recordSyncTime is how long a call record may take to reach the disk. A caller that hung up within this time
// before its router was killed may have left no record.
const recordSyncTime = 100 * time.Millisecond

// Count returns the number of tries with an outcome, over all contexts.
func (r *Report) Count(o Outcome) (n int) {
	for _, m := range r.Outcomes {
		n += m[o]
	}
	return n
}

// Checker checks the rules packet by packet. The zero value is ready to use.
type Checker struct {
	KeepTries bool // lists every try in Report.TryDetails
	// Exact is set if every packet is recorded at the moment it is sent, so that no tolerance for a busy machine
	// is needed.
	Exact        bool
	report       Report
	captureStart time.Time
	parameters   capture.Parameters
	dialogs      map[dialogKey]*dialog
	openTries    []*dialog // tries of callers, oldest first
	calls        map[routerCall]*callState
	// noReadySince is, by router and exchange, the time since which the router has known no ready processor there,
	// or -1 if it knows one.
	noReadySince map[int]map[int]time.Duration
	coldStarts   map[int]*coldStart
	routerUp     map[int]bool
	killedAt     map[int]time.Duration // last time at which each router was killed
	startedAt    map[int]time.Duration // last time at which each router started
	now          time.Duration
	frame        iax2.Frame
	elements     iax2.Elements
}

// dialogKey identifies a dialog by its opener's number for it.
type dialogKey struct {
	opener, other capture.Party
	number        uint16
}

// dialog is a set-up and the dialog that followed it.
type dialog struct {
	dialogKey
	remoteNumber    uint16
	call            string
	context         string
	opened          time.Duration
	openingID       uint64 // timestamp and length of the NEW, to distinguish a retransmission from a reused number
	tokenRequested  bool   // the other end asked for a call token
	finalAnswers    []finalAnswer
	releasedAt      time.Duration // when the opener sent HANGUP or REL; 0 if it has not
	hangupTimestamp uint32        // timestamp of the opener's HANGUP
	answered        bool
	acknowledged    bool          // circuits only: the other end has acknowledged the set-up
	answeredAt      time.Duration // 0 if not answered
	// ambiguous is set if the router had received the call more than once when it sent this set-up, which cannot be
	// assigned to one of them.
	ambiguous    bool
	attemptEnded bool // as an attempt of the opener
	callEnded    bool // at the router that received the set-up
	classified   bool
}

// finalAnswer is a final answer. Frames with the same sequence number are retransmissions of the same answer.
type finalAnswer struct {
	seq  uint8
	name string
}

// routerCall identifies a call at one router.
type routerCall struct {
	router int
	call   string
}

// callState is the state of a call at one router, with its current attempt.
type callState struct {
	currentAttempt *dialog       // last set-up that the router sent, nil once it has ended
	openCalls      int           // open dialogs by which the call reached the router
	lastOpened     time.Duration // when the newest of them was opened; earlier set-ups belong to an older one
	endedAt        time.Duration // end of the call at this router; 0 if it has not ended
	notBefore      time.Duration // no set-up is allowed before this time
	waitReason     string        // why notBefore is set
}

// coldStart is the start of a processor and the set-ups sent to it since.
type coldStart struct {
	capture.Started
	startedAt time.Duration
	setUps    []time.Duration
	reported  bool
}

// Packet checks one packet. Packets must be passed in order of time.
func (c *Checker) Packet(p capture.Packet) {
	if c.dialogs == nil {
		c.dialogs, c.calls = map[dialogKey]*dialog{}, map[routerCall]*callState{}
		c.noReadySince, c.coldStarts = map[int]map[int]time.Duration{}, map[int]*coldStart{}
		c.routerUp, c.killedAt, c.startedAt = map[int]bool{}, map[int]time.Duration{}, map[int]time.Duration{}
		c.report.Outcomes, c.report.Causes = map[string]map[Outcome]int{}, map[uint8]int{}
		c.captureStart = p.At
	}
	c.now = p.At.Sub(c.captureStart)
	c.report.Duration = c.now
	if p.Notice != nil {
		c.handleNotice(p.Notice)
		return
	}
	if p.Reset {
		c.handleAssociationLoss(p.From, p.To)
		return
	}
	c.report.Datagrams++
	if p.M3UA {
		c.handleM3UAMessage(p.From, p.To, p.Payload)
		return
	}
	f := &c.frame
	if err := iax2.ParseFrame(p.Payload, f); err != nil {
		c.report.Malformed++
		return
	}
	if f.Layout != iax2.Full {
		return
	}
	if f.Type == iax2.FrameIAX {
		if err := c.elements.Parse(f.Payload); err != nil {
			c.report.Malformed++
			return
		}
	}
	c.handleFullFrame(p.From, p.To, f)
}

// Violations returns the violations found so far.
func (c *Checker) Violations() []Violation { return c.report.Violations }

// exactTolerance is the round-trip time between a party and the router of its own exchange.
const exactTolerance = time.Millisecond

// tolerance returns d, limited to exactTolerance if all packet times are exact.
func (c *Checker) tolerance(d time.Duration) time.Duration {
	if c.Exact {
		return min(d, exactTolerance)
	}
	return d
}

func (c *Checker) addViolation(r Rule, party capture.Party, call, format string, args ...any) {
	c.report.Violations = append(c.report.Violations, Violation{r, c.now, party, call, fmt.Sprintf(format, args...)})
}

func (c *Checker) handleNotice(n *capture.Notice) {
	switch {
	case n.Parameters != nil:
		c.parameters = *n.Parameters
	case n.List != nil:
		c.updateList(n.List)
	case n.Started != nil:
		c.checkSlowStart(c.coldStarts[n.Started.Exchange])
		c.coldStarts[n.Started.Exchange] = &coldStart{Started: *n.Started, startedAt: c.now}
	case n.Router != nil:
		c.routerUp[n.Router.Exchange] = n.Router.Up
		c.dropRouter(n.Router.Exchange)
		if n.Router.Up {
			c.startedAt[n.Router.Exchange] = c.now
		} else {
			c.killedAt[n.Router.Exchange] = c.now
			for i := len(c.report.TryDetails) - 1; i >= 0 && c.report.TryDetails[i].at > c.now-recordSyncTime; i-- {
				if t := &c.report.TryDetails[i]; t.Router == n.Router.Exchange && t.Outcome == Abandoned {
					t.RouterDown = true
				}
			}
		}
	}
}

// dropRouter drops the calls and attempts of a router that was killed or started. Their callers have to dial again.
func (c *Checker) dropRouter(router int) {
	maps.DeleteFunc(c.calls, func(rc routerCall, _ *callState) bool { return rc.router == router })
	for _, d := range c.dialogs {
		if d.opener == (capture.Party{Kind: capture.Router, Exchange: router}) {
			d.attemptEnded = true
		}
		if d.other == (capture.Party{Kind: capture.Router, Exchange: router}) {
			d.callEnded = true // the killed router has lost its state of the call
		}
	}
}

// updateList records since when a router has known no ready processor at each exchange.
func (c *Checker) updateList(l *capture.List) {
	ready, named := map[int]bool{}, map[int]bool{}
	for _, p := range l.Phases {
		named[p.Exchange] = true
		ready[p.Exchange] = ready[p.Exchange] || p.Phase == "ready"
	}
	old := c.noReadySince[l.Router]
	since := map[int]time.Duration{}
	for x := range old {
		if !named[x] {
			named[x] = true // no entry of the exchange is left on the list
		}
	}
	for x := range named {
		if ready[x] {
			since[x] = -1
			continue
		}
		if start, ok := old[x]; ok && start >= 0 {
			since[x] = start
		} else {
			since[x] = c.now
		}
	}
	c.noReadySince[l.Router] = since
}

// handleFullFrame checks one full frame.
func (c *Checker) handleFullFrame(from, to capture.Party, f *iax2.Frame) {
	if f.Is(iax2.New) && f.Dest == 0 {
		c.handleNew(from, to, f)
		return
	}
	if d := c.dialogs[dialogKey{to, from, f.Dest}]; d != nil && f.Dest != 0 &&
		(d.remoteNumber == 0 || d.remoteNumber == f.Source || f.Is(iax2.Inval)) {
		first := f.OSeq == 0 && !f.Is(iax2.Inval) && !f.Is(iax2.CallToken)
		if d.remoteNumber == 0 && first {
			d.remoteNumber = f.Source
		}
		if d.remoteNumber != 0 || f.Is(iax2.Inval) || f.Is(iax2.CallToken) {
			c.handleReply(d, f) // otherwise it belongs to an older dialog of a router that was killed since
		}
		return
	}
	if d := c.dialogs[dialogKey{from, to, f.Source}]; d != nil {
		if f.Is(iax2.Hangup) {
			d.hangupTimestamp = f.Timestamp
			c.openerReleased(d)
		}
	}
}

// handleNew checks a NEW.
func (c *Checker) handleNew(from, to capture.Party, f *iax2.Frame) {
	k := dialogKey{from, to, f.Source}
	openingID := uint64(f.Timestamp)<<32 | uint64(len(f.Payload))
	d := c.dialogs[k]
	retransmission := d != nil && (d.openingID == openingID || f.Retransmitted) && !d.attemptEnded
	if d != nil && d.openingID == openingID && f.Retransmitted {
		retransmission = true
	}
	if from.Kind == capture.Router {
		c.checkDrain(from, to, c.elements.Text(iax2.CallingNumber))
	}
	if retransmission {
		return
	}
	if d != nil {
		if d.tokenRequested && !d.attemptEnded && len(d.finalAnswers) == 0 && c.elements.Text(iax2.CallingNumber) == d.call {
			d.openingID = openingID // the same call repeated with a call token
			return
		}
		c.finishDialog(d)
	}
	c.beginSetUp(&dialog{dialogKey: k, opened: c.now, openingID: openingID, call: c.elements.Text(iax2.CallingNumber),
		context: c.elements.Text(iax2.CalledContext)})
}

// beginSetUp checks a new set-up of either protocol.
func (c *Checker) beginSetUp(d *dialog) {
	from, to := d.opener, d.other
	c.dialogs[d.dialogKey] = d
	if to.Kind == capture.Router {
		state := c.callStateOf(to, d.call)
		state.openCalls++
		// For this router it is a new call; observing the release wait is up to the sender.
		state.endedAt, state.notBefore, state.lastOpened = 0, 0, c.now
	}
	switch from.Kind {
	case capture.Callers:
		c.report.Tries++
		c.openTries = append(c.openTries, d)
		c.evictFinished()
	case capture.Router:
		c.report.Attempts++
		c.checkAttempt(d)
	}
	if to.Kind == capture.Switch {
		if s := c.coldStarts[to.Exchange]; s != nil && c.now-s.startedAt <= s.ColdDuration {
			s.setUps = append(s.setUps, c.now)
		}
	}
}

// checkDrain checks rule 3. Retransmissions count as well, since the exchange may not have received the
// original.
func (c *Checker) checkDrain(from, to capture.Party, call string) {
	since, ok := c.noReadySince[from.Exchange][to.Exchange]
	if ok && since >= 0 && c.now > since+c.parameters.DrainGrace+c.tolerance(graceTolerance) {
		c.addViolation(DrainObserved, from, call, "set-up to %v %.3f s after the list showed no ready processor there",
			to, (c.now - since).Seconds())
	}
}

// checkAttempt checks rule 1 (nothing is sent after the end of a call), rule 2 and rule 5.
func (c *Checker) checkAttempt(d *dialog) {
	state := c.callStateOf(d.opener, d.call)
	switch {
	case state.openCalls > 1:
		// The router has received the call twice, once by an attempt that its sender has abandoned. Its own
		// set-ups cannot be assigned to one of the two.
		d.ambiguous = true
	case state.endedAt > 0 && c.now > state.endedAt+c.tolerance(sendTolerance):
		c.addViolation(OneAnswer, d.opener, d.call, "set-up to %v %.3f s after the call's end", d.other,
			(c.now - state.endedAt).Seconds())
	case state.currentAttempt != nil && state.currentAttempt.answered && state.openCalls > 0:
		// The answered dialog belongs to one of the received set-ups, this one to another.
		d.ambiguous = true
	case state.currentAttempt != nil && !state.currentAttempt.attemptEnded && state.currentAttempt.opened >= state.lastOpened:
		c.addViolation(OneAttempt, d.opener, d.call, "set-up to %v while the one to %v, %.3f s earlier, is in progress",
			d.other, state.currentAttempt.other, (c.now - state.currentAttempt.opened).Seconds())
	case state.notBefore > 0 && c.now < state.notBefore-c.tolerance(waitTolerance):
		c.addViolation(ReleaseWaitObserved, d.opener, d.call, "set-up to %v %.3f s too early after the last one was %s", d.other,
			(state.notBefore - c.now).Seconds(), state.waitReason)
	}
	state.currentAttempt, state.notBefore = d, 0
}

// endAttempt records the end of a router's attempt. reason is set if the release wait applies after it.
func (c *Checker) endAttempt(d *dialog, reason string) {
	if d.attemptEnded {
		return
	}
	d.attemptEnded = true
	if d.opener.Kind != capture.Router {
		return
	}
	if state := c.calls[routerCall{d.opener.Exchange, d.call}]; state != nil && state.currentAttempt == d {
		state.currentAttempt = nil
		if reason != "" && !d.answered && !d.ambiguous && d.opened >= state.lastOpened {
			state.notBefore, state.waitReason = c.now+c.parameters.ReleaseWait, reason
		}
	}
}

// endCall records the end of a call at the router that received it.
func (c *Checker) endCall(d *dialog) {
	if d.other.Kind != capture.Router || d.callEnded {
		return
	}
	d.callEnded = true
	if state := c.callStateOf(d.other, d.call); state.openCalls > 0 {
		if state.openCalls--; state.openCalls == 0 {
			state.endedAt = max(c.now, 1)
		}
	}
}

// callStateOf returns the state of a call at a router.
func (c *Checker) callStateOf(router capture.Party, call string) *callState {
	rc := routerCall{router.Exchange, call}
	state := c.calls[rc]
	if state == nil {
		state = &callState{}
		c.calls[rc] = state
	}
	return state
}

// handleReply checks a frame from the other end of a dialog.
func (c *Checker) handleReply(d *dialog, f *iax2.Frame) {
	d.tokenRequested = d.tokenRequested || f.Is(iax2.CallToken)
	if f.Is(iax2.Inval) && d.remoteNumber != 0 || f.Is(iax2.Ack) && f.Timestamp == d.hangupTimestamp {
		c.confirmRelease(d) // an INVAL before any other reply means that the HANGUP overtook the NEW
	}
	if f.Is(iax2.Inval) {
		c.handleInval(d)
		return
	}
	answer := f.IsControl(iax2.ControlAnswer)
	end := f.Is(iax2.Reject) || f.Is(iax2.Hangup) || f.IsControl(iax2.ControlBusy) || f.IsControl(iax2.ControlCongestion)
	if !answer && !end {
		return
	}
	cause := uint8(iax2.CauseBusy)
	if f.Type == iax2.FrameIAX {
		cause = uint8(c.elements.Uint(iax2.CauseCode))
	}
	c.handleFinalAnswer(d, f.OSeq, f.Name(), answer, cause)
}

// handleInval handles an INVAL: the other end has no state of the dialog.
func (c *Checker) handleInval(d *dialog) {
	c.endAttempt(d, "reset")
	if d.opener.Kind == capture.Callers {
		d.attemptEnded = true
	}
}

// handleFinalAnswer checks a final answer, or the release of a standing call by the other end. seq identifies
// retransmissions.
func (c *Checker) handleFinalAnswer(d *dialog, seq uint8, name string, answer bool, cause uint8) {
	end := !answer
	if slices.ContainsFunc(d.finalAnswers, func(x finalAnswer) bool { return x.seq == seq }) {
		return // a retransmission
	}
	if n := len(d.finalAnswers); n > 0 && d.number&circuitFlag == 0 && int8(seq-d.finalAnswers[n-1].seq) < 0 {
		return // a retransmission of a lost frame that was sent before the last one
	}
	if d.releasedAt > 0 {
		c.endAttempt(d, "") // the answer crossed the opener's release
		return
	}
	if len(d.finalAnswers) > 0 && !(end && d.answered && len(d.finalAnswers) == 1) {
		c.addViolation(OneAnswer, d.other, d.call, "%s after %s", name, d.finalAnswers[len(d.finalAnswers)-1].name)
	}
	d.finalAnswers = append(d.finalAnswers, finalAnswer{seq, name})
	if answer && !d.answered && len(d.finalAnswers) == 1 {
		d.answered, d.answeredAt = true, c.now
		if d.opener.Kind == capture.Callers {
			c.report.SetUpDelays = append(c.report.SetUpDelays, c.now-d.opened)
			c.recordOutcome(d, Answered)
			c.checkAnswerTime(d)
		}
		c.endCall(d)
		return
	}
	if end {
		if d.opener.Kind == capture.Callers && !d.classified {
			c.report.Causes[cause]++
			c.recordOutcome(d, outcomeOfCause(cause))
			c.checkAnswerTime(d)
		} else if d.opener.Kind == capture.Callers && d.answered && cause != iax2.CauseNormal {
			c.report.Cut++
		}
		c.endCall(d)
		c.endAttempt(d, "")
	}
}

// outcomeOfCause implements the published table of causes (docs/ops/router.md) independently of the router.
func outcomeOfCause(cause uint8) Outcome {
	switch cause {
	case 1, 17, 18, 19, 21, 22, 28, 34, 42, 44, 47:
		return Refused
	}
	return Failed
}

// checkAnswerTime checks the time limit of rule 1.
func (c *Checker) checkAnswerTime(d *dialog) {
	if p := c.parameters.Patience[d.context]; p > 0 && c.now-d.opened > p+c.tolerance(answerTolerance) {
		c.addViolation(OneAnswer, d.other, d.call, "final answer %.3f s after the end of the caller's patience",
			(c.now - d.opened - p).Seconds())
	}
}

// openerReleased handles the opener's HANGUP or REL.
func (c *Checker) openerReleased(d *dialog) {
	if d.releasedAt > 0 {
		return
	}
	d.releasedAt = max(c.now, 1)
	if d.opener.Kind == capture.Callers && !d.classified {
		c.classifyRelease(d)
	}
	if !c.Exact || d.opener.Kind == capture.Callers {
		c.endCall(d)
	} // otherwise the release is in transit until the other end confirms it by ACK or RLC
	c.endAttempt(d, "cancelled or timed out")
}

// confirmRelease ends a call at the other end once that has confirmed the opener's release.
func (c *Checker) confirmRelease(d *dialog) {
	if d.releasedAt > 0 {
		c.endCall(d)
	}
}

// classifyRelease distinguishes a caller that hung up early from one that received no answer in time.
func (c *Checker) classifyRelease(d *dialog) {
	p := c.parameters.Patience[d.context]
	switch {
	case c.routerWasDown(d):
		c.recordOutcome(d, Unanswered)
	case p > 0 && c.now-d.opened >= p-time.Millisecond:
		c.recordOutcome(d, Unanswered)
		c.addViolation(OneAnswer, d.other, d.call, "no final answer in %.3f s", (c.now - d.opened).Seconds())
	default:
		c.recordOutcome(d, Abandoned)
	}
}

// routerWasDown reports whether the called router was down for some part of a try.
func (c *Checker) routerWasDown(d *dialog) bool {
	x := d.other.Exchange
	at, killed := c.killedAt[x]
	return !c.routerUp[x] || killed && at >= d.opened-time.Second || c.startedAt[x] >= d.opened
}

func (c *Checker) recordOutcome(d *dialog, o Outcome) {
	if d.classified {
		return
	}
	d.classified = true
	m := c.report.Outcomes[d.context]
	if m == nil {
		m = map[Outcome]int{}
		c.report.Outcomes[d.context] = m
	}
	m[o]++
	if c.KeepTries {
		c.report.TryDetails = append(c.report.TryDetails, Try{d.other.Exchange, d.call, o, c.routerWasDown(d),
			d.remoteNumber != 0, c.now})
	}
}

// finishDialog classifies a try that can receive no further packets.
func (c *Checker) finishDialog(d *dialog) {
	if d.opener.Kind != capture.Callers || d.classified {
		return
	}
	p := c.parameters.Patience[d.context]
	switch {
	case c.routerWasDown(d):
		c.recordOutcome(d, Unanswered)
	case p == 0 || c.now-d.opened < p+c.tolerance(answerTolerance):
		c.recordOutcome(d, Unfinished)
	default:
		c.recordOutcome(d, Unanswered)
		c.addViolation(OneAnswer, d.other, d.call, "no final answer in %.3f s", (c.now - d.opened).Seconds())
	}
}

// evictFinished removes finished dialogs and calls, so that memory use depends on the peak load and not on the
// length of the capture.
func (c *Checker) evictFinished() {
	if len(c.openTries) < 1000 || len(c.openTries)%1000 != 0 {
		return
	}
	const retention = time.Minute
	c.openTries = slices.DeleteFunc(c.openTries, func(d *dialog) bool { return d.classified && c.now-d.opened > retention })
	for rc, state := range c.calls {
		if state.endedAt > 0 && c.now-state.endedAt > retention {
			delete(c.calls, rc)
		}
	}
	for k, d := range c.dialogs {
		if d.attemptEnded && c.now-d.opened > retention {
			delete(c.dialogs, k)
		}
	}
}

// checkSlowStart checks rule 4: in each window the set-ups sent to a cold processor must stay below
// OverloadMultiple times its capacity.
func (c *Checker) checkSlowStart(s *coldStart) {
	if s == nil || s.reported || c.parameters.OverloadWindow == 0 {
		return
	}
	lo := 0
	for hi, at := range s.setUps {
		for s.setUps[lo] < at-c.parameters.OverloadWindow {
			lo++
		}
		budget := 0.0
		for t := at - c.parameters.OverloadWindow; t < at; t += budgetStep {
			// A window that began before the start counts in full, at the processor's initial capacity.
			part := min(1, s.ColdCapacity+(1-s.ColdCapacity)*max(0, t-s.startedAt).Seconds()/s.ColdDuration.Seconds())
			budget += s.Rate * part * min(budgetStep, at-t).Seconds()
		}
		if n := float64(hi - lo + 1); n > budget*c.parameters.OverloadMultiple+setUpTolerance {
			s.reported = true
			c.addViolation(SlowStartObserved, capture.Party{Kind: capture.Switch, Exchange: s.Exchange}, "",
				"%v set-ups in %v, %.1f s after its start, with a capacity of %.1f", n, c.parameters.OverloadWindow,
				(at - s.startedAt).Seconds(), budget)
			return
		}
	}
}

// Report finishes the check and returns its result.
func (c *Checker) Report() *Report {
	for _, d := range c.openTries {
		c.finishDialog(d)
	}
	for _, x := range slices.Sorted(maps.Keys(c.coldStarts)) {
		c.checkSlowStart(c.coldStarts[x])
	}
	slices.Sort(c.report.SetUpDelays)
	return &c.report
}
