// Package rules judges the five rules from what crossed the wire alone. It knows the protocol and the notices of
// a capture, and nothing of the router.
package rules

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pipitring/internal/capture"
	"pipitring/internal/iax2"
)

// Rule is one of the five.
type Rule int

// The five rules.
const (
	OneAnswer           Rule = iota + 1 // one final answer in time, none lost, nothing sent after it
	OneAttempt                          // never two attempts of a call out at once
	DrainObserved                       // nothing new to a draining or gone exchange after the grace
	SlowStartObserved                   // a cold switch is not pushed over
	ReleaseWaitObserved                 // the stated wait after a time-out, a reset or a cancel
)

func (r Rule) String() string {
	return fmt.Sprintf("rule %d (%s)", int(r), [...]string{"", "one final answer", "one attempt at a time", "drains kept",
		"cold switch spared", "release awaited"}[r])
}

// Tolerances: datagrams of two sockets are recorded by two goroutines, each some time after they crossed.
const (
	sendSlack   = 100 * time.Millisecond // a set-up recorded so long after the call's end may have left before it
	graceSlack  = 10 * time.Millisecond
	waitSlack   = 15 * time.Millisecond
	answerSlack = 20 * time.Millisecond // beyond the caller's patience
	chanceSlack = 4                     // set-ups beyond a cold switch's budget
	coldStep    = 50 * time.Millisecond // in which its budget is added up
)

// Violation is one case of a rule broken.
type Violation struct {
	Rule  Rule
	At    time.Duration // since the capture's first packet
	Party capture.Party
	Call  string // its calling number
	Text  string
}

func (b Violation) String() string {
	return fmt.Sprintf("%9.3f s  %v: %v, call %q: %s", b.At.Seconds(), b.Rule, b.Party, b.Call, b.Text)
}

// Outcome is how a try ended for its caller.
type Outcome string

// Outcomes of a try.
const (
	Answered   Outcome = "stood"
	Refused    Outcome = "refused"
	Failed     Outcome = "failed"
	Abandoned  Outcome = "left"       // the caller hung up before any answer
	Unanswered Outcome = "unanswered" // the router was down
	Unfinished Outcome = "unfinished" // the capture ended before the try did
)

// Report is what a capture shows.
type Report struct {
	Violations []Violation
	Tries      int
	Outcomes   map[string]map[Outcome]int // by context, which tells the class
	SetUps     []time.Duration            // from NEW to ANSWER as the callers saw it, sorted
	Causes     map[uint8]int              // of final answers that are no ANSWER
	Cut        int                        // calls that stood and were cut
	Attempts   int                        // set-ups that routers sent
	Malformed  int
	Datagrams  int
	Duration   time.Duration
	TryDetails []Try // every try of a caller, if the Checker's Keep asks for them
}

// Try is one try of a caller.
type Try struct {
	Router       int
	Call         string // its calling number
	Outcome      Outcome
	RouterDown   bool // the router was killed, or did not run, in its time
	Acknowledged bool // the router showed to have the call
	at           time.Duration
}

// syncs is how long a record may be on its way to the disk: of a caller that left so shortly before its router was
// killed there may be none.
const syncs = 100 * time.Millisecond

// Count adds an outcome over all contexts.
func (r *Report) Count(o Outcome) (n int) {
	for _, m := range r.Outcomes {
		n += m[o]
	}
	return n
}

// Checker judges packet by packet. The zero value is ready.
type Checker struct {
	KeepTries bool // the report lists every try
	Exact     bool // all is recorded at the moment at which it crossed: nothing is allowed for a busy machine
	report    Report
	first     time.Time
	figures   capture.Parameters
	dialogs   map[key]*dialog
	open      []*dialog // of callers, oldest first
	calls     map[routerCall]*attempts
	lists     map[int]map[int]time.Duration // router, exchange: since when it was told of no ready processor
	starts    map[int]*cold
	up        map[int]bool
	killed    map[int]time.Duration // when a router was killed last,
	started   map[int]time.Duration // and when it started last
	now       time.Duration
	frame     iax2.Frame
	elems     iax2.Elements
}

// key is a dialog as the party that opened it names it.
type key struct {
	opener, other capture.Party
	number        uint16
}

// dialog is one opening and what followed.
type dialog struct {
	key
	remote   uint16
	call     string
	context  string
	opened   time.Duration
	opening  uint64 // its timestamp and length, to tell a repeat from a number used again
	token    bool   // the opened end asked for a call token
	finals   []final
	leftAt   time.Duration // the opener's HANGUP; 0 is none
	leftMark uint32        // its timestamp
	answered bool
	heard    bool          // on a circuit: the opened end has shown to have the set-up
	stoodAt  time.Duration // when it was answered
	shared   bool          // as an attempt: sent while the call was there twice
	over     bool          // as an attempt
	ended    bool          // at the router that took it
	judged   bool
}

// final is one final answer: frames of one number are one, however often repeated.
type final struct {
	seq  uint8
	name string
}

// routerCall is a call at one router.
type routerCall struct {
	router int
	call   string
}

// attempts are the set-ups that a router sent for a call.
type attempts struct {
	out      *dialog
	in       int           // dialogs open by which the call came to the router
	lastIn   time.Duration // the newest of them opened: set-ups before belong to an earlier one
	closedAt time.Duration // the call's end at this router; 0 is not yet
	quiet    time.Duration // no set-up before this
	why      string
}

// cold is a processor's start.
type cold struct {
	capture.Started
	at    time.Duration
	sent  []time.Duration
	found bool
}

// Packet judges one packet; they come in order of time.
func (c *Checker) Packet(p capture.Packet) {
	if c.dialogs == nil {
		c.dialogs, c.calls = map[key]*dialog{}, map[routerCall]*attempts{}
		c.lists, c.starts = map[int]map[int]time.Duration{}, map[int]*cold{}
		c.up, c.killed, c.started = map[int]bool{}, map[int]time.Duration{}, map[int]time.Duration{}
		c.report.Outcomes, c.report.Causes = map[string]map[Outcome]int{}, map[uint8]int{}
		c.first = p.At
	}
	c.now = p.At.Sub(c.first)
	c.report.Duration = c.now
	if p.Notice != nil {
		c.notice(p.Notice)
		return
	}
	if p.Reset {
		c.associationLost(p.From, p.To)
		return
	}
	c.report.Datagrams++
	if p.M3UA {
		c.message(p.From, p.To, p.Payload)
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
		if err := c.elems.Parse(f.Payload); err != nil {
			c.report.Malformed++
			return
		}
	}
	c.full(p.From, p.To, f)
}

// Violations is what has been found so far.
func (c *Checker) Violations() []Violation { return c.report.Violations }

// exactSlack is what lies between a party and the router of its own exchange, there and back.
const exactSlack = time.Millisecond

// slack is what is allowed for a machine that records late.
func (c *Checker) slack(d time.Duration) time.Duration {
	if c.Exact {
		return min(d, exactSlack)
	}
	return d
}

func (c *Checker) broken(r Rule, who capture.Party, call, format string, args ...any) {
	c.report.Violations = append(c.report.Violations, Violation{r, c.now, who, call, fmt.Sprintf(format, args...)})
}

func (c *Checker) notice(n *capture.Notice) {
	switch {
	case n.Parameters != nil:
		c.figures = *n.Parameters
	case n.List != nil:
		c.listTold(n.List)
	case n.Started != nil:
		c.judgeCold(c.starts[n.Started.Exchange])
		c.starts[n.Started.Exchange] = &cold{Started: *n.Started, at: c.now}
	case n.Router != nil:
		c.up[n.Router.Exchange] = n.Router.Up
		c.forget(n.Router.Exchange)
		if n.Router.Up {
			c.started[n.Router.Exchange] = c.now
		} else {
			c.killed[n.Router.Exchange] = c.now
			for i := len(c.report.TryDetails) - 1; i >= 0 && c.report.TryDetails[i].at > c.now-syncs; i-- {
				if t := &c.report.TryDetails[i]; t.Router == n.Router.Exchange && t.Outcome == Abandoned {
					t.RouterDown = true
				}
			}
		}
	}
}

// forget drops the attempts of a router that was killed or starts anew: what it held is its callers' to try again.
func (c *Checker) forget(router int) {
	maps.DeleteFunc(c.calls, func(rc routerCall, _ *attempts) bool { return rc.router == router })
	for _, d := range c.dialogs {
		if d.opener == (capture.Party{Kind: capture.Router, Exchange: router}) {
			d.over = true
		}
		if d.other == (capture.Party{Kind: capture.Router, Exchange: router}) {
			d.ended = true // it counts there no more
		}
	}
}

// listTold notes since when a router knows of no ready processor at an exchange.
func (c *Checker) listTold(l *capture.List) {
	ready, named := map[int]bool{}, map[int]bool{}
	for _, p := range l.Phases {
		named[p.Exchange] = true
		ready[p.Exchange] = ready[p.Exchange] || p.Phase == "ready"
	}
	old := c.lists[l.Router]
	told := map[int]time.Duration{}
	for x := range old {
		if !named[x] {
			named[x] = true // gone from the list altogether
		}
	}
	for x := range named {
		if ready[x] {
			told[x] = -1
			continue
		}
		if since, ok := old[x]; ok && since >= 0 {
			told[x] = since
		} else {
			told[x] = c.now
		}
	}
	c.lists[l.Router] = told
}

// full judges one full frame.
func (c *Checker) full(from, to capture.Party, f *iax2.Frame) {
	if f.Is(iax2.New) && f.Dest == 0 {
		c.opening(from, to, f)
		return
	}
	if d := c.dialogs[key{to, from, f.Dest}]; d != nil && f.Dest != 0 && (d.remote == 0 || d.remote == f.Source || f.Is(iax2.Inval)) {
		first := f.OSeq == 0 && !f.Is(iax2.Inval) && !f.Is(iax2.CallToken)
		if d.remote == 0 && first {
			d.remote = f.Source
		}
		if d.remote != 0 || f.Is(iax2.Inval) || f.Is(iax2.CallToken) {
			c.reply(d, f) // else it belongs to an older dialog of a router that was killed since
		}
		return
	}
	if d := c.dialogs[key{from, to, f.Source}]; d != nil {
		if f.Is(iax2.Hangup) {
			d.leftMark = f.Timestamp
			c.openerLeft(d)
		}
	}
}

// opening judges a NEW.
func (c *Checker) opening(from, to capture.Party, f *iax2.Frame) {
	k := key{from, to, f.Source}
	mark := uint64(f.Timestamp)<<32 | uint64(len(f.Payload))
	d := c.dialogs[k]
	repeat := d != nil && (d.opening == mark || f.Retransmitted) && !d.over
	if d != nil && d.opening == mark && f.Retransmitted {
		repeat = true
	}
	if from.Kind == capture.Router {
		c.judgeDrain(from, to, c.elems.Text(iax2.CallingNumber))
	}
	if repeat {
		return
	}
	if d != nil {
		if d.token && !d.over && len(d.finals) == 0 && c.elems.Text(iax2.CallingNumber) == d.call {
			d.opening = mark // the same call once more, now with a token
			return
		}
		c.finish(d)
	}
	c.begin(&dialog{key: k, opened: c.now, opening: mark, call: c.elems.Text(iax2.CallingNumber),
		context: c.elems.Text(iax2.CalledContext)})
}

// begin judges a set-up that was not seen before, in whatever protocol.
func (c *Checker) begin(d *dialog) {
	from, to := d.opener, d.other
	c.dialogs[d.key] = d
	if to.Kind == capture.Router {
		a := c.at(to, d.call)
		a.in++
		a.closedAt, a.quiet, a.lastIn = 0, 0, c.now // to this router it is another call; the wait is its sender's to keep
	}
	switch from.Kind {
	case capture.Callers:
		c.report.Tries++
		c.open = append(c.open, d)
		c.sweep()
	case capture.Router:
		c.report.Attempts++
		c.judgeAttempt(d)
	}
	if to.Kind == capture.Switch {
		if s := c.starts[to.Exchange]; s != nil && c.now-s.at <= s.ColdDuration {
			s.sent = append(s.sent, c.now)
		}
	}
}

// judgeDrain is rule 3; a repeated opening counts as well, since the exchange may not have had the first.
func (c *Checker) judgeDrain(from, to capture.Party, call string) {
	since, ok := c.lists[from.Exchange][to.Exchange]
	if ok && since >= 0 && c.now > since+c.figures.DrainGrace+c.slack(graceSlack) {
		c.broken(DrainObserved, from, call, "set-up to %v %.3f s after it was told that no processor there is ready",
			to, (c.now - since).Seconds())
	}
}

// judgeAttempt is rules 1 (nothing after the end), 2 and 5.
func (c *Checker) judgeAttempt(d *dialog) {
	a := c.at(d.opener, d.call)
	switch {
	case a.in > 1:
		// The call has come twice, by an attempt that its sender has given up and by a new one, and the set-ups
		// beyond cannot be told apart: each belongs to one of them.
		d.shared = true
	case a.closedAt > 0 && c.now > a.closedAt+c.slack(sendSlack):
		c.broken(OneAnswer, d.opener, d.call, "set-up to %v %.3f s after the call's end", d.other, (c.now - a.closedAt).Seconds())
	case a.out != nil && a.out.answered && a.in > 0:
		// The one that stands belongs to an attempt that was answered; this one to the other that came.
		d.shared = true
	case a.out != nil && !a.out.over && a.out.opened >= a.lastIn:
		c.broken(OneAttempt, d.opener, d.call, "set-up to %v while the one to %v of %.3f s before is out", d.other, a.out.other,
			(c.now - a.out.opened).Seconds())
	case a.quiet > 0 && c.now < a.quiet-c.slack(waitSlack):
		c.broken(ReleaseWaitObserved, d.opener, d.call, "set-up to %v %.3f s too early after the last one was %s", d.other,
			(a.quiet - c.now).Seconds(), a.why)
	}
	a.out, a.quiet = d, 0
}

// attemptOver notes how a router's attempt ended; why is set where the release has to be awaited.
func (c *Checker) attemptOver(d *dialog, why string) {
	if d.over {
		return
	}
	d.over = true
	if d.opener.Kind != capture.Router {
		return
	}
	if a := c.calls[routerCall{d.opener.Exchange, d.call}]; a != nil && a.out == d {
		a.out = nil
		if why != "" && !d.answered && !d.shared && d.opened >= a.lastIn {
			a.quiet, a.why = c.now+c.figures.ReleaseWait, why
		}
	}
}

// callEnded notes the end of a call at the router that took it.
func (c *Checker) callEnded(d *dialog) {
	if d.other.Kind != capture.Router || d.ended {
		return
	}
	d.ended = true
	if a := c.at(d.other, d.call); a.in > 0 {
		if a.in--; a.in == 0 {
			a.closedAt = max(c.now, 1)
		}
	}
}

// at finds the attempts of a call at a router.
func (c *Checker) at(router capture.Party, call string) *attempts {
	rc := routerCall{router.Exchange, call}
	a := c.calls[rc]
	if a == nil {
		a = &attempts{}
		c.calls[rc] = a
	}
	return a
}

// reply judges what the opened end says.
func (c *Checker) reply(d *dialog, f *iax2.Frame) {
	d.token = d.token || f.Is(iax2.CallToken)
	if f.Is(iax2.Inval) && d.remote != 0 || f.Is(iax2.Ack) && f.Timestamp == d.leftMark {
		c.learnt(d) // an INVAL before any other word: the HANGUP has overtaken the NEW
	}
	if f.Is(iax2.Inval) {
		c.wasReset(d)
		return
	}
	answer := f.IsControl(iax2.ControlAnswer)
	end := f.Is(iax2.Reject) || f.Is(iax2.Hangup) || f.IsControl(iax2.ControlBusy) || f.IsControl(iax2.ControlCongestion)
	if !answer && !end {
		return
	}
	cause := uint8(iax2.CauseBusy)
	if f.Type == iax2.FrameIAX {
		cause = uint8(c.elems.Uint(iax2.CauseCode))
	}
	c.final(d, f.OSeq, f.Name(), answer, cause)
}

// wasReset takes the word of the opened end that it knows nothing of the dialog.
func (c *Checker) wasReset(d *dialog) {
	c.attemptOver(d, "reset")
	if d.opener.Kind == capture.Callers {
		d.over = true
	}
}

// final judges a final answer of the opened end, or the end of a call that stood; seq tells its repeats.
func (c *Checker) final(d *dialog, seq uint8, name string, answer bool, cause uint8) {
	end := !answer
	if slices.ContainsFunc(d.finals, func(x final) bool { return x.seq == seq }) {
		return // the same frame again
	}
	if n := len(d.finals); n > 0 && d.number&onCircuit == 0 && int8(seq-d.finals[n-1].seq) < 0 {
		return // sent before what came before it, lost, and sent again
	}
	if d.leftAt > 0 {
		c.attemptOver(d, "") // it crossed the opener's HANGUP
		return
	}
	if len(d.finals) > 0 && !(end && d.answered && len(d.finals) == 1) {
		c.broken(OneAnswer, d.other, d.call, "%s after %s", name, d.finals[len(d.finals)-1].name)
	}
	d.finals = append(d.finals, final{seq, name})
	if answer && !d.answered && len(d.finals) == 1 {
		d.answered, d.stoodAt = true, c.now
		if d.opener.Kind == capture.Callers {
			c.report.SetUps = append(c.report.SetUps, c.now-d.opened)
			c.outcome(d, Answered)
			c.judgeLate(d)
		}
		c.callEnded(d)
		return
	}
	if end {
		if d.opener.Kind == capture.Callers && !d.judged {
			c.report.Causes[cause]++
			c.outcome(d, refusedOrFailed(cause))
			c.judgeLate(d)
		} else if d.opener.Kind == capture.Callers && d.answered && cause != iax2.CauseNormal {
			c.report.Cut++
		}
		c.callEnded(d)
		c.attemptOver(d, "")
	}
}

// refusedOrFailed is the product's published table of causes (docs/ops/router.md), written here anew.
func refusedOrFailed(cause uint8) Outcome {
	switch cause {
	case 1, 17, 18, 19, 21, 22, 28, 34, 42, 44, 47:
		return Refused
	}
	return Failed
}

// judgeLate is the part of rule 1 on time.
func (c *Checker) judgeLate(d *dialog) {
	if p := c.figures.Patience[d.context]; p > 0 && c.now-d.opened > p+c.slack(answerSlack) {
		c.broken(OneAnswer, d.other, d.call, "final answer %.3f s after the caller gave up", (c.now - d.opened - p).Seconds())
	}
}

// openerLeft takes the opener's HANGUP.
func (c *Checker) openerLeft(d *dialog) {
	if d.leftAt > 0 {
		return
	}
	d.leftAt = max(c.now, 1)
	if d.opener.Kind == capture.Callers && !d.judged {
		c.judgeLeaving(d)
	}
	if !c.Exact || d.opener.Kind == capture.Callers {
		c.callEnded(d)
	} // else it is on its way over a link: the other end tells by its ACK or RLC that it has learnt of it
	c.attemptOver(d, "cancelled or timed out")
}

// learnt ends a call at the router that its opener has left, once that shows to know it.
func (c *Checker) learnt(d *dialog) {
	if d.leftAt > 0 {
		c.callEnded(d)
	}
}

// judgeLeaving tells an impatient caller from one whose answer did not come in time.
func (c *Checker) judgeLeaving(d *dialog) {
	p := c.figures.Patience[d.context]
	switch {
	case c.wasDown(d):
		c.outcome(d, Unanswered)
	case p > 0 && c.now-d.opened >= p-time.Millisecond:
		c.outcome(d, Unanswered)
		c.broken(OneAnswer, d.other, d.call, "no final answer in %.3f s", (c.now - d.opened).Seconds())
	default:
		c.outcome(d, Abandoned)
	}
}

// wasDown tells whether the called router did not run for all of a try's time.
func (c *Checker) wasDown(d *dialog) bool {
	x := d.other.Exchange
	at, killed := c.killed[x]
	return !c.up[x] || killed && at >= d.opened-time.Second || c.started[x] >= d.opened
}

func (c *Checker) outcome(d *dialog, o Outcome) {
	if d.judged {
		return
	}
	d.judged = true
	m := c.report.Outcomes[d.context]
	if m == nil {
		m = map[Outcome]int{}
		c.report.Outcomes[d.context] = m
	}
	m[o]++
	if c.KeepTries {
		c.report.TryDetails = append(c.report.TryDetails, Try{d.other.Exchange, d.call, o, c.wasDown(d), d.remote != 0, c.now})
	}
}

// finish judges a dialog that can get nothing more.
func (c *Checker) finish(d *dialog) {
	if d.opener.Kind != capture.Callers || d.judged {
		return
	}
	p := c.figures.Patience[d.context]
	switch {
	case c.wasDown(d):
		c.outcome(d, Unanswered)
	case p == 0 || c.now-d.opened < p+c.slack(answerSlack):
		c.outcome(d, Unfinished)
	default:
		c.outcome(d, Unanswered)
		c.broken(OneAnswer, d.other, d.call, "no final answer in %.3f s", (c.now - d.opened).Seconds())
	}
}

// sweep forgets what is long over, so that a long capture costs no more than its busiest time.
func (c *Checker) sweep() {
	if len(c.open) < 1000 || len(c.open)%1000 != 0 {
		return
	}
	const long = time.Minute
	c.open = slices.DeleteFunc(c.open, func(d *dialog) bool { return d.judged && c.now-d.opened > long })
	for rc, a := range c.calls {
		if a.closedAt > 0 && c.now-a.closedAt > long {
			delete(c.calls, rc)
		}
	}
	for k, d := range c.dialogs {
		if d.over && c.now-d.opened > long {
			delete(c.dialogs, k)
		}
	}
}

// judgeCold is rule 4: in any window the set-ups must stay under the multiple of what the processor could do.
func (c *Checker) judgeCold(s *cold) {
	if s == nil || s.found || c.figures.OverloadWindow == 0 {
		return
	}
	lo := 0
	for hi, at := range s.sent {
		for s.sent[lo] < at-c.figures.OverloadWindow {
			lo++
		}
		budget := 0.0
		for t := at - c.figures.OverloadWindow; t < at; t += coldStep {
			// A window that began before the start counts in full, at what the processor can do first.
			part := min(1, s.ColdCapacity+(1-s.ColdCapacity)*max(0, t-s.at).Seconds()/s.ColdDuration.Seconds())
			budget += s.Rate * part * min(coldStep, at-t).Seconds()
		}
		if n := float64(hi - lo + 1); n > budget*c.figures.OverloadMultiple+chanceSlack {
			s.found = true
			c.broken(SlowStartObserved, capture.Party{Kind: capture.Switch, Exchange: s.Exchange}, "",
				"%v set-ups in %v, %.1f s after its start, where it can do %.1f", n, c.figures.OverloadWindow,
				(at - s.at).Seconds(), budget)
			return
		}
	}
}

// Report ends the judgement.
func (c *Checker) Report() *Report {
	for _, d := range c.open {
		c.finish(d)
	}
	for _, x := range slices.Sorted(maps.Keys(c.starts)) {
		c.judgeCold(c.starts[x])
	}
	slices.Sort(c.report.SetUps)
	return &c.report
}
