package rules

import (
	"fmt"
	"io"
	"time"

	"pipitring/internal/capture"
	"pipitring/internal/iax2"
	"pipitring/internal/isup"
	"pipitring/internal/m3ua"
)

// Ladder prints a ladder diagram of one call, selected by its calling number: its full frames and ISUP messages
// in the order in which they crossed the wire.
type Ladder struct {
	Call string
	W    io.Writer

	captureStart time.Time
	dialogs      map[dialogKey]bool
	circuits     map[dialogKey]bool // keyed by the end that sent the IAM
	elements     iax2.Elements
}

// Packet prints a packet if it belongs to the call.
func (l *Ladder) Packet(p capture.Packet) {
	if l.dialogs == nil {
		l.dialogs, l.circuits, l.captureStart = map[dialogKey]bool{}, map[dialogKey]bool{}, p.At
	}
	switch {
	case p.M3UA:
		l.printMessage(p)
		return
	case p.Reset:
		for k, on := range l.circuits {
			if on && k.opener == p.From && k.other == p.To {
				l.printLine(p, "association reset")
				break
			}
		}
		return
	case p.Notice != nil && p.Notice.Router != nil:
		fmt.Fprintf(l.W, "%10.3f s  router %d up: %v\n", p.At.Sub(l.captureStart).Seconds(), p.Notice.Router.Exchange, p.Notice.Router.Up)
		return
	}
	var f iax2.Frame
	if p.Notice != nil || iax2.ParseFrame(p.Payload, &f) != nil || f.Layout != iax2.Full {
		return
	}
	text := ""
	if f.Type == iax2.FrameIAX && l.elements.Parse(f.Payload) == nil {
		if f.Is(iax2.New) {
			k := dialogKey{p.From, p.To, f.Source}
			if l.dialogs[k] = l.elements.Text(iax2.CallingNumber) == l.Call; l.dialogs[k] {
				text = " to " + l.elements.Text(iax2.CalledNumber)
			}
		}
		if l.elements.Has(iax2.CauseCode) {
			text = fmt.Sprintf(" cause %d", l.elements.Uint(iax2.CauseCode))
		}
	}
	if !l.dialogs[dialogKey{p.From, p.To, f.Source}] && (f.Dest == 0 || !l.dialogs[dialogKey{p.To, p.From, f.Dest}]) {
		return
	}
	suffix := ""
	if f.Retransmitted {
		suffix = " (repeat)"
	}
	fmt.Fprintf(l.W, "%10.3f s  %-14v > %-14v %5d>%-5d %3d/%-3d %s%s%s\n", p.At.Sub(l.captureStart).Seconds(), p.From, p.To, f.Source,
		f.Dest, f.OSeq, f.ISeq, f.Name(), text, suffix)
}

// printLine prints one line about a packet that is not an IAX2 frame.
func (l *Ladder) printLine(p capture.Packet, text string) {
	fmt.Fprintf(l.W, "%10.3f s  %-14v > %-14v %s\n", p.At.Sub(l.captureStart).Seconds(), p.From, p.To, text)
}

// printMessage prints an ISUP message on a circuit that the call uses or has used.
func (l *Ladder) printMessage(p capture.Packet) {
	var m m3ua.Message
	if m3ua.Parse(p.Payload, &m) != nil || m.Type != m3ua.DATA {
		return
	}
	d, err := m3ua.ParseData(&m)
	var msg isup.Message
	if err != nil || isup.Parse(d.Payload, &msg) != nil {
		return
	}
	sent, received := dialogKey{p.From, p.To, uint16(msg.CIC)}, dialogKey{p.To, p.From, uint16(msg.CIC)}
	text := fmt.Sprintf("CIC %-5d %v", msg.CIC, msg.Type)
	switch msg.Type {
	case isup.IAM:
		calling, _ := isup.ParseNumber(msg.Param(isup.CallingNumber))
		if l.circuits[sent] = calling == l.Call; l.circuits[sent] {
			called, _ := isup.ParseNumber(msg.Param(isup.CalledNumber))
			text += " to " + called
		}
	case isup.REL:
		text += fmt.Sprintf(" cause %d", isup.ParseCause(&msg))
	}
	if l.circuits[sent] || l.circuits[received] {
		l.printLine(p, text)
	}
}
