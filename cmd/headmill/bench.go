package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/pelletier/go-toml/v2"

	"headmill/internal/bench"
	"headmill/internal/config"
	"headmill/internal/standin/cluster"
	"headmill/internal/standin/discovery"
	"headmill/internal/token"
)

type benchCmd struct {
	Seconds float64 `default:"5" help:"Length of each measurement."`
	Conns   int     `default:"64" help:"Connections that ask."`
	Idle    int     `default:"10000" help:"Idle connections."`
	Boxes   int     `default:"4" help:"Boxes that answer at once."`
	Most    int     `default:"200000" help:"Tokens to mint for each measurement."`
	Sockets int     `help:"Measure so many players on the session API instead, one session each."`
	JSON    bool    `help:"End with one line of JSON for each server."`
}

// Run measures a director and the same path on net/http, one after the other, with the same peers.
func (c *benchCmd) Run() error {
	dir, err := os.MkdirTemp("", "headmill-bench-*")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	list, err := discovery.Start(discovery.Config{Addr: "127.0.0.1:0", SilentMs: 1e9})
	if err != nil {
		return err
	}
	defer list.Close()
	if c.Sockets > 0 {
		c.Boxes = max(c.Boxes, 64)
	}
	var boxes []string
	var peers []*bench.Node
	for i := range c.Boxes {
		b, err := bench.StartNode()
		if err != nil {
			return err
		}
		boxes, peers = append(boxes, b.Addr()), append(peers, b)
		resp, err := http.Post("http://"+list.Addr()+"/beat", "application/json",
			strings.NewReader(fmt.Sprintf(`{"addr":%q,"boot":"x","cell":%d}`, b.Addr(), i)))
		if err != nil {
			return err
		}
		resp.Body.Close()
	}
	s := cluster.Small(1, c.Boxes, 6, 60000).Base
	s.Director.Name, s.Director.FirstStart, s.List.Addr, s.Tokens.Keys = "bench", true, list.Addr(), "keys.json"
	s.Fleet.StreamsByKind, s.Fleet.TotalLinkKB, s.Fleet.UplinkKB = []int{1000000}, 1e9, 1e9
	s.Limits.Entries = 1 << 20
	s.Log.File = filepath.Join(dir, "log")
	for i := range s.Classes {
		s.Classes[i].MaxPerTitle = 0
	}
	key := token.NewKey("k1", []byte("only for measurements on loopback")[:32])
	if err := os.WriteFile(filepath.Join(dir, "keys.json"), token.FormatKeys([]token.Key{key}, false), 0o644); err != nil {
		return err
	}
	text, err := toml.Marshal(s)
	if err != nil {
		return err
	}
	conf := filepath.Join(dir, "bench.toml")
	if err := os.WriteFile(conf, text, 0o644); err != nil {
		return err
	}
	if c.Sockets > 0 {
		return c.sockets(exe, conf, key, &s, peers)
	}
	var results []bench.Result
	for _, m := range []struct {
		name string
		env  string
		args []string
	}{
		{"director", "", []string{"serve", conf, "--follow-stdin"}},
		{"net/http, 1 processor", "GOMAXPROCS=1", append([]string{"plain", conf}, boxes...)},
		{"net/http, all processors", "", append([]string{"plain", conf}, boxes...)},
	} {
		r, err := c.measure(exe, m.env, m.args, key, &s)
		if err != nil {
			return fmt.Errorf("%s: %w", m.name, err)
		}
		if r.IdleBytes, err = c.idle(exe, m.env, m.args); err != nil { // in a fresh process
			return fmt.Errorf("%s, idle: %w", m.name, err)
		}
		r.Name = m.name
		results = append(results, r)
	}
	w := tabwriter.NewWriter(os.Stdout, 2, 8, 2, ' ', 0)
	fmt.Fprintln(w, "server\tsessions/s\tp50 ms\tp99 ms\tCPU us a session\tbytes an idle connection\tnot playing")
	for _, r := range results {
		fmt.Fprintf(w, "%s\t%.0f\t%.2f\t%.2f\t%.0f\t%.0f\t%d\n", r.Name, r.PerS, r.P50Ms, r.P99Ms, r.CPUUs, r.IdleBytes, r.NotPlaying)
	}
	w.Flush()
	if c.JSON {
		for _, r := range results {
			line, _ := json.Marshal(r)
			fmt.Println(string(line))
		}
	}
	return nil
}

// server starts one of the servers and waits until it is ready.
func (c *benchCmd) server(exe, env string, args []string) (cmd *exec.Cmd, addr string, end func(), err error) {
	cmd = exec.Command(exe, args...)
	if env != "" {
		cmd.Env = append(os.Environ(), env)
	}
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, "", nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, "", nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, "", nil, err
	}
	end = func() {
		in.Close()
		cmd.Process.Kill()
		cmd.Wait()
	}
	var ready struct{ Addr string }
	line, err := bufio.NewReader(out).ReadString('\n')
	if err == nil {
		err = json.Unmarshal([]byte(line), &ready)
	}
	if err == nil {
		err = bench.WaitReady(ready.Addr, c.Boxes)
	}
	if err != nil {
		end()
		return nil, "", nil, fmt.Errorf("did not start: %w", err)
	}
	return cmd, ready.Addr, end, nil
}

func (c *benchCmd) measure(exe, env string, args []string, key token.Key, s *config.Settings) (r bench.Result, err error) {
	cmd, addr, end, err := c.server(exe, env, args)
	if err != nil {
		return r, err
	}
	defer end()
	requests := mintAll(key, s, addr, c.Most)
	if _, err = bench.Load(addr, c.Conns, time.Second, requests[:len(requests)/4]); err != nil { // warm
		return r, err
	}
	cpu := bench.CPUMs(cmd.Process.Pid)
	if r, err = bench.Load(addr, c.Conns, time.Duration(c.Seconds*float64(time.Second)), requests[len(requests)/4:]); err != nil {
		return r, err
	}
	r.CPUUs = (bench.CPUMs(cmd.Process.Pid) - cpu) * 1000 / float64(max(r.Sessions, 1))
	return r, nil
}

func (c *benchCmd) idle(exe, env string, args []string) (float64, error) {
	cmd, addr, end, err := c.server(exe, env, args)
	if err != nil {
		return 0, err
	}
	defer end()
	return bench.Idle(addr, cmd.Process.Pid, c.Idle)
}

// sockets measures players on the session API.
func (c *benchCmd) sockets(exe, conf string, key token.Key, s *config.Settings, boxes []*bench.Node) error {
	cmd, addr, end, err := c.server(exe, "", []string{"serve", conf, "--follow-stdin"})
	if err != nil {
		return err
	}
	defer end()
	var tokens []string
	for i := range c.Sockets {
		t := &s.Titles[i%len(s.Titles)]
		raw, err := key.Mint(claimsFor(t.Name, t.Class, "v", "b", strconv.FormatInt(time.Now().UnixNano(), 36)+strconv.Itoa(i), 3, time.Hour))
		if err != nil {
			return err
		}
		tokens = append(tokens, raw)
	}
	for _, b := range boxes {
		b.Hold()
	}
	r, err := bench.Sockets(addr, cmd.Process.Pid, tokens, func() {
		for _, b := range boxes {
			b.Overload(3)
		}
	}, 30*time.Second)
	if err != nil {
		return err
	}
	fmt.Printf("%d connections with a session each: %.0f bytes each, opened at %.0f/s; %d rungs pushed, p50 %.1f ms, p99 %.1f ms, last %.1f ms\n",
		r.Connections, r.BytesEach, r.OpenedPerS, r.Pushed, r.P50Ms, r.P99Ms, r.MaxMs)
	if c.JSON {
		line, _ := json.Marshal(r)
		fmt.Println(string(line))
	}
	return nil
}

func mintAll(key token.Key, s *config.Settings, addr string, n int) [][]byte {
	out := make([][]byte, n)
	var wg sync.WaitGroup
	stamp := strconv.FormatInt(time.Now().UnixNano(), 36)
	const parts = 8
	for p := range parts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := p; i < n; i += parts {
				t := &s.Titles[i%len(s.Titles)]
				raw, err := key.Mint(claimsFor(t.Name, t.Class, "v", "b", stamp+strconv.Itoa(i), 3, time.Hour))
				if err != nil {
					panic(err)
				}
				out[i] = []byte("GET /dash/" + t.Name + "/manifest.mpd?token=" + raw + " HTTP/1.1\r\nHost: " + addr +
					"\r\nUser-Agent: bench\r\nAccept: */*\r\n\r\n")
			}
		}()
	}
	wg.Wait()
	return out
}

type plainCmd struct {
	File  string   `arg:"" help:"Settings."`
	Boxes []string `arg:"" help:"Addresses of boxes."`
}

// Run serves the manifest path on net/http, for the measurement beside it.
func (c *plainCmd) Run() error {
	cfg, err := config.Load(c.File)
	if err != nil {
		return err
	}
	keys, err := loadKeys(cfg.Tokens.Keys)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Printf("{\"addr\":%q}\n", ln.Addr().String())
	return bench.ServePlain(cfg, keys, c.Boxes, ln)
}
