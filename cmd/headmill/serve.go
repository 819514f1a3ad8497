package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"headmill/internal/config"
	"headmill/internal/director"
	"headmill/internal/history"
	"headmill/internal/logfile"
	"headmill/internal/loop"
	"headmill/internal/standin/medianode"
	"headmill/internal/token"
	"headmill/internal/trace"
)

type serveCmd struct {
	File          string `arg:"" help:"Settings (TOML)."`
	ListenFD      int    `help:"Take over this listening socket instead of opening director.listen." name:"listen-fd"`
	FollowStdin   bool   `help:"Stop when standard input ends."`
	NotFirstStart bool   `name:"again" help:"Ignore director.first_start: an earlier run of this director has accepted tokens."`
}

// loadKeys reads a key set file.
func loadKeys(path string) ([]token.Key, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("key set: %w", err)
	}
	return token.ParseKeys(text)
}

// openLog opens the log: the file, or standard error if none is set. The returned function writes out the queued
// lines; the file stays open.
func openLog(settings config.Log) (*slog.Logger, func(), error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(settings.Level)); err != nil {
		return nil, nil, fmt.Errorf("log.level: %q is not debug, info, warn or error", settings.Level)
	}
	out := io.WriteCloser(os.Stderr)
	if settings.File != "" {
		f, err := os.OpenFile(settings.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, nil, fmt.Errorf("log.file: %w", err)
		}
		out = f
	}
	writer := logfile.New(out, 8192) // queue of 8192 lines
	return slog.New(slog.NewJSONHandler(writer, &slog.HandlerOptions{Level: level})), writer.Close, nil
}

// Run serves until a signal, or with --follow-stdin the end of standard input, has stopped the director. SIGHUP reloads
// the keys, limits and tenants.
func (c *serveCmd) Run() error {
	cfg, err := config.Load(c.File)
	if err != nil {
		return err
	}
	if c.NotFirstStart {
		cfg.Director.FirstStart = false
	}
	keys, err := loadKeys(cfg.Tokens.Keys)
	if err != nil {
		return err
	}
	log, flush, err := openLog(cfg.Log)
	if err != nil {
		return err
	}
	defer flush()
	eventLoop, err := loop.New()
	if err != nil {
		return err
	}
	d, err := director.New(cfg, eventLoop, keys, log)
	if err != nil {
		return err
	}
	d.ListenFD, d.Done = c.ListenFD, eventLoop.StopGracefully
	if settings := cfg.History; settings.Dir != "" {
		d.History, err = history.Open(history.Config{Dir: settings.Dir, Director: cfg.Director.Name,
			SegmentMs: settings.SegmentS * 1000, MaxBytes: settings.MaxBytes, MaxAgeMs: settings.MaxAgeS * 1000}, log)
		if err != nil {
			return err
		}
		defer d.History.Close()
	}
	if cfg.Trace.File != "" {
		if d.Trace, err = trace.Open(cfg.Trace.File, cfg.Director.Name, cfg.Trace.SampleRatio); err != nil {
			return err
		}
		defer d.Trace.Close()
	}
	if err := d.Start(); err != nil {
		return err
	}
	log.Info("serving", "director", cfg.Director.Name, "addr", d.Addr(), "pid", os.Getpid())
	operator := ""
	if cfg.Director.Operator != "" {
		addr, stop, err := d.ServeOperator(cfg.Director.Operator)
		if err != nil {
			return err
		}
		defer stop()
		operator = addr
	}
	metrics := ""
	if cfg.Director.Metrics != "" {
		addr, stop, err := d.ServeMetrics(cfg.Director.Metrics)
		if err != nil {
			return err
		}
		defer stop()
		metrics = addr
	}
	ready, _ := json.Marshal(map[string]string{"addr": d.Addr(), "agent": d.AgentAddr(), "operator": operator,
		"metrics": metrics, "director": cfg.Director.Name})
	fmt.Println(string(ready))
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		for sig := range signals {
			if sig == syscall.SIGHUP { // keys, limits and tenants change without a restart
				keys, err := loadKeys(cfg.Tokens.Keys)
				if err != nil {
					log.Error("reload of the key set failed; the old one stays in use", "error", err.Error())
					continue
				}
				reloaded, err := config.Load(c.File)
				if err != nil {
					log.Error("reload of the settings failed; the old ones stay in use", "error", err.Error())
					reloaded = cfg
				}
				eventLoop.Post(func() {
					d.SetKeys(keys)
					d.Reload(reloaded)
				})
				continue
			}
			d.Stop()
		}
	}()
	if c.FollowStdin {
		go func() {
			io.Copy(io.Discard, os.Stdin)
			d.Stop()
			d.Stop() // the second request ends sessions without waiting for them
		}()
	}
	err = eventLoop.Run()
	stats := d.Stats()
	log.Info("stopped", "asked", stats.Requests, "played", stats.Played, "refused", stats.Refused, "failed", stats.Failed)
	return err
}

type checkCmd struct {
	File string `arg:"" help:"Settings (TOML)."`
}

// Run checks a settings file and the key set that it names.
func (c *checkCmd) Run() error {
	cfg, err := config.Load(c.File)
	if err != nil {
		return err
	}
	keys, err := loadKeys(cfg.Tokens.Keys)
	if err != nil {
		return fmt.Errorf("%s: tokens.keys: %w", c.File, err)
	}
	fmt.Printf("%s: fine: director %s, %d classes, %d titles, %d rungs, %d keys\n", c.File, cfg.Director.Name,
		len(cfg.Classes), len(cfg.Titles), len(cfg.Ladder.RateKB), len(keys))
	return nil
}

type mediaNodeCmd struct {
	File string `arg:"" help:"Settings of the stand-in media node (JSON)."`
}

// Run serves as a stand-in media node until standard input ends or a SIGTERM. It exits with status 9 when set-ups come
// faster than a cold node withstands.
func (c *mediaNodeCmd) Run() error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	var cfg medianode.Config
	if err := json.Unmarshal(text, &cfg); err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	node, err := medianode.Start(cfg)
	if err != nil {
		return err
	}
	node.OnCrash = func() {
		fmt.Fprintln(os.Stderr, "media node failed: too many set-ups while cold")
		os.Exit(9)
	}
	ready, _ := json.Marshal(map[string]string{"addr": node.Addr()})
	fmt.Println(string(ready))
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	go func() { <-signals; os.Exit(0) }()
	if _, err := io.Copy(io.Discard, os.Stdin); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}
