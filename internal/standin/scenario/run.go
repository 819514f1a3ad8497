package scenario

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/golang-jwt/jwt/v5"

	"headmill/internal/audit"
	"headmill/internal/bench"
	"headmill/internal/config"
	"headmill/internal/standin/cluster"
	"headmill/internal/standin/medianode"
	"headmill/internal/standin/player"
	"headmill/internal/standin/relay"
	"headmill/internal/token"
)

// Run executes one scenario and has its results.
type Run struct {
	Script   *Script
	Exe      string                           // path of the headmill executable
	Dir      string                           // folder for settings, keys and logs
	EditSpec func(*cluster.Spec)              // changes the cluster before it starts; nil: none
	Printf   func(format string, args ...any) // prints progress; nil: nothing is printed

	cluster       *cluster.Cluster
	mu            sync.Mutex
	nodeFaults    []medianode.Faults
	restarting    map[int]bool // media nodes whose process a trouble (injected fault) has stopped
	rateFactor    float64      // factor on the script's rate of new viewers
	ctx           context.Context
	client        *http.Client
	viewerRand    *rand.Rand // draws the script's viewers
	floodRand     *rand.Rand // draws the viewers of a retry flood
	viewerCount   atomic.Int64
	activeViewers sync.WaitGroup
	StartedAt     time.Time
	Stats         player.Stats
	CPUMs         []float64 // CPU time in ms of each director that runs at the end
}

// Execute runs the script to its end and returns the audit report on what the relays recorded.
func (r *Run) Execute() (*audit.Report, error) {
	script := r.Script
	spec := cluster.SmallSpec(script.Directors, script.Nodes, script.Titles, script.TitleDurationS*1000)
	spec.Executable, spec.Dir, spec.Relays = r.Exe, r.Dir, true
	spec.Base.Attempts.MaxRetryAfterMs = script.MaxRetryAfterS * 1000
	spec.Base.Admission.AdmitAll = script.AdmissionControl == "off"
	spec.Base.Tenants = []config.Tenant{{Name: tenants[0], Share: 0.7}, {Name: tenants[1], Share: 0.3}}
	if script.CapacityFactor > 0 {
		fleet, node := &spec.Base.Fleet, &spec.NodeConfig
		fleet.TotalLinkKB, fleet.UplinkKB, node.LinkKB, node.UplinkKB =
			fleet.TotalLinkKB*script.CapacityFactor, fleet.UplinkKB*script.CapacityFactor,
			node.LinkKB*script.CapacityFactor, node.UplinkKB*script.CapacityFactor
		node.MaxSessions = int(math.Round(float64(node.MaxSessions) * script.CapacityFactor))
		fleet.StreamsByKind = []int{node.MaxSessions}
	}
	if err := errors.Join(applyOverrides(&spec.Base, script.DirectorSettings),
		applyOverrides(&spec.NodeConfig, script.NodeSettings)); err != nil {
		return nil, err
	}
	if r.EditSpec != nil {
		r.EditSpec(&spec)
	}
	testCluster, err := cluster.New(spec)
	if err != nil {
		return nil, err
	}
	defer testCluster.Close()
	if err := testCluster.Start(); err != nil {
		return nil, err
	}
	r.cluster, r.nodeFaults, r.restarting, r.rateFactor =
		testCluster, make([]medianode.Faults, script.Nodes), map[int]bool{}, 1
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	startedAt := time.Now()
	r.StartedAt = startedAt
	var wg sync.WaitGroup
	// Targets, retry floods and viewers draw from separate streams of one seed (11, 17 and 13), so that random
	// numbers for one do not change those for the others.
	targetRand := rand.New(rand.NewPCG(script.Seed, 11))
	for _, trouble := range script.Troubles {
		targets := r.pickTargets(trouble, targetRand)
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Until(startedAt.Add(secondsDuration(trouble.AtS))))
			r.logf("%5.1f s  %s on %s for %.0f s", time.Since(startedAt).Seconds(), trouble.Name,
				targetNames(trouble, targets), trouble.DurationS)
			r.injectTrouble(trouble, targets)
		}()
	}
	r.ctx, r.client = ctx, player.NewClient()
	r.floodRand, r.viewerRand = rand.New(rand.NewPCG(script.Seed, 17)), rand.New(rand.NewPCG(script.Seed, 13))
	r.generateViewers(startedAt)
	wg.Wait()
	r.logf("%5.1f s  no more viewers; waiting for those who watch", time.Since(startedAt).Seconds())
	r.activeViewers.Wait()
	for _, director := range testCluster.Directors {
		if director.Proc.Alive() {
			r.CPUMs = append(r.CPUMs, bench.CPUMs(director.Proc.Pid()))
		}
	}
	time.Sleep(300 * time.Millisecond) // the last events must pass the relays
	return audit.Verify(testCluster.Log.Records(), AuditTerms(testCluster)), nil
}

// logf prints a line of progress.
func (r *Run) logf(format string, args ...any) {
	if r.Printf != nil {
		r.Printf(format, args...)
	}
}

func secondsDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// targetNames returns the names of what a trouble affects, for progress lines.
func targetNames(trouble Trouble, targets []int) string {
	if trouble.Name == "burst" || trouble.Name == "retry_flood" {
		return "viewers"
	}
	prefix := "b"
	if affectsDirectors[trouble.Name] {
		prefix = "d"
	}
	var out []string
	for _, i := range targets {
		out = append(out, prefix+strconv.Itoa(i))
	}
	return strings.Join(out, ",")
}

// pickTargets selects the media nodes or directors that a trouble affects; the same seed selects the same ones. It uses
// the random numbers even if the script names the targets, so that the selection for later troubles stays the same.
func (r *Run) pickTargets(trouble Trouble, rng *rand.Rand) []int {
	candidates := r.Script.Nodes
	if affectsDirectors[trouble.Name] {
		candidates = r.Script.Directors
	}
	perm := rng.Perm(candidates)
	if len(trouble.Targets) > 0 {
		return trouble.Targets
	}
	if trouble.Name == "report_late" && trouble.Fraction == 0 { // without a fraction, the reports of all nodes are late
		return perm
	}
	count := max(int(math.Round(trouble.Fraction*float64(candidates))), 1)
	targets := perm[:count]
	slices.Sort(targets)
	return targets
}

// changeNodeFaults changes the faults injected into a media node.
func (r *Run) changeNodeFaults(index int, change func(*medianode.Faults)) {
	r.mu.Lock()
	change(&r.nodeFaults[index])
	faults := r.nodeFaults[index]
	r.mu.Unlock()
	if err := r.cluster.SetFaults(r.cluster.Nodes[index], faults); err != nil {
		r.logf("b%d: fault not set: %v", index, err)
	}
}

// claimNode claims or releases a media node for a trouble that stops its process. It returns false if another trouble
// has claimed the node.
func (r *Run) claimNode(index int, claim bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if claim && r.restarting[index] {
		return false
	}
	r.restarting[index] = claim
	return true
}

// injectTrouble injects a trouble into its targets, waits for its duration and removes it.
func (r *Run) injectTrouble(trouble Trouble, targets []int) {
	wait := func() { time.Sleep(secondsDuration(trouble.DurationS)) }
	apply := func(begin, end func(f *medianode.Faults)) {
		for _, i := range targets {
			r.changeNodeFaults(i, begin)
		}
		wait()
		for _, i := range targets {
			r.changeNodeFaults(i, end)
		}
	}
	switch trouble.Name {
	case "slow":
		apply(func(f *medianode.Faults) { f.Slowdown = trouble.Magnitude }, func(f *medianode.Faults) { f.Slowdown = 0 })
	case "origin_slow": // affects the uplinks of the targets' racks, so all nodes of those racks
		racks := map[int]bool{}
		for _, i := range targets {
			racks[r.cluster.Nodes[i].NodeConfig.Rack] = true
		}
		targets = targets[:0:0]
		for i, node := range r.cluster.Nodes {
			if racks[node.NodeConfig.Rack] {
				targets = append(targets, i)
			}
		}
		apply(func(f *medianode.Faults) { f.UplinkSlowdown = trouble.Magnitude },
			func(f *medianode.Faults) { f.UplinkSlowdown = 0 })
	case "fast_errors":
		apply(func(f *medianode.Faults) { f.ErrorFraction = trouble.Magnitude },
			func(f *medianode.Faults) { f.ErrorFraction = 0 })
	case "hang":
		apply(func(f *medianode.Faults) { f.Hang = true }, func(f *medianode.Faults) { f.Hang = false })
	case "answer_lost":
		apply(func(f *medianode.Faults) { f.LoseAnswers = true }, func(f *medianode.Faults) { f.LoseAnswers = false })
	case "report_late":
		apply(func(f *medianode.Faults) { f.EventDelayMs = trouble.Magnitude * 1000 },
			func(f *medianode.Faults) { f.EventDelayMs = 0 })
	case "burst":
		r.setRateFactor(trouble.Magnitude)
		wait()
		r.setRateFactor(1)
	case "retry_flood": // viewers of the second tenant that retry every 100 ms, whatever Retry-After says
		end := time.Now().Add(secondsDuration(trouble.DurationS))
		for at := time.Now(); at.Before(end); at = at.Add(time.Duration(float64(time.Second) / trouble.Magnitude)) {
			time.Sleep(time.Until(at))
			r.startViewer(r.floodRand, func(request *player.Request) { request.IgnoreRetryAfter = true }, 1)
		}
	case "drain":
		for _, i := range targets {
			r.cluster.Discovery.Drain(r.cluster.Nodes[i].NodeConfig.PublicAddr, true)
		}
		wait()
		for _, i := range targets {
			r.cluster.Discovery.Drain(r.cluster.Nodes[i].NodeConfig.PublicAddr, false)
		}
	case "crash", "cold_start", "vanish":
		var wg sync.WaitGroup
		for _, i := range targets {
			if !r.claimNode(i, true) {
				continue
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer r.claimNode(i, false)
				r.restartNode(trouble, r.cluster.Nodes[i])
				r.changeNodeFaults(i, func(f *medianode.Faults) { *f = medianode.Faults{} })
			}()
		}
		wg.Wait()
	case "balancer_crash":
		for _, i := range targets {
			director := r.cluster.Directors[i]
			r.cluster.Log.Mark(director.Name, "killed")
			director.Proc.Kill()
			director.Relay.Refuse(true)
			director.DiscoveryRelay.Reset()
		}
		wait()
		for _, i := range targets {
			director := r.cluster.Directors[i]
			if err := r.cluster.StartDirector(director, false); err != nil {
				r.logf("%s: %v", director.Name, err)
				continue
			}
			r.cluster.Log.Mark(director.Name, "started")
			director.Relay.Refuse(false)
		}
	}
}

// restartNode kills a media node and starts it again cold after the trouble's
// duration. A node that vanishes does so silently: its relay stalls, as its
// machine does not even reset the open connections.
func (r *Run) restartNode(trouble Trouble, node *cluster.Member) {
	if trouble.Name == "vanish" {
		r.cluster.Log.Mark(node.Name, "vanished")
		node.Relay.SetFaults(relay.Faults{Stall: true})
		node.Proc.Kill()
		time.Sleep(secondsDuration(trouble.DurationS))
		node.Relay.Refuse(true)
		node.Relay.SetFaults(relay.Faults{})
	} else {
		r.cluster.Log.Mark(node.Name, "killed")
		node.Proc.Kill()
		node.Relay.Refuse(true)
		time.Sleep(secondsDuration(trouble.DurationS))
	}
	if err := r.cluster.StartNode(node, true); err != nil {
		r.logf("%s: %v", node.Name, err)
		return
	}
	r.cluster.Log.Mark(node.Name, "started")
	proc := node.Proc
	go func() { // records a crash by overload, which the node reports as exit status 9
		for proc.Alive() {
			time.Sleep(20 * time.Millisecond)
		}
		if strings.Contains(fmt.Sprint(proc.Err), "exit status 9") {
			r.cluster.Log.Mark(node.Name, "fell") // the name of this mark in recordings
		}
	}()
}

// setRateFactor sets the factor on the rate of new viewers.
func (r *Run) setRateFactor(factor float64) {
	r.mu.Lock()
	r.rateFactor = factor
	r.mu.Unlock()
}

// tenants are the tenants of the viewers; three of ten viewers are of the second.
var tenants = [2]string{"hanbit-mobile", "dasol-talk"}

// generateViewers starts viewers at random intervals until the script's end; they may play on after it.
func (r *Run) generateViewers(startedAt time.Time) {
	at := 0.0
	for {
		r.mu.Lock()
		rate := r.Script.Rate * r.rateFactor
		r.mu.Unlock()
		at += r.viewerRand.ExpFloat64() / rate
		if at >= r.Script.Seconds {
			return
		}
		time.Sleep(time.Until(startedAt.Add(secondsDuration(at))))
		tenant := 0
		if r.viewerRand.Float64() < 0.3 {
			tenant = 1
		}
		if s := r.Script.OnlyTenant; s == "" || s == tenants[tenant] {
			r.startViewer(r.viewerRand, nil, tenant)
		}
	}
}

// startViewer generates a random viewer of a tenant and starts it; edit, if not nil, changes its request first.
func (r *Run) startViewer(rng *rand.Rand, edit func(*player.Request), tenant int) {
	script, testCluster := r.Script, r.cluster
	titles := testCluster.Spec.Base.Titles
	// The exponent makes the first titles more popular than the last.
	title := &titles[int(float64(len(titles))*math.Pow(rng.Float64(), 1.5))]
	class := &testCluster.Spec.Base.Classes[testCluster.Spec.Base.ClassIndex(title.Class)]
	viewer, maxRung := fmt.Sprintf("v%d", r.viewerCount.Add(1)), len(testCluster.Spec.Base.Ladder.RateKB)-1
	if rng.Float64() < 0.2 { // a fifth of the players cannot use the highest rung
		maxRung--
	}
	tokenCount := 0
	request := player.Request{Title: title.Name, Class: title.Class, AtMostOnce: class.Semantics == "once",
		GiveUpAfter: time.Duration(class.GiveUpMs) * time.Millisecond,
		WatchTime:   time.Duration(title.DurationMs) * time.Millisecond, Seed: rng.Uint64(),
		Duplicate: rng.Float64() < script.DuplicateFraction, UseSessionAPI: rng.Float64() < script.SessionAPIFraction,
		Token: func() string {
			tokenCount++
			now := time.Now()
			signed, err := testCluster.Key.Sign(token.Claims{Title: title.Name, Class: title.Class, Tenant: tenants[tenant],
				MaxRung: maxRung,
				RegisteredClaims: jwt.RegisteredClaims{Subject: viewer, ID: fmt.Sprintf("%s-%d", viewer, tokenCount),
					IssuedAt: jwt.NewNumericDate(now), ExpiresAt: jwt.NewNumericDate(now.Add(10 * time.Minute))}})
			if err != nil {
				panic(err)
			}
			return signed
		},
		Director: func(rng *rand.Rand) string { return testCluster.Directors[rng.IntN(len(testCluster.Directors))].URL }}
	if edit != nil {
		edit(&request)
	}
	r.activeViewers.Add(1)
	go func() {
		defer r.activeViewers.Done()
		player.Watch(r.ctx, r.client, request, &r.Stats)
	}()
}

// Finding is a finding of the quality detector in a director's log.
type Finding struct {
	Director, Group, Name string
	Ended                 bool    // the finding no longer holds
	Load                  float64 // rate needed over rate received, of the group's short sessions
	At                    float64 // seconds since the start of the run
}

// Findings returns the findings of the quality detector in all directors' logs, in the order of time.
func (r *Run) Findings() (out []Finding, err error) {
	for _, director := range r.cluster.Directors {
		file, err := os.Open(filepath.Join(r.Dir, director.Name+".log"))
		if err != nil {
			return nil, err
		}
		defer file.Close()
		scanner := bufio.NewScanner(file)
		for scanner.Buffer(nil, 1<<20); scanner.Scan(); {
			var line struct { // the log's attributes, whose names are external
				Time        time.Time
				Msg         string
				Group, Name string
				Over        bool
				Load        float64
			}
			if json.Unmarshal(scanner.Bytes(), &line) == nil && strings.HasPrefix(line.Msg, "quality: ") {
				out = append(out, Finding{director.Name, line.Group, line.Name, line.Over, line.Load,
					line.Time.Sub(r.StartedAt).Seconds()})
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Finding) int { return cmp.Compare(a.At, b.At) })
	return out, nil
}

// RackOfNode returns the rack of the media node with the given address; -1 if there is none.
func (r *Run) RackOfNode(addr string) int {
	for _, node := range r.cluster.Nodes {
		if node.NodeConfig.PublicAddr == addr {
			return node.NodeConfig.Rack
		}
	}
	return -1
}

// AuditTerms returns what the auditor expects of the cluster. It comes from the cluster's specification, not from any
// director's view.
func AuditTerms(testCluster *cluster.Cluster) audit.Terms {
	settings, node := &testCluster.Spec.Base, &testCluster.Spec.NodeConfig
	terms := audit.Terms{Classes: map[string]audit.Class{}, Titles: map[string]audit.Title{}, Nodes: map[string]string{},
		Worth: settings.Ladder.Worth, SlackMs: 40, GraceMs: 250, StreamsPerNode: float64(node.MaxSessions),
		WarmUpMs: node.WarmUpMs, ColdRateFraction: node.ColdRateFraction, ColdOverloadFactor: node.OverloadFactor,
		ColdWindowMs: node.OverloadWindowMs, ShortfallPenalty: 6}
	for _, class := range settings.Classes {
		terms.Classes[class.Name] = audit.Class{AtMostOnce: class.Semantics == "once", TargetMs: class.TargetMs,
			GiveUpMs: class.GiveUpMs, Value: class.Value, MinRung: class.MinRung, MaxPerTitle: class.MaxPerTitle}
	}
	for _, title := range settings.Titles {
		terms.Titles[title.Name] = audit.Title{Class: title.Class, DurationMs: title.DurationMs}
	}
	for _, node := range testCluster.Nodes {
		terms.Nodes[node.NodeConfig.PublicAddr] = node.Name
	}
	return terms
}
