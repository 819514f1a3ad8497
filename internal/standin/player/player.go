// Package player is a stand-in (test double) of a viewer with a DASH player. It
// requests a manifest with its session token, plays the segments in real time,
// follows the maximum bitrate that the media node suggests (CMSD, CTA-5006, key
// mb) and retries as viewers do. It reads manifests as a plain DASH player
// does, and can use the session API instead of requesting the manifest.
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

// Request is what one viewer wants to see and how it behaves.
type Request struct {
	Title, Class string
	AtMostOnce   bool          // the title's class allows one set-up per token: the viewer retries a failure once
	GiveUpAfter  time.Duration // longest wait for a manifest
	WatchTime    time.Duration // how long the viewer wants to watch, retries included
	Seed         uint64
	// Token returns a newly signed session token for a new session of this viewer.
	Token func() string
	// Director returns the base URL of the director for the next request.
	Director         func(rng *rand.Rand) string
	Duplicate        bool // the first request is sent twice at the same moment
	UseSessionAPI    bool // the viewer uses the session API and keeps the connection open
	IgnoreRetryAfter bool // after a refusal the viewer retries after 100 ms, whatever Retry-After says
}

// Stats counts the events of all viewers that share it.
type Stats struct {
	Requests       atomic.Int64 // requests for a session, by either API; duplicates not counted
	Played         atomic.Int64 // answered with a manifest
	Refused        atomic.Int64 // answered with 503
	Failed         atomic.Int64 // answered with another 5xx, or with an invalid manifest
	BrokenSessions atomic.Int64 // sessions that ended before the viewer was done
	Denied         atomic.Int64 // answered with any other status
	Unreachable    atomic.Int64 // not answered
	Segments       atomic.Int64 // segments received
	LateSegments   atomic.Int64 // segments that took longer to receive than they last
}

// retryAfterCompliance is the share of refused viewers that wait for the time in Retry-After. The others retry after
// the usual pause of 0.7 to 2.5 s.
const retryAfterCompliance = 0.85

// NewClient returns an HTTP client for all viewers. It opens a connection for each request, so that viewers share none.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 0, DisableKeepAlives: true,
		DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext}}
}

// answer is a director's answer to a request for a session.
type answer struct {
	status     int
	body       []byte
	retryAfter time.Duration
	homeURL    string // base URL of the director that is responsible for the token; session API only
	err        error
}

// fetchManifest requests a manifest. It waits 200 ms longer for the answer than the viewer would, so an answer that is
// late by less is still received.
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

// Watch simulates one viewer until its WatchTime is over, it is done or gives up, or ctx ends.
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
			go func() { fetchManifest(ctx, client, url, request.GiveUpAfter); close(duplicateDone) }()
		} else {
			close(duplicateDone)
		}
		var result answer
		ended, closeSession := make(chan struct{}), func() {}
		if request.UseSessionAPI {
			base, _, _ := strings.Cut(url, "/dash/")
			result, ended, closeSession = openSession(ctx, client, base, token, request.GiveUpAfter)
			if homeURL := result.homeURL; homeURL != "" {
				result, ended, closeSession = openSession(ctx, client, homeURL, token, request.GiveUpAfter)
				url = homeURL + strings.TrimPrefix(url, base)
			}
		} else {
			result = fetchManifest(ctx, client, url, request.GiveUpAfter)
		}
		<-duplicateDone
		// Viewers retry after 0.7 to 2.5 s unless they follow Retry-After.
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
			stats.BrokenSessions.Add(1)
			// The broken session has run, so a retry needs a token for a new session.
			token = request.Token()
		case result.status == 503:
			stats.Refused.Add(1)
			if result.retryAfter > 0 && rng.Float64() < retryAfterCompliance {
				// Up to 300 ms are added at random.
				pause = result.retryAfter + time.Duration(rng.IntN(300))*time.Millisecond
			}
			if request.IgnoreRetryAfter {
				pause = 100 * time.Millisecond
			}
		case result.status >= 500:
			stats.Failed.Add(1)
			// A viewer of an at-most-once title retries once with the same token and then gives up.
			if failures++; request.AtMostOnce && failures > 1 {
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

// playSegments plays a session and reports CMCD with each segment request. It
// returns true when the viewer is done and false when the session broke: a
// segment failed, or the director ended the session early.
func playSegments(ctx context.Context, client *http.Client, url string, presentation *dash.Presentation,
	end time.Time, request Request, stats *Stats, ended chan struct{}) bool {
	rep, throughputKbps := len(presentation.Representations)-1, 0.0
	starved := false
	for i := 0; i < presentation.Segments(); i++ {
		due := time.Now().Add(time.Duration(presentation.SegmentMs) * time.Millisecond)
		if !time.Now().Before(end) || ctx.Err() != nil {
			return true
		}
		cmcd := fmt.Sprintf("v=2,ts=%d,sn=%d,br=%.0f", time.Now().UnixMilli(), i, presentation.Representations[rep].KBps*8)
		if throughputKbps > 0 {
			cmcd += fmt.Sprintf(",mtp=%.0f", throughputKbps)
		}
		if starved {
			cmcd += ",bs"
		}
		requestedAt := time.Now()
		// A segment fails if it takes longer than four segment durations.
		maxKbps, err := fetchSegment(ctx, client, presentation.Media(rep, i)+"&CMCD="+neturl.QueryEscape(cmcd),
			4*time.Duration(presentation.SegmentMs)*time.Millisecond)
		throughputKbps = presentation.Representations[rep].KBps * presentation.SegmentMs * 8 /
			float64(max(time.Since(requestedAt).Milliseconds(), 1))
		starved = false
		if err != nil {
			return errors.Is(err, context.Canceled) && ctx.Err() != nil
		}
		stats.Segments.Add(1)
		if time.Now().After(due) {
			stats.LateSegments.Add(1)
			starved = true
		}
		// Rates are compared with a tolerance of 1 kbit/s for rounding.
		if maxKbps > 0 {
			for rep > 0 && presentation.Representations[rep].KBps*8 > maxKbps+1 {
				rep--
			}
			for rep+1 < len(presentation.Representations) && presentation.Representations[rep+1].KBps*8 <= maxKbps+1 {
				rep++
			}
			// The suggested rate is above the manifest's highest representation: the manifest is read again.
			if presentation.Representations[len(presentation.Representations)-1].KBps*8 < maxKbps-1 {
				if reread := fetchManifest(ctx, client, url, request.GiveUpAfter); reread.status == 200 {
					if updated, err := dash.Parse(reread.body); err == nil && updated.BaseURL == presentation.BaseURL {
						presentation, rep = updated, len(updated.Representations)-1
					}
				}
			}
		}
		select {
		case <-ended: // the director has ended the session
			return i == presentation.Segments()-1
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
		}
	}
	return true
}

// fetchSegment downloads a segment and returns the bitrate in kbit/s that the node suggests as the maximum; 0: none.
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
		return 0, fmt.Errorf("player: segment request answered with %s", resp.Status)
	}
	for _, item := range strings.Split(resp.Header.Get("CMSD-Dynamic"), ";") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(item), "mb="); ok {
			maxKbps, _ = strconv.ParseFloat(value, 64)
		}
	}
	return maxKbps, nil
}
