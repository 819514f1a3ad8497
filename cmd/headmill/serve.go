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
	File        string `arg:"" help:"Settings (TOML)."`
	ListenFD    int    `help:"Take over this listening socket instead of opening director.listen." name:"listen-fd"`
	FollowStdin bool   `help:"Stop when standard input ends."`
	Again       bool   `help:"An earlier run took tokens: director.first_start does not hold."`
}

func loadKeys(path string) ([]token.Key, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("key set: %w", err)
	}
	return token.ParseKeys(text)
}

func openLog(l config.Log) (*slog.Logger, func(), error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(l.Level)); err != nil {
		return nil, nil, fmt.Errorf("log.level: %q is not debug, info, warn or error", l.Level)
	}
	out := io.WriteCloser(os.Stderr)
	if l.File != "" {
		f, err := os.OpenFile(l.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, nil, fmt.Errorf("log.file: %w", err)
		}
		out = f
	}
	w := logfile.New(out, 8192)
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})), w.Close, nil
}

// Run serves until a signal has stopped the director.
func (c *serveCmd) Run() error {
	cfg, err := config.Load(c.File)
	if err != nil {
		return err
	}
	if c.Again {
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
	l, err := loop.New()
	if err != nil {
		return err
	}
	d, err := director.New(cfg, l, keys, log)
	if err != nil {
		return err
	}
	d.ListenFD, d.Done = c.ListenFD, l.Stop
	if h := cfg.History; h.Dir != "" {
		d.History, err = history.Open(history.Config{Dir: h.Dir, Director: cfg.Director.Name, SegmentMs: h.SegmentS * 1000,
			MaxBytes: h.MaxBytes, MaxAgeMs: h.MaxAgeS * 1000}, log)
		if err != nil {
			return err
		}
		defer d.History.Close()
	}
	if cfg.Trace.File != "" {
		if d.Trace, err = trace.Open(cfg.Trace.File, cfg.Director.Name, cfg.Trace.Part); err != nil {
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
	ready, _ := json.Marshal(map[string]string{"addr": d.Addr(), "agent": d.AgentAddr(), "operator": operator, "metrics": metrics, "director": cfg.Director.Name})
	fmt.Println(string(ready))
	sigs := make(chan os.Signal, 4)
	signal.Notify(sigs, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		for s := range sigs {
			if s == syscall.SIGHUP { // keys, limits and brands change without a restart
				keys, err := loadKeys(cfg.Tokens.Keys)
				if err != nil {
					log.Error("key set not read again; the old one stays", "error", err.Error())
					continue
				}
				fresh, err := config.Load(c.File)
				if err != nil {
					log.Error("settings not read again; the old ones stay", "error", err.Error())
					fresh = cfg
				}
				l.Post(func() {
					d.SetKeys(keys)
					d.Reload(fresh)
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
			d.Stop()
		}()
	}
	err = l.Run()
	st := d.Stats()
	log.Info("stopped", "asked", st.Asked, "played", st.Played, "refused", st.Refused, "failed", st.Failed)
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

type boxCmd struct {
	File string `arg:"" help:"Box settings (JSON)."`
}

// Run serves as a box until standard input ends; it exits with 9 when it is pushed over.
func (c *boxCmd) Run() error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	var cfg medianode.Config
	if err := json.Unmarshal(text, &cfg); err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	b, err := medianode.Start(cfg)
	if err != nil {
		return err
	}
	b.Fell = func() {
		fmt.Fprintln(os.Stderr, "box fell over: pushed while cold")
		os.Exit(9)
	}
	ready, _ := json.Marshal(map[string]string{"addr": b.Addr()})
	fmt.Println(string(ready))
	sigs := make(chan os.Signal, 1)
	signal.Notify(sigs, syscall.SIGTERM)
	go func() { <-sigs; os.Exit(0) }()
	if _, err := io.Copy(io.Discard, os.Stdin); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}
