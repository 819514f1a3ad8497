package headmill

import (
	"bufio"
	"math"
	"os"
	"regexp"
	"strings"
	"testing"
)

func TestValidateErrorNamesTheField(t *testing.T) {
	for want, invalidate := range map[string]func(*Config){
		"Classes is empty": func(c *Config) { c.Classes = nil },
		"RungWorth":        func(c *Config) { c.RungWorth = c.RungWorth[:1] },
		"RateKB[1]":        func(c *Config) { c.RateKB[1] = math.NaN() },
		"RungWorth[0]":     func(c *Config) { c.RungWorth[0] = -1 },
		"Classes[0]":       func(c *Config) { c.Classes[0].ValuePerSecond = math.Inf(1) },
		"MinRung 7":        func(c *Config) { c.Classes[1].MinRung = 7 },
		"UplinkKB":         func(c *Config) { c.UplinkKB = -3 },
		"FrontIndex is 5":  func(c *Config) { c.FrontIndex = 5 },
		"StreamsByKind[0]": func(c *Config) { c.StreamsByKind[0] = -1 },
		"MaxAttempts 0":    func(c *Config) { c.MaxAttempts = 0 },
	} {
		cfg := testConfig()
		invalidate(&cfg)
		if _, err := New(cfg, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v does not name %q", err, want)
		}
	}
}

// The policy files named in deploy/balancer.toml exist, hold code and keep to lines of 110 characters.
func TestPolicyFilesKeepTheLineLength(t *testing.T) {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	fileList := regexp.MustCompile(`(?m)^policy\s*=\s*\[(.*)\]`).FindSubmatch(deploy)
	if fileList == nil {
		t.Fatal("deploy/balancer.toml names no policy files")
	}
	lines := 0
	for _, name := range regexp.MustCompile(`"([^"]+)"`).FindAllSubmatch(fileList[1], -1) {
		file, err := os.Open(string(name[1]))
		if err != nil {
			t.Fatal(err)
		}
		defer file.Close()
		scanner := bufio.NewScanner(file)
		for line := 1; scanner.Scan(); line++ {
			text := strings.ReplaceAll(scanner.Text(), "\t", "    ")
			if strings.TrimSpace(text) != "" {
				lines++
			}
			if len([]rune(text)) > 110 {
				t.Errorf("%s:%d is %d characters long", name[1], line, len([]rune(text)))
			}
		}
		if err := scanner.Err(); err != nil {
			t.Fatal(err)
		}
	}
	if lines == 0 {
		t.Error("the policy files of deploy/balancer.toml are empty")
	}
}
