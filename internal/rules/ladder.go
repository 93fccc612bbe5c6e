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

// Ladder prints the full frames of one call, by its calling number, as they crossed the wire.
type Ladder struct {
	Call string
	W    io.Writer

	first    time.Time
	dialogs  map[key]bool
	circuits map[key]bool // by the end that sent the IAM
	elems    iax2.Elements
}

// Packet prints a packet if it is of the call.
func (l *Ladder) Packet(p capture.Packet) {
	if l.dialogs == nil {
		l.dialogs, l.circuits, l.first = map[key]bool{}, map[key]bool{}, p.At
	}
	switch {
	case p.M3UA:
		l.message(p)
		return
	case p.Reset:
		for k, on := range l.circuits {
			if on && k.opener == p.From && k.other == p.To {
				l.line(p, "association reset")
				break
			}
		}
		return
	case p.Notice != nil && p.Notice.Router != nil:
		fmt.Fprintf(l.W, "%10.3f s  router %d up: %v\n", p.At.Sub(l.first).Seconds(), p.Notice.Router.Exchange, p.Notice.Router.Up)
		return
	}
	var f iax2.Frame
	if p.Notice != nil || iax2.ParseFrame(p.Payload, &f) != nil || f.Layout != iax2.Full {
		return
	}
	text := ""
	if f.Type == iax2.FrameIAX && l.elems.Parse(f.Payload) == nil {
		if f.Is(iax2.New) {
			k := key{p.From, p.To, f.Source}
			if l.dialogs[k] = l.elems.Text(iax2.CallingNumber) == l.Call; l.dialogs[k] {
				text = " to " + l.elems.Text(iax2.CalledNumber)
			}
		}
		if l.elems.Has(iax2.CauseCode) {
			text = fmt.Sprintf(" cause %d", l.elems.Uint(iax2.CauseCode))
		}
	}
	if !l.dialogs[key{p.From, p.To, f.Source}] && (f.Dest == 0 || !l.dialogs[key{p.To, p.From, f.Dest}]) {
		return
	}
	again := ""
	if f.Retransmitted {
		again = " (repeat)"
	}
	fmt.Fprintf(l.W, "%10.3f s  %-14v > %-14v %5d>%-5d %3d/%-3d %s%s%s\n", p.At.Sub(l.first).Seconds(), p.From, p.To, f.Source,
		f.Dest, f.OSeq, f.ISeq, f.Name(), text, again)
}

func (l *Ladder) line(p capture.Packet, text string) {
	fmt.Fprintf(l.W, "%10.3f s  %-14v > %-14v %s\n", p.At.Sub(l.first).Seconds(), p.From, p.To, text)
}

// message prints an ISUP message on a circuit that the call was or is on.
func (l *Ladder) message(p capture.Packet) {
	var m m3ua.Message
	if m3ua.Parse(p.Payload, &m) != nil || m.Type != m3ua.DATA {
		return
	}
	d, err := m3ua.ParseData(&m)
	var msg isup.Message
	if err != nil || isup.Parse(d.Payload, &msg) != nil {
		return
	}
	sent, received := key{p.From, p.To, uint16(msg.CIC)}, key{p.To, p.From, uint16(msg.CIC)}
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
		l.line(p, text)
	}
}
