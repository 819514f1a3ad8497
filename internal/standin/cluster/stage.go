// Package stage sets up a small fleet on loopback for rehearsals and for
// trying things out: a list service in this process, directors and boxes in
// processes of their own, and relays between them where wanted.
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

// Spec says what the fleet looks like.
type Spec struct {
	Directors, Boxes int
	Racks            int
	CutTaps          bool // relays that record between viewers, directors, boxes and the list
	Base             config.Settings
	Box              medianode.Config // what all boxes share
	ListNoticeMs     float64
	ListAddMs        float64
	ListSilentMs     float64
	Exe              string // this program
	Dir              string // for settings, keys and logs
}

// Proc is one process of the fleet.
type Proc struct {
	Name     string
	Addr     string // where it listens itself
	Operator string // its operators' API
	cmd      *exec.Cmd
	stdin    io.WriteCloser
	done     chan struct{}
	Err      error // after done
}

// Alive tells whether the process runs.
func (p *Proc) Alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill ends it as kill -9 does.
func (p *Proc) Kill() {
	p.cmd.Process.Kill()
	<-p.done
}

// Term asks it to stop and waits for at most the time.
func (p *Proc) Term(wait time.Duration) error {
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.Err
	case <-time.After(wait):
		p.Kill()
		return errors.New("did not stop in time")
	}
}

// Pid is the process's number.
func (p *Proc) Pid() int { return p.cmd.Process.Pid }

// Member is a director or a box with its relays.
type Member struct {
	Name  string
	Front *relay.Relay            // before it: viewers to a director, directors to a box
	List  *relay.Relay            // a director's way to the list service
	Boxes map[string]*relay.Relay // a director's own ways to the boxes are the boxes' fronts
	URL   string
	Proc  *Proc
	Conf  string
	Box   medianode.Config
	fd    *os.File
	mu    sync.Mutex
}

// Stage is a running fleet.
type Cluster struct {
	Spec      Spec
	Log       *relay.Log
	Lister    *discovery.Server
	Directors []*Member
	Boxes     []*Member
	Key       token.Key
	Keys      []byte
}

// New makes keys, settings and relays, and starts the list service; nothing else runs yet.
func New(spec Spec) (*Cluster, error) {
	st := &Cluster{Spec: spec, Log: relay.NewLog()}
	seed := make([]byte, 32)
	if _, err := rand.Read(seed); err != nil {
		return nil, err
	}
	st.Key = token.NewKey("k1", seed)
	st.Keys = token.FormatKeys([]token.Key{st.Key}, false)
	if err := os.WriteFile(filepath.Join(spec.Dir, "keys.json"), st.Keys, 0o644); err != nil {
		return nil, err
	}
	private := token.FormatKeys([]token.Key{st.Key}, true)
	if err := os.WriteFile(filepath.Join(spec.Dir, "keys-private.json"), private, 0o600); err != nil {
		return nil, err
	}
	var err error
	st.Lister, err = discovery.Start(discovery.Config{Addr: "127.0.0.1:0", NoticeMs: spec.ListNoticeMs,
		AddMs: spec.ListAddMs, SilentMs: spec.ListSilentMs})
	if err != nil {
		return nil, err
	}
	for i := range spec.Boxes {
		m := &Member{Name: fmt.Sprintf("b%d", i), Box: spec.Box}
		m.Box.Cell, m.Box.Rack = i, i%spec.Racks
		m.Box.Keys, m.Box.ListAddr = st.Keys, st.Lister.Addr()
		if spec.CutTaps {
			if m.Front, err = relay.New(st.Log, m.Name, "127.0.0.1:1", false); err != nil {
				return nil, err
			}
			m.Box.Public = m.Front.Addr()
		}
		st.Boxes = append(st.Boxes, m)
	}
	return st, st.directors()
}

// directors makes the settings of all directors; each must know the others' addresses.
func (st *Cluster) directors() error {
	var names, urls []string
	for i := range st.Spec.Directors {
		m := &Member{Name: fmt.Sprintf("d%d", i)}
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return err
		}
		addr := ln.Addr().String()
		if m.fd, err = ln.(*net.TCPListener).File(); err != nil {
			return err
		}
		ln.Close()
		m.URL = "http://" + addr
		if st.Spec.CutTaps {
			if m.Front, err = relay.New(st.Log, m.Name, addr, false); err != nil {
				return err
			}
			m.URL = "http://" + m.Front.Addr()
			if m.List, err = relay.New(st.Log, m.Name+"/list", st.Lister.Addr(), false); err != nil {
				return err
			}
		}
		names, urls = append(names, m.Name), append(urls, m.URL)
		st.Directors = append(st.Directors, m)
	}
	for _, m := range st.Directors {
		s := st.Spec.Base
		s.Director.Name, s.Director.Directors, s.Director.URLs = m.Name, names, urls
		s.Director.Listen, s.List.Addr, s.Tokens.Keys = "127.0.0.1:0", st.Lister.Addr(), "keys.json"
		s.Director.Operator = "127.0.0.1:0"
		s.Director.FirstStart = true
		if m.List != nil {
			s.List.Addr = m.List.Addr()
		}
		s.Log.File = filepath.Join(st.Spec.Dir, m.Name+".log")
		text, err := toml.Marshal(s)
		if err != nil {
			return err
		}
		m.Conf = filepath.Join(st.Spec.Dir, m.Name+".toml")
		if err := os.WriteFile(m.Conf, text, 0o644); err != nil {
			return err
		}
		if _, err := config.Load(m.Conf); err != nil {
			return fmt.Errorf("stage: its own settings: %w", err)
		}
	}
	return nil
}

// spawn starts this program as a member. The child ends when its standard input does, so that nothing is left
// behind where this process dies.
func (st *Cluster) spawn(name string, files []*os.File, args ...string) (*Proc, error) {
	cmd := exec.Command(st.Spec.Exe, args...)
	cmd.ExtraFiles = files
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // a Ctrl-C is for this process; it stops the others in order
	errs, err := os.OpenFile(filepath.Join(st.Spec.Dir, name+".err"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer errs.Close()
	cmd.Stderr = errs
	p := &Proc{Name: name, cmd: cmd, done: make(chan struct{})}
	if p.stdin, err = cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("stage: %s: %w", name, err)
	}
	line := make(chan string, 1)
	go func() {
		r := bufio.NewReader(out)
		s, _ := r.ReadString('\n')
		line <- s
		io.Copy(io.Discard, r)
		p.Err = cmd.Wait()
		close(p.done)
	}()
	select {
	case s := <-line:
		var ready struct {
			Addr     string `json:"addr"`
			Operator string `json:"operator"`
		}
		if json.Unmarshal([]byte(s), &ready) != nil || ready.Addr == "" {
			<-p.done
			text, _ := os.ReadFile(errs.Name())
			return nil, fmt.Errorf("stage: %s did not start: %s", name, text)
		}
		p.Addr, p.Operator = ready.Addr, ready.Operator
	case <-time.After(20 * time.Second):
		cmd.Process.Kill()
		return nil, fmt.Errorf("stage: %s did not start in 20 s", name)
	}
	return p, nil
}

// StartBox starts a box's process; cold says that it has just been switched on.
func (st *Cluster) StartBox(m *Member, cold bool) error {
	m.Box.Cold, m.Box.Addr = cold, "127.0.0.1:0"
	conf, err := json.Marshal(m.Box)
	if err != nil {
		return err
	}
	path := filepath.Join(st.Spec.Dir, m.Name+".json")
	if err := os.WriteFile(path, conf, 0o644); err != nil {
		return err
	}
	p, err := st.spawn(m.Name, nil, "box", path)
	if err != nil {
		return err
	}
	m.Proc = p
	if m.Front != nil {
		m.Front.Target(p.Addr)
		return m.Front.Refuse(false)
	}
	return nil
}

// StartDirector starts a director's process on its own socket; first says that no run of it took tokens before.
func (st *Cluster) StartDirector(m *Member, first bool) error {
	args := []string{"serve", m.Conf, "--listen-fd", "3", "--follow-stdin"}
	if !first {
		args = append(args, "--again")
	}
	p, err := st.spawn(m.Name, []*os.File{m.fd}, args...)
	if err == nil {
		m.Proc = p
	}
	return err
}

// Start starts all and waits until every director knows every box.
func (st *Cluster) Start() error {
	errs := make(chan error, len(st.Boxes)+len(st.Directors))
	for _, m := range st.Boxes {
		go func() { errs <- st.StartBox(m, false) }()
	}
	for _, m := range st.Directors {
		go func() { errs <- st.StartDirector(m, true) }()
	}
	var err error
	for range cap(errs) {
		err = errors.Join(err, <-errs)
	}
	if err != nil {
		return err
	}
	for _, m := range st.Directors {
		if err := st.WaitDirector(m, len(st.Boxes)); err != nil {
			return err
		}
	}
	return nil
}

// WaitDirector waits until a director knows so many boxes.
func (st *Cluster) WaitDirector(m *Member, boxes int) error {
	c := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if !m.Proc.Alive() {
			return fmt.Errorf("stage: %s has ended: %w", m.Name, m.Proc.Err)
		}
		if resp, err := c.Get("http://" + m.Proc.Addr + "/healthz"); err == nil {
			var n int
			fmt.Fscanf(resp.Body, "ok\nboxes %d\n", &n)
			resp.Body.Close()
			if n >= boxes {
				return nil
			}
		}
	}
	return fmt.Errorf("stage: %s does not know its boxes after 20 s", m.Name)
}

// WaitNoBoxes waits until a director knows that no box is left.
func (st *Cluster) WaitNoBoxes(m *Member) error {
	c := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if resp, err := c.Get("http://" + m.Proc.Addr + "/healthz"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == 503 {
				return nil
			}
		}
	}
	return fmt.Errorf("stage: %s still knows boxes after 20 s", m.Name)
}

// Fault switches a box's own faults.
func (st *Cluster) Fault(m *Member, f medianode.Faults) error {
	if m.Proc == nil || !m.Proc.Alive() {
		return nil
	}
	pr, pw := io.Pipe()
	go func() { pw.CloseWithError(json.NewEncoder(pw).Encode(f)) }()
	c := &http.Client{Timeout: time.Second}
	resp, err := c.Post("http://"+m.Proc.Addr+"/fault", "application/json", pr)
	if err == nil {
		resp.Body.Close()
	}
	return err
}

// Close ends all: directors in order, then the rest.
func (st *Cluster) Close() {
	var wg sync.WaitGroup
	for _, m := range st.Directors {
		if m.Proc != nil && m.Proc.Alive() {
			wg.Add(1)
			go func() {
				defer wg.Done()
				m.Proc.cmd.Process.Signal(syscall.SIGTERM) // twice: in a hurry
				time.Sleep(50 * time.Millisecond)
				m.Proc.Term(5 * time.Second)
			}()
		}
	}
	wg.Wait()
	for _, m := range st.Boxes {
		if m.Proc != nil && m.Proc.Alive() {
			m.Proc.Kill()
		}
		if m.Front != nil {
			m.Front.Close()
		}
	}
	for _, m := range st.Directors {
		if m.Front != nil {
			m.Front.Close()
			m.List.Close()
		}
		m.fd.Close()
	}
	st.Lister.Close()
}
