package runtime

import (
	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"pipitring/internal/platform"
)

// What a pass of the event loop reads from the connections, and passes to the core in one batch.

// OnTraffic handles bytes received on a connection.
func (p *Platform) OnTraffic(c gnet.Conn) gnet.Action {
	e := c.Context().(*proxyConn)
	b, _ := c.Next(-1) // -1 takes all buffered bytes, which cannot fail
	if e.closedByCore {
		if e.discarded += len(b); e.discarded > maxLingerBytes {
			return gnet.Close
		}
		return gnet.None
	}
	if e.eof { // the loop reads the rest of the stream in this pass
		p.traceEvent(e.id, "<", b)
		p.core.ReceiveAfterClose(e.id, e.input)
		p.core.ReceiveAfterClose(e.id, b)
		e.input = e.input[:0]
		return gnet.None
	}
	before := len(e.input)
	if before == 0 {
		p.queueInput(e.id, platform.InputData)
		p.unreadConns[e.id] = e
	}
	e.input = append(e.input, b...)
	p.readFurther(e, c.Fd())
	p.traceEvent(e.id, "<", e.input[before:])
	return gnet.None
}

// readFurther reads what a peer sent after the bytes already read. From callers no more is read once they have sent
// maxPassBytes in this pass, so that the time and the memory that a pass takes hardly grow with their number.
func (p *Platform) readFurther(e *proxyConn, fd int) {
	if !e.caller {
		p.readRemaining(e, fd)
		return
	}
	e.eof = p.callerBytes < maxPassBytes && p.readRemaining(e, fd) || hasClosed(fd)
	e.congested = e.congested || unreadBytes(fd) > maxUnreadBytes
	p.callerBytes += len(e.input)
}

// readRemaining reads the bytes that a peer sent after those already read, up to maxConnBytes, and reports whether the
// end of its stream was reached. The loop detects the end again and then closes the connection.
func (p *Platform) readRemaining(e *proxyConn, fd int) (eof bool) {
	for len(e.input) < maxConnBytes {
		n, err := unix.Read(fd, p.readBuffer)
		switch {
		case err == unix.EINTR:
		case err == unix.EAGAIN:
			return false
		case err != nil || n <= 0:
			return true
		default:
			e.input = append(e.input, p.readBuffer[:n]...)
		}
	}
	return false
}

// queueInput queues a connection's event for the next batch.
func (p *Platform) queueInput(id platform.ConnID, kind platform.InputKind) {
	p.inputs = append(p.inputs, platform.Input{Conn: id, Kind: kind})
	p.scheduleBatch()
}

// scheduleBatch queues processBatch for the loop unless it is queued already.
func (p *Platform) scheduleBatch() {
	if !p.batchScheduled {
		p.batchScheduled = true
		p.runOnLoop(func() { p.batchScheduled = false; p.processBatch() })
	}
}

// processBatch passes the queued events to the core, applies its outputs and sets the timer.
func (p *Platform) processBatch() {
	inputs := p.inputs
	p.inputs, p.callerBytes = nil, 0
	for i, input := range inputs {
		if input.Kind == platform.InputData {
			e := p.unreadConns[input.Conn]
			inputs[i].Bytes, inputs[i].EOF, inputs[i].Congested = e.input, e.eof, e.congested
			e.input, e.congested = nil, false
		}
	}
	clear(p.unreadConns)
	now := p.now()
	p.core.ProcessBatch(now, inputs)
	p.applyOutputs(now)
}
