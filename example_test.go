package headmill_test

import (
	"fmt"

	"headmill"
)

// The caller of a front passes events to Step and carries out the returned actions.
func Example() {
	front, err := headmill.New(headmill.Config{
		Fronts: 1, Cells: 3, Racks: 1, MaxAttempts: 2,
		Classes: []headmill.Class{{TargetMs: 1000, ValuePerSecond: 1, RateScale: 1, MaxRung: 1}},
		RateKB:  []float64{300, 900}, RungWorth: []float64{0.4, 1},
		StreamsByKind: []int{50}, LinkKBPerWeight: 10000, TotalLinkKB: 10000, UplinkKB: 9000,
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	events := []headmill.Event{
		{Kind: headmill.EvNodes, Nodes: []headmill.Node{{ID: 1, Cell: 0, Weight: 1}}},
		{Kind: headmill.EvRequest, Session: 7, Title: 99, TimeLeftMs: 3000, Copies: 3, MaxRung: 1},
	}
	for _, action := range front.Step(1000, events, nil) {
		switch action.Kind {
		case headmill.ActSetRung:
			fmt.Println("session", action.Session, "at rung", action.Rung)
		case headmill.ActSetup:
			fmt.Println("session", action.Session, "to node", action.Node)
		}
	}
	// Output:
	// session 7 at rung 1
	// session 7 to node 1
}
