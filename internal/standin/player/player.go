// Package player is a stand-in of a viewer: it asks for a manifest with its
// token, plays the segments at their pace, follows the bitrate that the box
// suggests (CMSD, CTA-5006, key mb) and comes again as viewers do. It reads
// manifests as a plain DASH player does.
package player

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	neturl "net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"headmill/internal/dash"
)

// Wish is what one viewer wants to see.
type Request struct {
	Title, Class string
	AtMostOnce   bool
	GiveUp       time.Duration
	WatchTime    time.Duration // how long it wants to watch
	Seed         uint64
	// Token mints a token of a new wanted session of this viewer.
	Token func() string
	// Director is the base URL of a director for a try.
	Director         func(rng *rand.Rand) string
	Duplicate        bool // it asks twice at the same moment
	UseSessionAPI    bool // it keeps a connection to the session API
	IgnoreRetryAfter bool // after a refusal it comes again every 100 ms, whatever it is told
}

// Stats counts over all viewers.
type Stats struct {
	Requests, Played, Refused, Failed, Broken, Denied, Unreachable atomic.Int64
	Segments, Stalled                                              atomic.Int64
}

// follow is the part of viewers that keep to the advice of a refusal.
const retryAfterCompliance = 0.85

// Client is the HTTP client that viewers share: a connection each, as players have.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 0, DisableKeepAlives: true,
		DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext}}
}

type answer struct {
	status     int
	body       []byte
	retryAfter time.Duration
	homeURL    string // the director that answers for the token, over the session API
	err        error
}

func fetchManifest(ctx context.Context, client *http.Client, url string, giveUp time.Duration) answer {
	ctx, cancel := context.WithTimeout(ctx, giveUp+200*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "GET", url, nil)
	if err != nil {
		return answer{err: err}
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	result := answer{status: resp.StatusCode, body: body, err: err}
	if seconds, parseErr := strconv.Atoi(resp.Header.Get("Retry-After")); parseErr == nil {
		result.retryAfter = time.Duration(seconds) * time.Second
	}
	return result
}

// Watch lives through one wish.
func Watch(ctx context.Context, client *http.Client, request Request, stats *Stats) {
	rng := rand.New(rand.NewPCG(request.Seed, 7))
	end := time.Now().Add(request.WatchTime)
	token := request.Token()
	failures := 0
	for time.Now().Before(end) && ctx.Err() == nil {
		url := fmt.Sprintf("%s/dash/%s/manifest.mpd?token=%s", request.Director(rng), request.Title, token)
		stats.Requests.Add(1)
		duplicateDone := make(chan struct{})
		if request.Duplicate {
			request.Duplicate = false
			go func() { fetchManifest(ctx, client, url, request.GiveUp); close(duplicateDone) }()
		} else {
			close(duplicateDone)
		}
		var result answer
		ended, closeSession := make(chan struct{}), func() {}
		if request.UseSessionAPI {
			base, _, _ := strings.Cut(url, "/dash/")
			result, ended, closeSession = openSession(ctx, client, base, token, request.GiveUp)
			if homeURL := result.homeURL; homeURL != "" {
				result, ended, closeSession = openSession(ctx, client, homeURL, token, request.GiveUp)
				url = homeURL + strings.TrimPrefix(url, base)
			}
		} else {
			result = fetchManifest(ctx, client, url, request.GiveUp)
		}
		<-duplicateDone
		pause := time.Duration(700+rng.IntN(1800)) * time.Millisecond
		switch {
		case result.err != nil:
			stats.Unreachable.Add(1)
		case result.status == 200:
			stats.Played.Add(1)
			presentation, err := dash.Parse(result.body)
			if err != nil {
				stats.Failed.Add(1)
				return
			}
			finished := playSegments(ctx, client, url, presentation, end, request, stats, ended)
			closeSession()
			if finished {
				return
			}
			stats.Broken.Add(1)
			token = request.Token() // what broke has run: a viewer that comes again wants a new session
		case result.status == 503:
			stats.Refused.Add(1)
			if result.retryAfter > 0 && rng.Float64() < retryAfterCompliance {
				pause = result.retryAfter + time.Duration(rng.IntN(300))*time.Millisecond
			}
			if request.IgnoreRetryAfter {
				pause = 100 * time.Millisecond
			}
		case result.status >= 500:
			stats.Failed.Add(1)
			if failures++; request.AtMostOnce && failures > 1 { // it asks once more with the same token and then gives up
				return
			}
		default:
			stats.Denied.Add(1)
			if request.AtMostOnce && (result.status == 410 || result.status == 409) {
				return
			}
			token = request.Token()
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// watch plays until the end; false where the session broke.
func playSegments(ctx context.Context, client *http.Client, url string, presentation *dash.Presentation, end time.Time, request Request, stats *Stats,
	ended chan struct{}) bool {
	rep, throughputKbps := len(presentation.Reps)-1, 0.0
	starved := false
	for i := 0; i < presentation.Segments(); i++ {
		due := time.Now().Add(time.Duration(presentation.SegmentMs) * time.Millisecond)
		if !time.Now().Before(end) || ctx.Err() != nil {
			return true
		}
		cmcd := fmt.Sprintf("v=2,ts=%d,sn=%d,br=%.0f", time.Now().UnixMilli(), i, presentation.Reps[rep].KBps*8)
		if throughputKbps > 0 {
			cmcd += fmt.Sprintf(",mtp=%.0f", throughputKbps)
		}
		if starved {
			cmcd += ",bs"
		}
		requestedAt := time.Now()
		maxKbps, err := fetchSegment(ctx, client, presentation.Media(rep, i)+"&CMCD="+neturl.QueryEscape(cmcd), 4*time.Duration(presentation.SegmentMs)*time.Millisecond)
		throughputKbps = presentation.Reps[rep].KBps * presentation.SegmentMs * 8 / float64(max(time.Since(requestedAt).Milliseconds(), 1))
		starved = false
		if err != nil {
			return errors.Is(err, context.Canceled) && ctx.Err() != nil
		}
		stats.Segments.Add(1)
		if time.Now().After(due) {
			stats.Stalled.Add(1)
			starved = true
		}
		if maxKbps > 0 { // kbit/s that the box suggests at most
			for rep > 0 && presentation.Reps[rep].KBps*8 > maxKbps+1 {
				rep--
			}
			for rep+1 < len(presentation.Reps) && presentation.Reps[rep+1].KBps*8 <= maxKbps+1 {
				rep++
			}
			if presentation.Reps[len(presentation.Reps)-1].KBps*8 < maxKbps-1 { // the rung went over this manifest: it reads it again
				if reread := fetchManifest(ctx, client, url, request.GiveUp); reread.status == 200 {
					if updated, err := dash.Parse(reread.body); err == nil && updated.Base == presentation.Base {
						presentation, rep = updated, len(updated.Reps)-1
					}
				}
			}
		}
		select {
		case <-ended: // told by the director
			return i == presentation.Segments()-1
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
		}
	}
	return true
}

func fetchSegment(ctx context.Context, client *http.Client, url string, limit time.Duration) (maxKbps float64, err error) {
	requestCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(requestCtx, "GET", url, nil)
	if err != nil {
		return 0, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	if resp.StatusCode != 200 {
		return 0, fmt.Errorf("player: segment: %s", resp.Status)
	}
	for _, item := range strings.Split(resp.Header.Get("CMSD-Dynamic"), ";") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(item), "mb="); ok {
			maxKbps, _ = strconv.ParseFloat(value, 64)
		}
	}
	return maxKbps, nil
}
