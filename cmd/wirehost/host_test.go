package main

import (
	"bytes"
	"strings"
	"testing"

	"pipitring/internal/wire"
)

const settings = `{"contract":{"coldFrom":0.3,"coldS":9,"fallMultiple":3,"fallS":2},"ordinal":0,"peersTotal":3,
 "familyInfo":{"holdingS":[10],"widths":[1],"selfNo":0,"shape":"network"},"limits":{"maxAttempts":5},
 "telemetry":{"fields":["idle","circuits"]},"profiles":[{"aimS":1,"deadlineS":9,"value":1}]}`

func sw(n byte) wire.Addr { return wire.Addr{10, 0, 0, n, 1, 2} }

func table(buffer uint16, numbers ...uint16) wire.Event {
	t := wire.Event{Op: wire.OpTable, Buffer: buffer}
	for _, n := range numbers {
		t.Elements = append(t.Elements, wire.Entry{Switch: sw(byte(n)), Point: n, Phase: 1})
	}
	return t
}

func hello(proxy uint32) wire.Event {
	return wire.Event{Op: wire.OpHello, Proxy: proxy, Entropy: 1, Blob: []byte(settings)}
}

func sync(proxy uint32, buffer uint16) wire.Event {
	return wire.Event{Op: wire.OpSync, Proxy: proxy, Scope: 2, Buffer: buffer}
}

func submit(proxy, id uint32, dest float32) wire.Event {
	return wire.Event{Op: wire.OpSubmit, Proxy: proxy, ID: id, Grace: 3, Dest: dest, Units: 1, Through: -1}
}

// placedCalls returns the proxy and the call of each OpPlace action.
func placedCalls(acts []wire.Action) (got [][2]uint32) {
	for _, a := range acts {
		if a.Op == wire.OpPlace {
			got = append(got, [2]uint32{a.Proxy, a.ID})
		}
	}
	return got
}

func TestTablesApplyInOrder(t *testing.T) {
	acts, err := newHost().handleBatch(wire.Batch{Events: []wire.Event{
		hello(1), table(0, 0, 1), sync(1, 0), hello(2), table(0, 0, 2), sync(2, 0),
		submit(1, 10, 1), submit(2, 20, 2),
	}})
	if err != nil {
		t.Fatal(err)
	}
	if got := placedCalls(acts); len(got) != 2 || acts[0].Switch != sw(1) || acts[1].Switch != sw(2) {
		t.Fatalf("each instance must use its own list: %+v", acts)
	}
}

func TestShutdownDropsInstanceAndActions(t *testing.T) {
	h := newHost()
	acts, err := h.handleBatch(wire.Batch{Events: []wire.Event{
		hello(1), hello(2), table(0, 0, 1), sync(1, 0), sync(2, 0), submit(1, 10, 1), submit(2, 20, 1),
		{Op: wire.OpShutdown, Proxy: 1}, submit(1, 11, 1),
	}})
	if err != nil {
		t.Fatal(err)
	}
	if got := placedCalls(acts); len(got) != 1 || got[0] != [2]uint32{2, 20} {
		t.Fatalf("placed calls %v, want only that of proxy 2", got)
	}
	acts, _ = h.handleBatch(wire.Batch{Events: []wire.Event{hello(1), sync(1, 0), submit(1, 12, 1)}})
	if got := placedCalls(acts); len(got) != 1 || got[0] != [2]uint32{1, 12} {
		t.Fatalf("placed calls %v after a new start", got)
	}
}

func TestEndOfInputAndMalformedFrames(t *testing.T) {
	frame, err := wire.AppendBatch(nil, wire.Batch{Clock: 1})
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := run(bytes.NewReader(frame), &out); err != nil || out.Len() != 8 {
		t.Fatalf("error %v, %d bytes of reply", err, out.Len())
	}
	for name, tail := range map[string][]byte{"cut": frame[:7], "code": bytes.Repeat([]byte{1, 0, 0, 0, 56}, 16)} {
		err := run(bytes.NewReader(append(bytes.Clone(frame), tail...)), &bytes.Buffer{})
		if err == nil || !strings.Contains(err.Error(), "frame 1") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line on frame 1", name, err)
		}
	}
}

func TestBadSettings(t *testing.T) {
	_, err := newHost().handleBatch(wire.Batch{Events: []wire.Event{{Op: wire.OpHello, Proxy: 4, Blob: []byte("[")}}})
	if err == nil || !strings.Contains(err.Error(), "proxy 4: settings") {
		t.Fatalf("error %v", err)
	}
}

func TestPanicEndsOnlyItsInstance(t *testing.T) {
	h := newHost()
	h.handleBatch(wire.Batch{Events: []wire.Event{hello(1), hello(2), table(0, 0, 1), sync(1, 0), sync(2, 0)}})
	h.instances[1].controller = nil // any use of it panics
	acts, err := h.handleBatch(wire.Batch{Events: []wire.Event{submit(1, 10, 1), submit(1, 11, 1), submit(2, 20, 1)}})
	if err != nil {
		t.Fatal(err)
	}
	if len(acts) != 2 || acts[0].Op != wire.OpPanic || len(acts[0].Blob) == 0 || acts[1].ID != 20 {
		t.Fatalf("got %+v", acts)
	}
}

func TestInstancesAreIndependent(t *testing.T) {
	batches := func(proxies ...uint32) []wire.Batch {
		first, second := wire.Batch{Clock: 1, Events: []wire.Event{table(0, 0, 1, 2)}}, wire.Batch{Clock: 2}
		for _, p := range proxies {
			first.Events = append(first.Events, hello(p), sync(p, 0))
			for i := uint32(0); i < 20; i++ {
				second.Events = append(second.Events, submit(p, i, float32(i%4)))
			}
		}
		return []wire.Batch{first, second}
	}
	play := func(proxies ...uint32) []byte {
		h := newHost()
		var raw []byte
		for _, b := range batches(proxies...) {
			acts, err := h.handleBatch(b)
			if err != nil {
				t.Fatal(err)
			}
			if raw, err = wire.AppendReply(raw, acts); err != nil {
				t.Fatal(err)
			}
		}
		return raw
	}
	both := play(1, 2)
	if !bytes.Equal(both, play(1, 2)) {
		t.Fatal("the same input gave different bytes")
	}
	var merged []byte
	for i := range batches(1, 2) {
		var acts []wire.Action
		for _, p := range []uint32{1, 2} {
			if i == 0 {
				continue
			}
			alone := newHost()
			alone.handleBatch(batches(p)[0])
			got, _ := alone.handleBatch(batches(p)[1])
			acts = append(acts, got...)
		}
		merged, _ = wire.AppendReply(merged, acts)
	}
	if !bytes.Equal(both, merged) {
		t.Fatal("instances act differently when they run alone")
	}
}
