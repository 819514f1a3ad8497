// Command sites generates the simulator's site folders of additional simulated customers. For each override file of
// deploy/sites it reads a site file of the kit (the files that came with the simulator), sets the keys that the override
// file names and writes the result, with the files that the simulator reads next to a site file, to a folder of
// deploy/sites/out. Git ignores that folder, since no part of the kit may enter the repository.
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

// override is the content of one override file: the path of the base site file below the kit, and the values to set in
// it by their paths. A path consists of keys and list indexes, as in "class.0.name".
type override struct {
	Base string         `toml:"base"`
	Set  map[string]any `toml:"set"`
}

// companionFiles are the files that the simulator reads next to a site file.
var companionFiles = []string{"real.json", "wire.json", "unlock.txt"}

func main() {
	kit := flag.String("kit", filepath.Join("..", "given", "kit"), "the users' kit")
	flag.Parse()
	if err := run(*kit, filepath.Join("deploy", "sites")); err != nil {
		fmt.Fprintln(os.Stderr, "sites:", err)
		os.Exit(1)
	}
}

// run builds one site folder for each override file in dir.
func run(kit, dir string) error {
	if _, err := os.Stat(kit); err != nil {
		return fmt.Errorf("the simulator's kit is not at %s; give its folder with -kit", kit)
	}
	files, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	if err != nil || len(files) == 0 {
		return fmt.Errorf("no override file in %s: run this command from the repository's root", dir)
	}
	for _, file := range files {
		if err := buildSite(kit, file, filepath.Join(dir, "out")); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
	}
	return nil
}

// buildSite writes the site folder of one override file below out and prints the path of its site file. The site and
// its folder are named after the override file.
func buildSite(kit, file, out string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var changes override
	if err := toml.Unmarshal(text, &changes); err != nil {
		return err
	}
	basePath := filepath.Join(kit, filepath.FromSlash(changes.Base))
	if text, err = os.ReadFile(basePath); err != nil {
		return fmt.Errorf("base: %w", err)
	}
	var site map[string]any
	if err := toml.Unmarshal(text, &site); err != nil {
		return fmt.Errorf("%s: %w", basePath, err)
	}
	for path, value := range changes.Set {
		if err := setValue(site, strings.Split(path, "."), value); err != nil {
			return fmt.Errorf("%q: %w", path, err)
		}
	}
	name := strings.TrimSuffix(filepath.Base(file), ".toml")
	site["name"] = name
	if text, err = toml.Marshal(site); err != nil {
		return err
	}
	outPath := filepath.Join(out, name)
	if err := os.MkdirAll(outPath, 0o755); err != nil {
		return err
	}
	for _, companion := range companionFiles {
		content, err := os.ReadFile(filepath.Join(filepath.Dir(basePath), companion))
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(outPath, companion), content, 0o644); err != nil {
			return err
		}
	}
	outPath = filepath.Join(outPath, name+".toml")
	fmt.Println(outPath)
	return os.WriteFile(outPath, text, 0o644)
}

// setValue replaces an existing value. A key that the site does not have is taken for a mistake, and so is, in a table, a
// new value where only one of the two is numeric (see isNumeric). The elements of lists are replaced unchecked.
func setValue(target any, path []string, value any) error {
	for i, key := range path {
		last := i == len(path)-1
		switch container := target.(type) {
		case map[string]any:
			old, ok := container[key]
			if !ok {
				return fmt.Errorf("the site has no key %q", strings.Join(path[:i+1], "."))
			}
			if last {
				if isNumeric(old) != isNumeric(value) {
					return fmt.Errorf("%v cannot be replaced by %v: only one of them is numeric", old, value)
				}
				container[key] = value
			}
			target = old
		case []any:
			index, err := strconv.Atoi(key)
			if err != nil || index < 0 || index >= len(container) {
				return fmt.Errorf("%q is not an index in a list of %d", strings.Join(path[:i+1], "."), len(container))
			}
			if last {
				container[index] = value
			}
			target = container[index]
		default:
			return fmt.Errorf("%q is a plain value", strings.Join(path[:i], "."))
		}
	}
	return nil
}

// isNumeric reports whether a value is a number or a list that starts with one, which stands for a range.
func isNumeric(v any) bool {
	switch v := v.(type) {
	case int64, float64:
		return true
	case []any:
		return len(v) > 0 && isNumeric(v[0])
	}
	return false
}
