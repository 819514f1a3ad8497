package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"headmill/internal/config"
	"headmill/internal/loop"
	"headmill/internal/platform/proxy"
)

// proxyCmd is the command "node": a director on the platform of package proxy, where it runs as a proxy.
type proxyCmd struct {
	Name   string `env:"PROXY_NAME" help:"Must equal the configuration's name if given."`
	Listen string `env:"PROXY_LISTEN" help:"Must equal the configuration's listen if given."`
	Config string `env:"PROXY_CONFIG" required:"" help:"The platform's configuration of this director (JSON)."`
	Log    string `default:"info" help:"Lowest level that is logged: debug, info, warn, error."`
}

// Run serves on the platform until a signal has requested a stop and all sessions have ended.
func (c *proxyCmd) Run() error {
	signals := make(chan os.Signal, 16) // before all else, since a signal without a handler ends the process
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	cfg, err := proxy.Load(c.Config)
	if err != nil {
		return err
	}
	for _, field := range [][3]string{{"name", cfg.Name, c.Name}, {"listen", cfg.Listen, c.Listen}} {
		if field[2] != "" && field[1] != field[2] { // a director must not start under another one's identity
			return fmt.Errorf("%s: %s is %q, but PROXY_%s is %q", c.Config, field[0], field[1],
				strings.ToUpper(field[0]), field[2])
		}
	}
	runtime.GOMAXPROCS(max(int(cfg.Cores), 1)) // with less than a core, more threads only compete for it
	if cfg.MemoryMB > 0 {
		// The rest is left for code, stacks and what the kernel holds for the process.
		debug.SetMemoryLimit(int64(cfg.MemoryMB * 0.6 * (1 << 20)))
	}
	log, flush, err := openLog(config.Log{Level: c.Log})
	if err != nil {
		return err
	}
	defer flush()
	eventLoop, err := loop.New()
	if err != nil {
		return err
	}
	director, err := proxy.New(cfg, eventLoop, log)
	if err != nil {
		return err
	}
	director.Done = eventLoop.StopGracefully
	if err := director.Start(); err != nil {
		return err
	}
	log.Info("serving", "director", cfg.Name, "addr", director.Addr())
	reload := make(chan struct{}, 1) // a SIGHUP during a reload requests one more
	go func() {
		for range reload {
			reloaded, err := reloadConfig(c.Config)
			if err != nil {
				log.Error("configuration not read again; the old one stays", "error", err.Error())
				continue
			}
			director.Reload(reloaded)
		}
	}()
	go handleSignals(signals, director.Stop, reload)
	err = eventLoop.Run()
	log.Info("stopped", "stats", fmt.Sprintf("%+v", director.Stats()))
	return err
}

// handleSignals turns SIGHUP into a reload request and every other signal into a stop. It never waits for a reload,
// which may take a while, so that a reload cannot delay a stop.
func handleSignals(signals <-chan os.Signal, stop func(), reload chan<- struct{}) {
	for sig := range signals {
		if sig != syscall.SIGHUP {
			stop()
			continue
		}
		select {
		case reload <- struct{}{}:
		default: // a request is pending already and will read the file as it is then
		}
	}
}

// reloadConfig reads the configuration after a SIGHUP. It retries for two seconds, since a file that is still being
// written and a lack of file descriptors are passing conditions.
func reloadConfig(path string) (cfg *proxy.Config, err error) {
	for range 20 {
		if cfg, err = proxy.Load(path); err == nil {
			return cfg, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil, err
}
