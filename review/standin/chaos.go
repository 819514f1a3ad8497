package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"headmill/internal/platform/frame"
)

func init() {
	cases["chaos"] = chaos
	if os.Getenv("TELL") != "" {
		defer func() {
			p := settings["chaos"]
			p.TellMs, _ = strconv.ParseFloat(os.Getenv("TELL"), 64)
			settings["chaos"] = p
		}()
	}
	settings["chaos"] = params{All: true, LifeMs: [2]float64{4000, 20000}, Seats: 3}
}

func chaos(w *world, _ bool) error {
	if v, err := strconv.Atoi(os.Getenv("SOCKETS")); err == nil {
		w.p.Sockets = v
	}
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rng := rand.New(rand.NewPCG(seed, 1))
	kinds := strings.Split(os.Getenv("FAULTS"), ",")
	on := map[string]bool{}
	for _, k := range kinds {
		on[k] = true
	}
	rate := 15.0
	if v, err := strconv.ParseFloat(os.Getenv("RATE"), 64); err == nil {
		rate = v
	}
	if err := w.startDirector(); err != nil {
		return err
	}
	titles := w.someTitles(40)
	stop := make(chan struct{})
	done := func() bool {
		select {
		case <-stop:
			return true
		default:
			return false
		}
	}
	pause := func(lo, hi float64) {
		time.Sleep(time.Duration((lo + rng.Float64()*(hi-lo)) * float64(time.Millisecond)))
	}
	go func() {
		for !done() {
			t := titles[min(int(rng.ExpFloat64()*8), len(titles)-1)]
			left := 0.0
			if rng.IntN(10) == 0 {
				left = 200 + rng.Float64()*1500
			}
			r := w.request(rng.IntN(3), t, left)
			if r != nil && on["leave"] && rng.IntN(5) == 0 {
				time.AfterFunc(time.Duration(rng.IntN(200))*time.Millisecond, func() { w.endByViewer(r) })
			} else if r != nil && rng.IntN(4) == 0 {
				time.AfterFunc(time.Duration(1000+rng.IntN(5000))*time.Millisecond, func() { w.endByViewer(r) })
			}
			time.Sleep(time.Duration(rng.ExpFloat64() * 1000 / rate * float64(time.Millisecond)))
		}
	}()
	pick := func() *node { return w.nodes[rng.IntN(w.p.Nodes)] }
	if on["spoil"] {
		for _, n := range w.nodes {
			n.onSetup = func(nc *nodeConn, r *request, a *attempt) bool {
				x := rand.IntN(30)
				if !n.holds(r.first) || x > 7 {
					return false
				}
				w.logf("%s: spoils %016x: %d", n.name, r.id, x)
				time.AfterFunc(50*time.Millisecond, func() {
					w.mu.Lock()
					defer w.mu.Unlock()
					switch x {
					case 0:
						nc.write([]byte("\x00\x40\x77garbage garbage garbage"))
					case 1:
						nc.write([]byte{0x10, 0, 9, 0, 0})
					case 2:
						nc.reset()
					case 3: // nothing
					case 4: // answered twice
						if nc.open[r.id] == a {
							nc.answer(a)
							out, start := frame.Begin(nil, frame.Answer, r.id)
							nc.write(frame.End(frame.AppendParameter(out, frame.SDP, "other"), start))
						}
					case 5:
						out, start := frame.Begin(nil, frame.Answer, r.id+1)
						nc.write(frame.End(frame.AppendParameter(out, frame.SDP, "other"), start))
						if nc.open[r.id] == a {
							nc.answer(a)
						}
					case 6:
						if nc.open[r.id] == a {
							nc.answer(a)
							nc.reset()
						}
					case 7:
						if nc.open[r.id] == a {
							nc.endAttempt(a, []byte{causeFull, causeMoot, causeError, causeReset}[rand.IntN(4)])
						}
					}
				})
				return true
			}
		}
	}
	fault := func(name string, lo, hi float64, f func()) {
		if on[name] {
			go func() {
				for !done() {
					pause(lo, hi)
					if !done() {
						f()
					}
				}
			}()
		}
	}
	fault("reset", 200, 800, func() {
		w.mu.Lock()
		n := pick()
		for nc := range n.conns {
			if rng.IntN(2) == 0 {
				w.logf("%s: resets a connection with %d set-ups", n.name, len(nc.open))
				nc.reset()
			}
		}
		w.mu.Unlock()
	})
	fault("close", 200, 800, func() {
		w.mu.Lock()
		n := pick()
		for nc := range n.conns {
			if len(nc.open) == 0 && rng.IntN(2) == 0 {
				w.logf("%s: closes an idle connection", n.name)
				nc.conn.Close()
			}
		}
		w.mu.Unlock()
	})
	fault("hang", 3000, 6000, func() {
		goOn := pick().stand()
		pause(1000, 16000)
		goOn()
	})
	fault("cut", 2000, 4000, func() {
		n := pick()
		if !n.running {
			return
		}
		goOn := n.stand()
		raw, err := n.ln.SyscallConn()
		if err != nil {
			return
		}
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), 0) })
		var fillers []net.Conn
		for range 4 {
			c, err := net.DialTimeout("tcp4", n.addr, 30*time.Millisecond)
			if err != nil {
				break
			}
			fillers = append(fillers, c)
			w.mu.Lock()
			n.ownConns[c.LocalAddr().String()] = true
			w.mu.Unlock()
		}
		pause(5000, 9000)
		for _, c := range fillers {
			c.Close()
		}
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), 128) })
		goOn()
	})
	fault("late", 500, 2000, func() {
		n := pick()
		if !n.running {
			return
		}
		restore := n.lateConnections()
		pause(500, 1000)
		restore()
	})
	fault("crash", 3000, 6000, func() {
		w.mu.Lock()
		n := pick()
		if !n.running {
			w.mu.Unlock()
			return
		}
		n.stop()
		w.mu.Unlock()
		pause(500, 4000)
		w.mu.Lock()
		defer w.mu.Unlock()
		if err := n.listen(n.addr); err != nil {
			w.logf("%s: %v", n.name, err)
			return
		}
		for i := range w.list {
			if w.list[i].name == n.name {
				w.list[i].startedMs = time.Now().UnixMilli()
			}
		}
		w.version++
		w.logf("%s: started again, number %d", n.name, w.version)
	})
	fault("viewer", 200, 900, func() {
		w.front.mu.Lock()
		defer w.front.mu.Unlock()
		if len(w.front.conns) == 0 {
			return
		}
		vc := w.front.conns[rng.IntN(len(w.front.conns))]
		if rng.IntN(2) == 0 {
			vc.conn.(interface{ SetLinger(int) error }).SetLinger(0)
		}
		vc.ours = true
		vc.conn.Close()
	})
	fault("rude", 50, 400, func() {
		var conns []net.Conn
		for range 60 {
			c, err := net.DialTimeout("tcp4", w.listen, time.Second)
			if err != nil {
				break
			}
			conns = append(conns, c)
			go io.Copy(io.Discard, c)
		}
		for i, c := range conns {
			switch rng.IntN(8) {
			case 0:
				fmt.Fprintf(c, "garbage %d\n", i)
			case 1:
				c.Write(make([]byte, 100000))
			case 2:
				fmt.Fprintf(c, `{"type":"setup","id":"%016x","fields":{"class":"bonus`, rng.Uint64())
			case 3:
				for range 40 {
					fmt.Fprintf(c, `{"type":"setup","id":"%016x","fields":{"class":"nosuch","left":"3000","key":"00","extras":""},"sdp":"x"}`+"\n", rng.Uint64())
				}
			case 4:
				fmt.Fprintf(c, `{"type":"release","id":"%016x","fields":{},"cause":16}`+"\n", rng.Uint64())
			case 5:
				fmt.Fprintf(c, `{"type":"ping","id":"1","fields":{},"cause":0}`+"\n")
			}
		}
		pause(100, 3000)
		for _, c := range conns {
			c.Close()
		}
	})
	fault("stall", 2300, 3500, func() {
		w.signal(syscall.SIGSTOP)
		pause(1200, 2000)
		w.signal(syscall.SIGCONT)
	})
	fault("drain", 2000, 4000, func() {
		n := pick()
		w.mu.Lock()
		left := n.leftAt > 0
		w.mu.Unlock()
		if left {
			return
		}
		w.drain(n, rng.IntN(2) == 0)
		pause(2000, 4000)
		w.mu.Lock()
		defer w.mu.Unlock()
		var list []listEntry
		for _, e := range w.list {
			if e.name != n.name {
				list = append(list, e)
			}
		}
		n.leftAt, n.leftNo, n.toldAt = 0, 0, 0
		w.list = append(list, listEntry{name: n.name, addr: n.addr, cell: n.cell, startedMs: time.Now().UnixMilli()})
		w.version++
		w.logf("name service: number %d: %s is back", w.version, n.name)
	})
	handOver := func() error {
		if err := w.startDirector(); err != nil {
			return err
		}
		type standingAt struct {
			r *request
			n *node
		}
		var all []standingAt
		w.mu.Lock()
		for _, r := range w.order {
			if len(r.answers) > 0 && r.answers[0].kind == "answer" && !r.released && !r.endedByUs {
				for _, a := range r.attempts {
					if a.answered {
						all = append(all, standingAt{r, a.node})
					}
				}
			}
		}
		w.mu.Unlock()
		for _, s := range all {
			w.handOver(s.r, s.n)
		}
		return nil
	}
	var restartErr error
	fault("kill", 4000, 9000, func() {
		w.signal(syscall.SIGKILL)
		<-w.exited
		pause(100, 1500)
		if err := handOver(); err != nil {
			restartErr = err
		}
	})
	fault("term", 4000, 9000, func() {
		w.signal(syscall.SIGTERM)
		select {
		case <-w.exited:
		case <-time.After(3800 * time.Millisecond):
			w.signal(syscall.SIGKILL)
			<-w.exited
		}
		if err := handOver(); err != nil {
			restartErr = err
		}
	})
	fault("dnslate", 0, 1, func() {
		w.dns.setHook(func(int) ([]listEntry, int, time.Duration, bool) {
			return nil, 0, time.Duration(rand.IntN(120)) * time.Millisecond, rand.IntN(4) == 0
		})
		pause(5000, 6000)
	})
	fault("hup", 4000, 8000, func() {
		fresh, err := newNameService(w)
		if err != nil {
			return
		}
		w.mu.Lock()
		old := w.dns
		w.dns = fresh
		w.mu.Unlock()
		w.writeConfig()
		w.signal(syscall.SIGHUP)
		old.conn.Close()
	})
	secs := 35.0
	if v, err := strconv.ParseFloat(os.Getenv("SECS"), 64); err == nil {
		secs = v
	}
	time.Sleep(time.Duration(secs * float64(time.Second)))
	close(stop)
	time.Sleep(15 * time.Second)
	w.mu.Lock()
	w.checkEnd()
	kindsOf := map[string]int{}
	for _, r := range w.order {
		k := "none"
		if len(r.answers) > 0 {
			k = fmt.Sprint(r.answers[0].kind, r.answers[0].cause)
		}
		kindsOf[k]++
	}
	w.mu.Unlock()
	fmt.Println("answers:", kindsOf)
	return restartErr
}
