// Command sites makes the site folders of other customers for the bench: a site file of the users' kit, changed at the
// keys that an override file names, with the files that it needs beside it. The results go to deploy/sites/out, which
// git ignores, since nothing of the kit enters the repository.
//
//	go run ./deploy/sites [-kit ../given/kit]
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// override is one file of deploy/sites: the site that it starts from, below the kit, and what it sets there. A path is
// made of keys and places in lists, as in "class.0.name".
type override struct {
	Base string         `toml:"base"`
	Set  map[string]any `toml:"set"`
}

// beside are the files that the bench reads next to a site's.
var beside = []string{"real.json", "wire.json", "unlock.txt"}

func main() {
	kit := flag.String("kit", filepath.Join("..", "given", "kit"), "the users' kit")
	flag.Parse()
	if err := run(*kit, filepath.Join("deploy", "sites")); err != nil {
		fmt.Fprintln(os.Stderr, "sites:", err)
		os.Exit(1)
	}
}

// run makes one folder for each override file of dir.
func run(kit, dir string) error {
	if _, err := os.Stat(kit); err != nil {
		return fmt.Errorf("the users' kit is not at %s; name its folder with -kit", kit)
	}
	files, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	if err != nil || len(files) == 0 {
		return fmt.Errorf("no override file in %s: run this from the repository's root", dir)
	}
	for _, f := range files {
		if err := build(kit, f, filepath.Join(dir, "out")); err != nil {
			return fmt.Errorf("%s: %w", f, err)
		}
	}
	return nil
}

func build(kit, file, out string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var o override
	if err := toml.Unmarshal(text, &o); err != nil {
		return err
	}
	base := filepath.Join(kit, filepath.FromSlash(o.Base))
	if text, err = os.ReadFile(base); err != nil {
		return fmt.Errorf("base: %w", err)
	}
	var site map[string]any
	if err := toml.Unmarshal(text, &site); err != nil {
		return fmt.Errorf("%s: %w", base, err)
	}
	for path, value := range o.Set {
		if err := set(site, strings.Split(path, "."), value); err != nil {
			return fmt.Errorf("%q: %w", path, err)
		}
	}
	name := strings.TrimSuffix(filepath.Base(file), ".toml")
	site["name"] = name
	if text, err = toml.Marshal(site); err != nil {
		return err
	}
	to := filepath.Join(out, name)
	if err := os.MkdirAll(to, 0o755); err != nil {
		return err
	}
	for _, f := range beside {
		b, err := os.ReadFile(filepath.Join(filepath.Dir(base), f))
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(to, f), b, 0o644); err != nil {
			return err
		}
	}
	to = filepath.Join(to, name+".toml")
	fmt.Println(to)
	return os.WriteFile(to, text, 0o644)
}

// set changes one value that is there already: a key that the site does not have is a slip, and so is a value of
// another kind.
func set(at any, path []string, value any) error {
	for i, key := range path {
		last := i == len(path)-1
		switch v := at.(type) {
		case map[string]any:
			old, ok := v[key]
			if !ok {
				return fmt.Errorf("the site has no key %q", strings.Join(path[:i+1], "."))
			}
			if last {
				if number(old) != number(value) {
					return fmt.Errorf("is %v there, which %v can't take the place of", old, value)
				}
				v[key] = value
			}
			at = old
		case []any:
			n, err := strconv.Atoi(key)
			if err != nil || n < 0 || n >= len(v) {
				return fmt.Errorf("%q is no place in a list of %d", strings.Join(path[:i+1], "."), len(v))
			}
			if last {
				v[n] = value
			}
			at = v[n]
		default:
			return fmt.Errorf("%q is a plain value", strings.Join(path[:i], "."))
		}
	}
	return nil
}

// number tells figures, and ranges of them, from words and the rest.
func number(v any) bool {
	switch v := v.(type) {
	case int64, float64:
		return true
	case []any:
		return len(v) > 0 && number(v[0])
	}
	return false
}
