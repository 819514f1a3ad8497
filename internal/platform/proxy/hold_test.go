package proxy

import (
	"testing"
	"time"
)

// Guards against answers that come too late because they wait for a node list which they don't need: the time of a set-up runs
// out while the process stands still, and the discovery service is silent (seed 5030 of the soak).
func TestOverdueSetupsDoNotWaitForANodeList(t *testing.T) {
	h := startHarness(t, 1, nil) // its discovery service answers nothing
	time.Sleep((propagationMs + 100) * time.Millisecond)
	v := h.dialViewer()
	v.send(`{"type":"setup","id":"%s","fields":{"class":"paid","left":"300","tenant":"acme","key":"7f3a9c21e0b4d655","extras":"home:0;copies:1;top:0"},"sdp":"x"}`, id1)
	h.expectSetup() // and is not answered
	h.runOnLoop(func() { time.Sleep(2 * stallMs * time.Millisecond) })
	goesOn := time.Now()
	reply := v.receive()
	if reply.Type != "release" || reply.Cause != causeError {
		t.Errorf("the set-up is not failed: %+v", reply)
	}
	if took := time.Since(goesOn); took > maxStallHoldMs/2*time.Millisecond {
		t.Errorf("the answer came %v after the process went on", took)
	}
}
