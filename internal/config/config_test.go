package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"headmill"
)

const validSettings = `[director]
name = "d1"
listen = "127.0.0.1:0"
directors = ["d0", "d1"]
urls = ["http://127.0.0.1:1", "http://127.0.0.1:2"]

[list]
addr = "127.0.0.1:9"

[tokens]
keys = "keys.json"

[ladder]
rate_kb = [10, 20]
worth = [0.5, 1]

[fleet]
cells = 4
racks = 2
places = [30]

[[class]]
name = "paid"
aim_ms = 1000
give_up_ms = 3000
repeat = "once"
value = 3
seats = 5

[[class]]
name = "free"
aim_ms = 800
give_up_ms = 3000
repeat = "repeatable"
value = 1
top = 0

[[title]]
name = "t"
class = "paid"
home = 3
copies = 2
duration_ms = 60000
`

func TestValidSettings(t *testing.T) {
	s, err := Parse("f.toml", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	m := s.ModuleConfig()
	if s.Self() != 1 || m.FrontIndex != 1 || m.Fronts != 2 || m.Classes[0].Semantics != headmill.AtMostOnce ||
		m.Classes[0].MaxRung != 1 || m.Classes[1].MaxRung != 0 || m.Classes[0].MaxPerTitle != 5 ||
		s.ClassIndex("free") != 1 || s.Times.SetupDrainMs != 6000 {
		t.Fatalf("%+v\n%+v", s, m)
	}
	dir := t.TempDir()
	path := filepath.Join(dir, "d.toml")
	if err := os.WriteFile(path, []byte(validSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	if s, err = Load(path); err != nil || s.Tokens.Keys != filepath.Join(dir, "keys.json") {
		t.Fatalf("%v %v", s, err)
	}
	if _, err := Load(path + "x"); err == nil {
		t.Error("Load accepted a missing file")
	}
}

// Every error names file, line and key.
func TestErrorsNameFileLineAndKey(t *testing.T) {
	for name, c := range map[string]struct{ old, new, want string }{
		"syntax":         {"cells = 4", "cells = ", "f.toml:18: "},
		"type":           {"cells = 4", `cells = "4"`, "f.toml:18: "},
		"unknown key":    {"cells = 4", "cells = 4\ncels = 4", "f.toml:19: fleet.cels: no such key"},
		"no name":        {"name = \"d1\"", "", "f.toml:1: director.name: is needed"},
		"not among them": {`directors = ["d0", "d1"]`, `directors = ["d0", "d2"]`, "f.toml:4: director.directors: does not hold"},
		"twice": {`directors = ["d0", "d1"]`, `directors = ["d1", "d1"]`,
			`f.toml:4: director.directors: "d1" stands there twice`},
		"urls":         {`, "http://127.0.0.1:2"`, "", "f.toml:5: director.urls: has 1 entries for 2"},
		"url":          {`"http://127.0.0.1:2"`, `"127.0.0.1:2"`, `f.toml:5: director.urls: "127.0.0.1:2" is not`},
		"not loopback": {"127.0.0.1:0", "10.0.0.1:0", "f.toml:3: director.listen: 10.0.0.1:0 is not on 127"},
		"no address":   {"127.0.0.1:9", "list", `f.toml:8: list.addr: "list" is not IPv4:PORT`},
		"no port":      {"127.0.0.1:9", "127.0.0.1:0", "f.toml:8: list.addr: 127.0.0.1:0 needs a port"},
		"no keys":      {`keys = "keys.json"`, "", "f.toml:10: tokens.keys: is needed"},
		"ladder falls": {"[10, 20]", "[20, 10]", "f.toml:14: ladder.rate_kb: rung 1 has 10"},
		"worth":        {"[0.5, 1]", "[1]", "f.toml:15: ladder.worth: has 1 entries for 2"},
		"racks":        {"racks = 2", "racks = 0", "f.toml:19: fleet.racks: 0 must be"},
		"repeat":       {`"once"`, `"never"`, `f.toml:26: class[0].repeat: "never" must be`},
		"floor":        {"seats = 5", "floor = 2", "f.toml:28: class[0].floor: floor 2 and top 1"},
		"value":        {"value = 1", "value = -1", "f.toml:35: class[1].value: -1 must be"},
		"missing aim":  {"aim_ms = 800\n", "", "f.toml:30: class[1].aim_ms: 0 must be"},
		"give up": {"give_up_ms = 3000\nrepeat = \"once\"", "give_up_ms = 9000\nrepeat = \"once\"",
			"times.finish_ms: 6000 is under"},
		"class of title":  {`class = "paid"`, `class = "gold"`, `f.toml:40: title[0].class: there is no [[class]] named "gold"`},
		"home":            {"home = 3", "home = 4", "f.toml:41: title[0].home: cell 4 of 4"},
		"copies":          {"copies = 2", "copies = 0", "f.toml:42: title[0].copies: 0 must be"},
		"title's name":    {`name = "t"`, `name = "a/b"`, `f.toml:39: title[0].name: "a/b" must be`},
		"name of a class": {`name = "free"`, `name = "paid"`, `f.toml:31: class[1].name: "paid" must be`},
	} {
		if !strings.Contains(validSettings, c.old) {
			t.Fatalf("%s: %q is not in the text", name, c.old)
		}
		_, err := Parse("f.toml", []byte(strings.Replace(validSettings, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v\nwant %q", name, err, c.want)
		}
	}
}

// All errors are reported at once, in the order of the file.
func TestAllErrorsReportedInFileOrder(t *testing.T) {
	text := strings.NewReplacer("racks = 2", "racks = 0", "copies = 2", "copies = 9",
		"value = 3", "value = -3").Replace(validSettings)
	_, err := Parse("f.toml", []byte(text))
	if err == nil {
		t.Fatal("invalid settings were accepted")
	}
	lines := strings.Split(err.Error(), "\n")
	if len(lines) != 3 || !strings.Contains(lines[0], "fleet.racks") || !strings.Contains(lines[2], "title[0].copies") {
		t.Fatalf("%q", lines)
	}
}
