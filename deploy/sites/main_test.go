package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// kit lays out a small stand-in of the users' kit and an override file, and returns both folders.
func kit(t *testing.T, set string) (from, dir string) {
	t.Helper()
	from, dir = t.TempDir(), t.TempDir()
	files := map[string]string{filepath.Join(from, "a.toml"): "name = \"a\"\nn = 3\nranged = [1, 2.5]\n[[class]]\nname = \"x\"\n",
		filepath.Join(dir, "b.toml"): "base = \"a.toml\"\n[set]\n" + set}
	for _, f := range beside {
		files[filepath.Join(from, f)] = f
	}
	for name, text := range files {
		if err := os.WriteFile(name, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	return from, dir
}

func TestFolderIsMade(t *testing.T) {
	from, dir := kit(t, "n = 4\nranged = 7\n\"class.0.name\" = \"y\"")
	if err := run(from, dir); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(dir, "out", "b", "b.toml"))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"name = 'b'", "n = 4", "ranged = 7", "name = 'y'"} {
		if !strings.Contains(string(text), want) {
			t.Errorf("no %q in:\n%s", want, text)
		}
	}
	for _, f := range beside {
		if b, err := os.ReadFile(filepath.Join(dir, "out", "b", f)); err != nil || string(b) != f {
			t.Errorf("%s: %q, %v", f, b, err)
		}
	}
}

func TestSlipsAreNamed(t *testing.T) {
	for set, want := range map[string]string{"m = 1": `no key "m"`, "\"class.0.nam\" = \"y\"": `no key "class.0.nam"`,
		"\"class.1.name\" = \"y\"": "no place in a list of 1", "\"n.x\" = 1": `"n" is a plain value`, "n = \"four\"": "can't take the place"} {
		from, dir := kit(t, set)
		if err := run(from, dir); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", set, err, want)
		}
	}
	_, dir := kit(t, "")
	if err := run(filepath.Join(dir, "none"), dir); err == nil || !strings.Contains(err.Error(), "-kit") {
		t.Errorf("without a kit: %v", err)
	}
	if err := run(dir, t.TempDir()); err == nil || !strings.Contains(err.Error(), "no override file") {
		t.Errorf("without overrides: %v", err)
	}
}

// The overrides that the repository has can be read and name their bases.
func TestOverridesOfTheRepository(t *testing.T) {
	files, err := filepath.Glob("*.toml")
	if err != nil || len(files) < 2 {
		t.Fatalf("%v, %v", files, err)
	}
	for _, f := range files {
		if err := build(t.TempDir(), f, t.TempDir()); err == nil || !strings.Contains(err.Error(), "base: open") {
			t.Errorf("%s: %v, want that its base is not there", f, err)
		}
	}
}
