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
	Seconds   float64 `default:"5" help:"Length of each measurement in seconds."`
	Conns     int     `default:"64" help:"Connections that send requests."`
	IdleConns int     `name:"idle" default:"10000" help:"Idle connections."`
	Nodes     int     `name:"boxes" default:"4" help:"Stand-in media nodes, which answer at once."`
	MaxTokens int     `name:"most" default:"200000" help:"Tokens to mint for each measurement."`
	Sockets   int     `help:"Measure this many players on the session API instead, one session each."`
	JSON      bool    `help:"Print one line of JSON for each server after the table."`
}

// Run measures a director and the same path on net/http, one after the other, with the same media nodes. With --sockets
// it measures players on the session API of a director instead.
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
	// Nodes register once and send no heartbeats, hence the long timeout.
	discoveryServer, err := discovery.Start(discovery.Config{Addr: "127.0.0.1:0", HeartbeatTimeoutMs: 1e9})
	if err != nil {
		return err
	}
	defer discoveryServer.Close()
	if c.Sockets > 0 {
		c.Nodes = max(c.Nodes, 64) // a measurement of players has at least 64 nodes, whatever the flag says
	}
	var nodeAddrs []string
	var nodes []*bench.Node
	for i := range c.Nodes {
		node, err := bench.StartNode()
		if err != nil {
			return err
		}
		nodeAddrs, nodes = append(nodeAddrs, node.Addr()), append(nodes, node)
		resp, err := http.Post("http://"+discoveryServer.Addr()+"/beat", "application/json",
			strings.NewReader(fmt.Sprintf(`{"addr":%q,"boot":"x","cell":%d}`, node.Addr(), i)))
		if err != nil {
			return err
		}
		resp.Body.Close()
	}
	// One director, c.Nodes media nodes and 6 titles of 60,000 ms.
	settings := cluster.SmallSpec(1, c.Nodes, 6, 60000).Base
	settings.Director.Name, settings.Director.FirstStart, settings.Discovery.Addr, settings.Tokens.Keys =
		"bench", true, discoveryServer.Addr(), "keys.json"
	// Capacities are so large that they never limit a measurement.
	settings.Fleet.StreamsByKind, settings.Fleet.TotalLinkKB, settings.Fleet.UplinkKB = []int{1000000}, 1e9, 1e9
	settings.Limits.LedgerEntries = 1 << 20
	settings.Log.File = filepath.Join(dir, "log")
	for i := range settings.Classes {
		settings.Classes[i].MaxPerTitle = 0
	}
	key := token.NewKey("k1", []byte("only for measurements on loopback")[:32])
	if err := os.WriteFile(filepath.Join(dir, "keys.json"), token.FormatKeys([]token.Key{key}, false), 0o644); err != nil {
		return err
	}
	settingsText, err := toml.Marshal(settings)
	if err != nil {
		return err
	}
	settingsFile := filepath.Join(dir, "bench.toml")
	if err := os.WriteFile(settingsFile, settingsText, 0o644); err != nil {
		return err
	}
	if c.Sockets > 0 {
		return c.measureSockets(exe, settingsFile, key, &settings, nodes)
	}
	var results []bench.Result
	for _, server := range []struct {
		name string
		env  string
		args []string
	}{
		{"director", "", []string{"serve", settingsFile, "--follow-stdin"}},
		{"net/http, 1 processor", "GOMAXPROCS=1", append([]string{"plain", settingsFile}, nodeAddrs...)},
		{"net/http, all processors", "", append([]string{"plain", settingsFile}, nodeAddrs...)},
	} {
		result, err := c.measure(exe, server.env, server.args, key, &settings)
		if err != nil {
			return fmt.Errorf("%s: %w", server.name, err)
		}
		if result.IdleBytes, err = c.measureIdle(exe, server.env, server.args); err != nil { // in a fresh process
			return fmt.Errorf("%s, idle: %w", server.name, err)
		}
		result.Name = server.name
		results = append(results, result)
	}
	writer := tabwriter.NewWriter(os.Stdout, 2, 8, 2, ' ', 0)
	fmt.Fprintln(writer, "server\tsessions/s\tp50 ms\tp99 ms\tCPU us a session\tbytes an idle connection\tnot playing")
	for _, result := range results {
		fmt.Fprintf(writer, "%s\t%.0f\t%.2f\t%.2f\t%.0f\t%.0f\t%d\n", result.Name, result.PerS, result.P50Ms, result.P99Ms,
			result.CPUMicrosPerSession, result.IdleBytes, result.NotPlaying)
	}
	writer.Flush()
	if c.JSON {
		for _, result := range results {
			line, _ := json.Marshal(result)
			fmt.Println(string(line))
		}
	}
	return nil
}

// startServer starts one of the servers and waits until it is ready. The returned function stops it.
func (c *benchCmd) startServer(exe, env string, args []string) (cmd *exec.Cmd, addr string, stop func(), err error) {
	cmd = exec.Command(exe, args...)
	if env != "" {
		cmd.Env = append(os.Environ(), env)
	}
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return nil, "", nil, err
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, "", nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, "", nil, err
	}
	stop = func() {
		stdin.Close()
		cmd.Process.Kill()
		cmd.Wait()
	}
	var ready struct{ Addr string }
	line, err := bufio.NewReader(stdout).ReadString('\n')
	if err == nil {
		err = json.Unmarshal([]byte(line), &ready)
	}
	if err == nil {
		err = bench.WaitReady(ready.Addr, c.Nodes)
	}
	if err != nil {
		stop()
		return nil, "", nil, fmt.Errorf("server did not start: %w", err)
	}
	return cmd, ready.Addr, stop, nil
}

// measure runs the load against a fresh server process, after a second of warm-up with a quarter of the requests.
func (c *benchCmd) measure(exe, env string, args []string, key token.Key, settings *config.Settings) (
	result bench.Result, err error,
) {
	cmd, addr, stop, err := c.startServer(exe, env, args)
	if err != nil {
		return result, err
	}
	defer stop()
	requests := signRequests(key, settings, addr, c.MaxTokens)
	if _, err = bench.Load(addr, c.Conns, time.Second, requests[:len(requests)/4]); err != nil { // warm-up
		return result, err
	}
	cpuBefore := bench.CPUMs(cmd.Process.Pid)
	if result, err = bench.Load(addr, c.Conns, time.Duration(c.Seconds*float64(time.Second)),
		requests[len(requests)/4:]); err != nil {
		return result, err
	}
	result.CPUMicrosPerSession = (bench.CPUMs(cmd.Process.Pid) - cpuBefore) * 1000 / float64(max(result.Sessions, 1))
	return result, nil
}

// measureIdle measures the memory of an idle connection on a fresh server process, in bytes.
func (c *benchCmd) measureIdle(exe, env string, args []string) (float64, error) {
	cmd, addr, stop, err := c.startServer(exe, env, args)
	if err != nil {
		return 0, err
	}
	defer stop()
	return bench.IdleConnectionBytes(addr, cmd.Process.Pid, c.IdleConns)
}

// measureSockets measures players on the session API: the memory of each connection, and how long the director takes to
// send all players a new rung when every node reports an overload.
func (c *benchCmd) measureSockets(exe, settingsFile string, key token.Key, settings *config.Settings,
	nodes []*bench.Node,
) error {
	cmd, addr, stop, err := c.startServer(exe, "", []string{"serve", settingsFile, "--follow-stdin"})
	if err != nil {
		return err
	}
	defer stop()
	var tokens []string
	for i := range c.Sockets {
		title := &settings.Titles[i%len(settings.Titles)]
		// Viewer "v" of tenant "b"; the highest rung of the session is 3.
		raw, err := key.Sign(claimsFor(title.Name, title.Class, "v", "b",
			strconv.FormatInt(time.Now().UnixNano(), 36)+strconv.Itoa(i), 3, time.Hour))
		if err != nil {
			return err
		}
		tokens = append(tokens, raw)
	}
	for _, node := range nodes {
		node.HoldSessions()
	}
	result, err := bench.MeasureWebSockets(addr, cmd.Process.Pid, tokens, func() {
		for _, node := range nodes {
			node.Overload(3) // three times the link's capacity
		}
	}, 30*time.Second)
	if err != nil {
		return err
	}
	fmt.Printf("%d connections with a session each: %.0f bytes each, opened at %.0f/s; %d rungs pushed, p50 %.1f ms, p99 %.1f ms, last %.1f ms\n",
		result.Connections, result.BytesEach, result.OpenedPerS, result.Pushed, result.P50Ms, result.P99Ms, result.MaxMs)
	if c.JSON {
		line, _ := json.Marshal(result)
		fmt.Println(string(line))
	}
	return nil
}

// signRequests returns n manifest requests, each with a token of its own. Signing is spread over some goroutines.
func signRequests(key token.Key, settings *config.Settings, addr string, n int) [][]byte {
	requests := make([][]byte, n)
	var wg sync.WaitGroup
	runID := strconv.FormatInt(time.Now().UnixNano(), 36)
	const workers = 8
	for worker := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := worker; i < n; i += workers {
				title := &settings.Titles[i%len(settings.Titles)]
				raw, err := key.Sign(claimsFor(title.Name, title.Class, "v", "b", runID+strconv.Itoa(i), 3, time.Hour))
				if err != nil {
					panic(err)
				}
				requests[i] = []byte("GET /dash/" + title.Name + "/manifest.mpd?token=" + raw + " HTTP/1.1\r\nHost: " + addr +
					"\r\nUser-Agent: bench\r\nAccept: */*\r\n\r\n")
			}
		}()
	}
	wg.Wait()
	return requests
}

type plainCmd struct {
	File  string   `arg:"" help:"Settings (TOML)."`
	Nodes []string `arg:"" name:"boxes" help:"Addresses of media nodes."`
}

// Run serves the manifest path on net/http, as the base of comparison for the director.
func (c *plainCmd) Run() error {
	cfg, err := config.Load(c.File)
	if err != nil {
		return err
	}
	keys, err := loadKeys(cfg.Tokens.Keys)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Printf("{\"addr\":%q}\n", listener.Addr().String())
	return bench.ServeBaseline(cfg, keys, c.Nodes, listener)
}
