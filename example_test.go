package headmill_test

import (
	"fmt"

	"headmill"
)

// A front is a loop: hand over what happened, carry out what comes back.
func Example() {
	front, err := headmill.New(headmill.Config{
		Fronts: 1, Cells: 3, Racks: 1, MaxAttempts: 2,
		Classes: []headmill.Class{{AimMs: 1000, Value: 1, Scale: 1, Top: 1}},
		RateKB:  []float64{300, 900}, RungWorth: []float64{0.4, 1},
		Places: []int{50}, LinkUnitKB: 10000, AllLinksKB: 10000, UplinkKB: 9000,
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	events := []headmill.Event{
		{Kind: headmill.EvServers, Servers: []headmill.Server{{ID: 1, Cell: 0, Weight: 1}}},
		{Kind: headmill.EvRequest, Session: 7, Title: 99, RemainingMs: 3000, Copies: 3, TopRung: 1},
	}
	for _, a := range front.Step(1000, events, nil) {
		switch a.Kind {
		case headmill.ActRung:
			fmt.Println("session", a.Session, "at rung", a.Rung)
		case headmill.ActSend:
			fmt.Println("session", a.Session, "to server", a.Server)
		}
	}
	// Output:
	// session 7 at rung 1
	// session 7 to server 1
}
