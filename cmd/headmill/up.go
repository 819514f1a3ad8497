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
	JSON      bool    `help:"Print one line of JSON when all is ready."`
	Directors int     `default:"2" help:"Directors."`
	Boxes     int     `default:"6" help:"Boxes."`
	ClipS     float64 `help:"Length of the shorter clips, s." default:"60"`
	Dashjs    string  `help:"dash.js for the page." default:"test/browser/node_modules/dashjs/dist/modern/umd/dash.all.min.js" placeholder:"FILE"`
	State     string  `help:"Folder for settings, keys and logs; a new one under the temporary folder otherwise."`
}

type upTitle struct {
	Title string `json:"title"`
	Class string `json:"class"`
}

// Run starts the fleet and stays.
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
	spec := cluster.Small(c.Directors, c.Boxes, 6, c.ClipS*1000)
	spec.Exe, spec.Dir = exe, dir
	spec.ListAddMs, spec.Box.IdleMs = 0, 30000
	st, err := cluster.New(spec)
	if err != nil {
		return err
	}
	defer st.Close()
	if err := st.Start(); err != nil {
		return err
	}
	var out struct {
		Directors []string  `json:"directors"`
		Boxes     []string  `json:"boxes"`
		Titles    []upTitle `json:"titles"`
		Manifests []string  `json:"manifests"`
		State     string    `json:"state"`
		Page      string    `json:"page"`
		Pids      []int     `json:"director_pids"`
	}
	out.State = dir
	for _, m := range st.Directors {
		out.Directors, out.Pids = append(out.Directors, m.URL), append(out.Pids, m.Proc.Pid())
	}
	for _, m := range st.Boxes {
		out.Boxes = append(out.Boxes, "http://"+m.Proc.Addr)
	}
	tokens := []string{}
	for i := range spec.Base.Titles {
		t := &spec.Base.Titles[i]
		claims := claimsFor(t.Name, t.Class, "viewer-"+strconv.Itoa(i), "demo", "", 3, time.Hour)
		raw, err := st.Key.Mint(claims)
		if err != nil {
			return err
		}
		tokens = append(tokens, raw)
		out.Titles = append(out.Titles, upTitle{t.Name, t.Class})
		out.Manifests = append(out.Manifests, st.Directors[home(st, claims.ID)].URL+"/dash/"+t.Name+"/manifest.mpd?token="+raw)
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
		fmt.Println("boxes:    ", strings.Join(out.Boxes, " "))
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

// home is the director that answers for a paid token; any other one would send its viewer there.
func home(st *cluster.Cluster, jti string) int {
	var names []string
	for _, m := range st.Directors {
		names = append(names, m.Name)
	}
	return idempotency.Owner(jti, names)
}

func stateDir(path string) (string, error) {
	if path == "" {
		return os.MkdirTemp("", "headmill-*")
	}
	if err := os.MkdirAll(path, 0o755); err != nil {
		return "", err
	}
	return filepath.Abs(path)
}

// untilSignal closes the channel at a signal, or when the go command that started this program is gone: it does
// not pass SIGTERM on.
func untilSignal() <-chan struct{} {
	stop := make(chan struct{})
	sigs := make(chan os.Signal, 1)
	signal.Notify(sigs, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	parent := os.Getppid()
	comm, _ := os.ReadFile(fmt.Sprintf("/proc/%d/comm", parent))
	underGo := strings.TrimSpace(string(comm)) == "go"
	go func() {
		t := time.NewTicker(200 * time.Millisecond)
		defer t.Stop()
		for {
			select {
			case <-sigs:
				close(stop)
				return
			case <-t.C:
				if underGo && os.Getppid() != parent {
					close(stop)
					return
				}
			}
		}
	}()
	return stop
}
