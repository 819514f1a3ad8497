package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// writeKit writes a small stand-in of the simulator's kit and an override file with the given settings, each to a folder.
func writeKit(t *testing.T, set string) (kit, dir string) {
	t.Helper()
	kit, dir = t.TempDir(), t.TempDir()
	files := map[string]string{
		filepath.Join(kit, "a.toml"): "name = \"a\"\nn = 3\nranged = [1, 2.5]\n[[class]]\nname = \"x\"\n",
		filepath.Join(dir, "b.toml"): "base = \"a.toml\"\n[set]\n" + set}
	for _, companion := range companionFiles {
		files[filepath.Join(kit, companion)] = companion
	}
	for name, text := range files {
		if err := os.WriteFile(name, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	return kit, dir
}

func TestSiteFolderIsBuilt(t *testing.T) {
	kit, dir := writeKit(t, "n = 4\nranged = 7\n\"class.0.name\" = \"y\"")
	if err := run(kit, dir); err != nil {
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
	for _, companion := range companionFiles {
		if content, err := os.ReadFile(filepath.Join(dir, "out", "b", companion)); err != nil ||
			string(content) != companion {
			t.Errorf("%s: %q, %v", companion, content, err)
		}
	}
}

func TestMistakesAreErrors(t *testing.T) {
	for set, want := range map[string]string{"m = 1": `no key "m"`, "\"class.0.nam\" = \"y\"": `no key "class.0.nam"`,
		"\"class.1.name\" = \"y\"": "not an index in a list of 1",
		"\"n.x\" = 1":              `"n" is a plain value`, "n = \"four\"": "3 cannot be replaced by four"} {
		kit, dir := writeKit(t, set)
		if err := run(kit, dir); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", set, err, want)
		}
	}
	_, dir := writeKit(t, "")
	if err := run(filepath.Join(dir, "none"), dir); err == nil || !strings.Contains(err.Error(), "-kit") {
		t.Errorf("without a kit: %v", err)
	}
	if err := run(dir, t.TempDir()); err == nil || !strings.Contains(err.Error(), "no override file") {
		t.Errorf("without overrides: %v", err)
	}
}

// Each override file of the repository must be readable and name a base, which is missing here.
func TestRepositoryOverridesAreReadable(t *testing.T) {
	files, err := filepath.Glob("*.toml")
	if err != nil || len(files) < 2 {
		t.Fatalf("%v, %v", files, err)
	}
	for _, file := range files {
		if err := buildSite(t.TempDir(), file, t.TempDir()); err == nil || !strings.Contains(err.Error(), "base: open") {
			t.Errorf("%s: %v, want an error that its base does not exist", file, err)
		}
	}
}
