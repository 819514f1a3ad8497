package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"headmill/decide/idempotency"
	"headmill/internal/standin/cluster"
)

type upCmd struct {
	JSON      bool    `help:"Print one line of JSON when everything is ready."`
	Directors int     `default:"2" help:"Number of directors."`
	Nodes     int     `name:"boxes" default:"6" help:"Number of stand-in media nodes."`
	ClipS     float64 `help:"Length of the shorter clips in seconds." default:"60"`
	Dashjs    string  `help:"dash.js file for the player page." default:"test/browser/node_modules/dashjs/dist/modern/umd/dash.all.min.js" placeholder:"FILE"`
	State     string  `help:"Folder for settings, keys and logs; by default a new one under the temporary folder."`
}

// upTitle is one title in the JSON output.
type upTitle struct {
	Title string `json:"title"`
	Class string `json:"class"`
}

// Run starts a cluster of directors and stand-in media nodes, prints how to use it and waits for a signal.
func (c *upCmd) Run() error {
	stop := untilSignal()
	dir, err := stateDir(c.State)
	if err != nil {
		return err
	}
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	spec := cluster.SmallSpec(c.Directors, c.Nodes, 6, c.ClipS*1000)
	spec.Executable, spec.Dir = exe, dir
	spec.DiscoveryStartDelayMs, spec.NodeConfig.IdleTimeoutMs = 0, 30000
	localCluster, err := cluster.New(spec)
	if err != nil {
		return err
	}
	defer localCluster.Close()
	if err := localCluster.Start(); err != nil {
		return err
	}
	var out struct {
		Directors []string  `json:"directors"`
		Nodes     []string  `json:"boxes"`
		Titles    []upTitle `json:"titles"`
		Manifests []string  `json:"manifests"`
		State     string    `json:"state"`
		Page      string    `json:"page"`
		Pids      []int     `json:"director_pids"`
	}
	out.State = dir
	for _, member := range localCluster.Directors {
		out.Directors, out.Pids = append(out.Directors, member.URL), append(out.Pids, member.Proc.Pid())
	}
	for _, member := range localCluster.Nodes {
		out.Nodes = append(out.Nodes, "http://"+member.Proc.Addr)
	}
	tokens := []string{}
	for i := range spec.Base.Titles {
		t := &spec.Base.Titles[i]
		claims := claimsFor(t.Name, t.Class, "viewer-"+strconv.Itoa(i), "demo", "", 3, time.Hour)
		raw, err := localCluster.Key.Sign(claims)
		if err != nil {
			return err
		}
		tokens = append(tokens, raw)
		out.Titles = append(out.Titles, upTitle{t.Name, t.Class})
		out.Manifests = append(out.Manifests,
			localCluster.Directors[ownerIndex(localCluster, claims.ID)].URL+"/dash/"+t.Name+"/manifest.mpd?token="+raw)
	}
	_, scriptErr := os.Stat(c.Dashjs)
	addr, err := cluster.Page(c.Dashjs, &out)
	if err != nil {
		return err
	}
	out.Page = "http://" + addr + "/"
	if c.JSON {
		line, _ := json.Marshal(out)
		fmt.Println(string(line))
	} else {
		fmt.Println("directors:", strings.Join(out.Directors, " "))
		fmt.Println("boxes:    ", strings.Join(out.Nodes, " "))
		for _, t := range out.Titles {
			fmt.Printf("title:     %s (%s)\n", t.Title, t.Class)
		}
		fmt.Println("state:    ", dir, "(settings, keys and logs)")
		fmt.Printf("\na token, good for one session of %s for an hour:\n%s\n", out.Titles[1].Title, tokens[1])
		fmt.Printf("\nits manifest (a paid title may be answered by the other director: -L follows):\n"+
			"  curl -sL -o manifest.mpd '%s' && cat manifest.mpd\n", out.Manifests[1])
		fmt.Printf("\nits first segment, from the box that the manifest names:\n"+
			"  curl -s -o 1.m4s \"$(sed -n 's:.*<BaseURL>\\(.*\\)</BaseURL>.*:\\1:p' manifest.mpd)r0/1.m4s?token=%s\" && ls -l 1.m4s\n",
			tokens[1])
		fmt.Printf("\nfurther tokens:\n  headmill token mint --keys %s --title %s --class %s\n",
			filepath.Join(dir, "keys-private.json"), out.Titles[1].Title, out.Titles[1].Class)
		fmt.Printf("\na page that plays it in dash.js: %s\n", out.Page)
		if scriptErr != nil {
			fmt.Println("  dash.js is not there yet; this gets it: npm ci --prefix test/browser")
		}
		fmt.Println("\nrunning until a signal (Ctrl-C)")
	}
	<-stop
	return nil
}

// ownerIndex returns the index of the director that owns the session of an at-most-once token; any other director
// redirects the viewer to it.
func ownerIndex(localCluster *cluster.Cluster, jti string) int {
	var names []string
	for _, member := range localCluster.Directors {
		names = append(names, member.Name)
	}
	return idempotency.Owner(jti, names)
}

// stateDir returns the absolute path of the folder for settings, keys and logs, and creates it. Without a path it is a
// new temporary folder.
func stateDir(path string) (string, error) {
	if path == "" {
		return os.MkdirTemp("", "headmill-*")
	}
	if err := os.MkdirAll(path, 0o755); err != nil {
		return "", err
	}
	return filepath.Abs(path)
}

// untilSignal returns a channel that is closed at a signal, or when the "go run" that started this program has ended:
// the go command does not pass SIGTERM on to the program, so the change of the parent process is the only sign of it.
func untilSignal() <-chan struct{} {
	stop := make(chan struct{})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	parent := os.Getppid()
	parentName, _ := os.ReadFile(fmt.Sprintf("/proc/%d/comm", parent))
	startedByGo := strings.TrimSpace(string(parentName)) == "go"
	go func() {
		ticker := time.NewTicker(200 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-signals:
				close(stop)
				return
			case <-ticker.C:
				if startedByGo && os.Getppid() != parent {
					close(stop)
					return
				}
			}
		}
	}()
	return stop
}
