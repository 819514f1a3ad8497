// Package cluster runs a small cluster on loopback for scenario runs and manual
// trials: the discovery stand-in in this process, directors and media nodes in
// processes of their own, and optionally relays between them. Its input is a
// Spec; settings, keys, logs and the processes' error output are files in
// Spec.Dir.
package cluster

import (
	"bufio"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"headmill/internal/config"
	"headmill/internal/standin/discovery"
	"headmill/internal/standin/medianode"
	"headmill/internal/standin/relay"
	"headmill/internal/token"
)

// Spec describes a cluster.
type Spec struct {
	Directors, Nodes      int              // number of directors and of media nodes
	Racks                 int              // media nodes are spread over the racks in turn
	Relays                bool             // recording relays stand between viewers, directors, nodes and discovery
	Base                  config.Settings  // settings that all directors share
	NodeConfig            medianode.Config // configuration that all media nodes share
	DiscoveryStateDelayMs float64          // discovery.Config.StateDelayMs
	DiscoveryStartDelayMs float64          // discovery.Config.StartDelayMs
	HeartbeatTimeoutMs    float64          // discovery.Config.HeartbeatTimeoutMs
	Executable            string           // path of the headmill executable
	Dir                   string           // folder for settings, keys and logs
}

// Proc is one process of the cluster.
type Proc struct {
	Name     string
	Addr     string // listen address, behind the relay if there is one
	Operator string // address of the operators' API; directors only
	cmd      *exec.Cmd
	stdin    io.WriteCloser // kept open: the process stops when it is closed
	exited   chan struct{}  // closed when the process has exited
	Err      error          // result of the process; valid once exited is closed
}

// Alive reports whether the process runs.
func (p *Proc) Alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Kill ends the process with SIGKILL and waits for its exit.
func (p *Proc) Kill() {
	p.cmd.Process.Kill()
	<-p.exited
}

// Term sends SIGTERM and waits for the exit; it kills the process after the given time.
func (p *Proc) Term(wait time.Duration) error {
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return p.Err
	case <-time.After(wait):
		p.Kill()
		return errors.New("process did not stop in time after SIGTERM")
	}
}

// Pid returns the process ID.
func (p *Proc) Pid() int { return p.cmd.Process.Pid }

// Member is a director or a media node with its relays.
type Member struct {
	Name           string           // d0, d1, ... for directors; b0, b1, ... for media nodes
	Relay          *relay.Relay     // from viewers to a director, or from all directors to a media node; nil: none
	DiscoveryRelay *relay.Relay     // from a director to discovery; nil: none
	URL            string           // base URL of a director for viewers
	Proc           *Proc            // nil until started
	SettingsPath   string           // path of a director's settings
	NodeConfig     medianode.Config // configuration of a media node
	listenerFile   *os.File         // listening socket that a director inherits at each start
}

// Cluster is a running cluster of directors, media nodes and discovery.
type Cluster struct {
	Spec      Spec
	Log       *relay.Log // records of all relays
	Discovery *discovery.Server
	Directors []*Member
	Nodes     []*Member // media nodes
	Key       token.Key // signs session tokens
	Keys      []byte    // public JSON Web Key Set
}

// New creates keys, settings and relays, and starts the discovery service. Directors and media nodes do not run yet.
func New(spec Spec) (*Cluster, error) {
	cluster := &Cluster{Spec: spec, Log: relay.NewLog()}
	seed := make([]byte, 32)
	if _, err := rand.Read(seed); err != nil {
		return nil, err
	}
	cluster.Key = token.NewKey("k1", seed)
	cluster.Keys = token.FormatKeys([]token.Key{cluster.Key}, false)
	if err := os.WriteFile(filepath.Join(spec.Dir, "keys.json"), cluster.Keys, 0o644); err != nil {
		return nil, err
	}
	private := token.FormatKeys([]token.Key{cluster.Key}, true)
	if err := os.WriteFile(filepath.Join(spec.Dir, "keys-private.json"), private, 0o600); err != nil {
		return nil, err
	}
	var err error
	cluster.Discovery, err = discovery.Start(discovery.Config{Addr: "127.0.0.1:0", StateDelayMs: spec.DiscoveryStateDelayMs,
		StartDelayMs: spec.DiscoveryStartDelayMs, HeartbeatTimeoutMs: spec.HeartbeatTimeoutMs})
	if err != nil {
		return nil, err
	}
	for i := range spec.Nodes {
		node := &Member{Name: fmt.Sprintf("b%d", i), NodeConfig: spec.NodeConfig}
		node.NodeConfig.Cell, node.NodeConfig.Rack = i, i%spec.Racks
		node.NodeConfig.Keys, node.NodeConfig.DiscoveryAddr = cluster.Keys, cluster.Discovery.Addr()
		if spec.Relays {
			// Port 1 stands for no target: StartNode sets it.
			if node.Relay, err = relay.New(cluster.Log, node.Name, "127.0.0.1:1", false); err != nil {
				return nil, err
			}
			node.NodeConfig.PublicAddr = node.Relay.Addr()
		}
		cluster.Nodes = append(cluster.Nodes, node)
	}
	return cluster, cluster.configureDirectors()
}

// configureDirectors opens the directors' sockets and writes their settings. The sockets come first because each
// director's settings contain the addresses of all.
func (cluster *Cluster) configureDirectors() error {
	var names, urls []string
	for i := range cluster.Spec.Directors {
		director := &Member{Name: fmt.Sprintf("d%d", i)}
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return err
		}
		addr := listener.Addr().String()
		if director.listenerFile, err = listener.(*net.TCPListener).File(); err != nil {
			return err
		}
		listener.Close()
		director.URL = "http://" + addr
		if cluster.Spec.Relays {
			if director.Relay, err = relay.New(cluster.Log, director.Name, addr, false); err != nil {
				return err
			}
			director.URL = "http://" + director.Relay.Addr()
			if director.DiscoveryRelay, err = relay.New(cluster.Log, director.Name+"/list",
				cluster.Discovery.Addr(), false); err != nil {
				return err
			}
		}
		names, urls = append(names, director.Name), append(urls, director.URL)
		cluster.Directors = append(cluster.Directors, director)
	}
	for _, director := range cluster.Directors {
		settings := cluster.Spec.Base
		settings.Director.Name, settings.Director.Directors, settings.Director.URLs = director.Name, names, urls
		settings.Director.Listen, settings.Discovery.Addr, settings.Tokens.Keys =
			"127.0.0.1:0", cluster.Discovery.Addr(), "keys.json"
		settings.Director.Operator = "127.0.0.1:0"
		settings.Director.FirstStart = true
		if director.DiscoveryRelay != nil {
			settings.Discovery.Addr = director.DiscoveryRelay.Addr()
		}
		settings.Log.File = filepath.Join(cluster.Spec.Dir, director.Name+".log")
		text, err := toml.Marshal(settings)
		if err != nil {
			return err
		}
		director.SettingsPath = filepath.Join(cluster.Spec.Dir, director.Name+".toml")
		if err := os.WriteFile(director.SettingsPath, text, 0o644); err != nil {
			return err
		}
		if _, err := config.Load(director.SettingsPath); err != nil {
			return fmt.Errorf("cluster: generated settings are invalid: %w", err)
		}
	}
	return nil
}

// spawn starts the headmill executable as a member and waits for its first
// output line, which carries its addresses in JSON. The child stops when its
// standard input is closed, so that no process is left behind if this one dies.
func (cluster *Cluster) spawn(name string, files []*os.File, args ...string) (*Proc, error) {
	cmd := exec.Command(cluster.Spec.Executable, args...)
	cmd.ExtraFiles = files
	// A process group of its own: Ctrl-C must reach only this process, which stops the others in order.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	stderr, err := os.OpenFile(filepath.Join(cluster.Spec.Dir, name+".err"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer stderr.Close()
	cmd.Stderr = stderr
	proc := &Proc{Name: name, cmd: cmd, exited: make(chan struct{})}
	if proc.stdin, err = cmd.StdinPipe(); err != nil {
		return nil, err
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("cluster: starting %s: %w", name, err)
	}
	line := make(chan string, 1)
	go func() {
		reader := bufio.NewReader(stdout)
		first, _ := reader.ReadString('\n')
		line <- first
		io.Copy(io.Discard, reader)
		proc.Err = cmd.Wait()
		close(proc.exited)
	}()
	select {
	case first := <-line:
		var ready struct {
			Addr     string `json:"addr"`
			Operator string `json:"operator"`
		}
		if json.Unmarshal([]byte(first), &ready) != nil || ready.Addr == "" {
			<-proc.exited
			text, _ := os.ReadFile(stderr.Name())
			return nil, fmt.Errorf("cluster: %s did not start: %s", name, text)
		}
		proc.Addr, proc.Operator = ready.Addr, ready.Operator
	case <-time.After(20 * time.Second):
		cmd.Process.Kill()
		return nil, fmt.Errorf("cluster: %s did not start in 20 s", name)
	}
	return proc, nil
}

// StartNode starts a media node's process and directs its relay there; cold simulates a node that has just been
// switched on.
func (cluster *Cluster) StartNode(node *Member, cold bool) error {
	node.NodeConfig.Cold, node.NodeConfig.Addr = cold, "127.0.0.1:0"
	conf, err := json.Marshal(node.NodeConfig)
	if err != nil {
		return err
	}
	path := filepath.Join(cluster.Spec.Dir, node.Name+".json")
	if err := os.WriteFile(path, conf, 0o644); err != nil {
		return err
	}
	proc, err := cluster.spawn(node.Name, nil, "box", path)
	if err != nil {
		return err
	}
	node.Proc = proc
	if node.Relay != nil {
		node.Relay.SetTarget(proc.Addr)
		return node.Relay.Refuse(false)
	}
	return nil
}

// StartDirector starts a director's process on its socket; first says that no earlier run of this director has
// accepted tokens.
func (cluster *Cluster) StartDirector(director *Member, first bool) error {
	args := []string{"serve", director.SettingsPath, "--listen-fd", "3", "--follow-stdin"}
	if !first {
		args = append(args, "--again")
	}
	proc, err := cluster.spawn(director.Name, []*os.File{director.listenerFile}, args...)
	if err == nil {
		director.Proc = proc
	}
	return err
}

// Start starts all members and waits until every director knows every media node.
func (cluster *Cluster) Start() error {
	errs := make(chan error, len(cluster.Nodes)+len(cluster.Directors))
	for _, node := range cluster.Nodes {
		go func() { errs <- cluster.StartNode(node, false) }()
	}
	for _, director := range cluster.Directors {
		go func() { errs <- cluster.StartDirector(director, true) }()
	}
	var err error
	for range cap(errs) {
		err = errors.Join(err, <-errs)
	}
	if err != nil {
		return err
	}
	for _, director := range cluster.Directors {
		if err := cluster.WaitDirector(director, len(cluster.Nodes)); err != nil {
			return err
		}
	}
	return nil
}

// WaitDirector waits until a director reports at least the given number of media nodes.
func (cluster *Cluster) WaitDirector(director *Member, nodes int) error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if !director.Proc.Alive() {
			// External text, hence the prefix "stage" in place of the package's name.
			return fmt.Errorf("stage: %s has ended: %w", director.Name, director.Proc.Err)
		}
		if resp, err := client.Get("http://" + director.Proc.Addr + "/healthz"); err == nil {
			var known int
			fmt.Fscanf(resp.Body, "ok\nboxes %d\n", &known)
			resp.Body.Close()
			if known >= nodes {
				return nil
			}
		}
	}
	return fmt.Errorf("cluster: %s does not know its media nodes after 20 s", director.Name)
}

// WaitNoNodes waits until a director reports that it has no media nodes (503 from /healthz).
func (cluster *Cluster) WaitNoNodes(director *Member) error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if resp, err := client.Get("http://" + director.Proc.Addr + "/healthz"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == 503 {
				return nil
			}
		}
	}
	return fmt.Errorf("cluster: %s still has media nodes after 20 s", director.Name)
}

// SetFaults replaces the faults injected into a media node; it does nothing if the node does not run.
func (cluster *Cluster) SetFaults(node *Member, faults medianode.Faults) error {
	if node.Proc == nil || !node.Proc.Alive() {
		return nil
	}
	reader, writer := io.Pipe()
	go func() { writer.CloseWithError(json.NewEncoder(writer).Encode(faults)) }()
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+node.Proc.Addr+"/fault", "application/json", reader)
	if err == nil {
		resp.Body.Close()
	}
	return err
}

// Close stops the directors in an orderly way, then kills the media nodes and closes the relays and discovery.
func (cluster *Cluster) Close() {
	var wg sync.WaitGroup
	for _, director := range cluster.Directors {
		if director.Proc != nil && director.Proc.Alive() {
			wg.Add(1)
			go func() {
				defer wg.Done()
				// Two signals, this one and Term's, request a fast stop.
				director.Proc.cmd.Process.Signal(syscall.SIGTERM)
				time.Sleep(50 * time.Millisecond)
				director.Proc.Term(5 * time.Second)
			}()
		}
	}
	wg.Wait()
	for _, node := range cluster.Nodes {
		if node.Proc != nil && node.Proc.Alive() {
			node.Proc.Kill()
		}
		if node.Relay != nil {
			node.Relay.Close()
		}
	}
	for _, director := range cluster.Directors {
		if director.Relay != nil {
			director.Relay.Close()
			director.DiscoveryRelay.Close()
		}
		director.listenerFile.Close()
	}
	cluster.Discovery.Close()
}
