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

type nodeCmd struct {
	Name   string `env:"PROXY_NAME" help:"Must agree with the configuration's name where it is given."`
	Listen string `env:"PROXY_LISTEN" help:"Must agree with the configuration's listen where it is given."`
	Config string `env:"PROXY_CONFIG" required:"" help:"The platform's configuration of this director (JSON)."`
	Log    string `default:"info" help:"Lowest level that is logged: debug, info, warn, error."`
}

// Run serves on the users' platform until it is told to stop and nothing plays any more.
func (c *nodeCmd) Run() error {
	sigs := make(chan os.Signal, 4) // first of all: until then a signal ends the process
	signal.Notify(sigs, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	cfg, err := proxy.Load(c.Config)
	if err != nil {
		return err
	}
	for _, f := range [][3]string{{"name", cfg.Name, c.Name}, {"listen", cfg.Listen, c.Listen}} {
		if f[2] != "" && f[1] != f[2] { // one director must not take another's place
			return fmt.Errorf("%s: %s is %q, PROXY_%s says %q", c.Config, f[0], f[1], strings.ToUpper(f[0]), f[2])
		}
	}
	runtime.GOMAXPROCS(max(int(cfg.Cores), 1)) // of a part of a core further threads only wait for it
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(cfg.MemoryMB * 0.6 * (1 << 20))) // the rest is code, stacks and the kernel's part
	}
	log, flush, err := openLog(config.Log{Level: c.Log})
	if err != nil {
		return err
	}
	defer flush()
	l, err := loop.New()
	if err != nil {
		return err
	}
	n, err := proxy.New(cfg, l, log)
	if err != nil {
		return err
	}
	n.Done = l.Stop
	if err := n.Start(); err != nil {
		return err
	}
	log.Info("serving", "director", cfg.Name, "addr", n.Addr())
	reload := make(chan struct{}, 1) // a second SIGHUP while the file is read means: once more
	go func() {
		for range reload {
			fresh, err := loadAgain(c.Config)
			if err != nil {
				log.Error("configuration not read again; the old one stays", "error", err.Error())
				continue
			}
			n.Reload(fresh)
		}
	}()
	go follow(sigs, n.Stop, reload)
	err = l.Run()
	log.Info("stopped", "stats", fmt.Sprintf("%+v", n.Stats()))
	return err
}

// follow carries signals out. A reload may take a while and must not hold up a stop.
func follow(sigs <-chan os.Signal, stop func(), reload chan<- struct{}) {
	for s := range sigs {
		if s != syscall.SIGHUP {
			stop()
			continue
		}
		select {
		case reload <- struct{}{}:
		default: // one is waiting already, and will read the file as it is then
		}
	}
}

// loadAgain reads the configuration after SIGHUP. A file that is still being written, or no descriptor to read it with,
// is over in a moment: it is tried for two seconds.
func loadAgain(path string) (cfg *proxy.Config, err error) {
	for range 20 {
		if cfg, err = proxy.Load(path); err == nil {
			return cfg, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil, err
}
