package handover

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// What was put is taken once, by a process at the same address. Damaged files and links are left out without harm to the rest.
func TestPutAndTake(t *testing.T) {
	here := Files{t.TempDir(), "[::1]:5060"}
	for _, items := range [][]string{{"a", "b"}, {"c"}} {
		if err := Put(here, "releases", items); err != nil {
			t.Fatal(err)
		}
	}
	secret := filepath.Join(t.TempDir(), "secret")
	for path, text := range map[string]string{secret: `["secret"]`, filepath.Join(here.Dir, here.prefix("releases")+"0"+suffix): `["dam`} {
		if err := os.WriteFile(path, []byte(text), fileMode); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.Symlink(secret, filepath.Join(here.Dir, here.prefix("releases")+"1"+suffix)); err != nil {
		t.Fatal(err)
	}
	for _, other := range []Files{{here.Dir, "[::1]:506"}, {filepath.Join(here.Dir, "missing"), here.Addr}} {
		if got, err := Take[string](other, "releases"); len(got) > 0 || err != nil {
			t.Errorf("%+v: %q, %v", other, got, err)
		}
	}
	if got, _ := Take[string](here, "other"); len(got) > 0 {
		t.Errorf("another kind: %q", got)
	}
	got, err := Take[string](here, "releases")
	if slices.Sort(got); !slices.Equal(got, []string{"a", "b", "c"}) || err == nil {
		t.Errorf("%q, %v, want all intact items and an error for the rest", got, err)
	}
	if got, _ = Take[string](here, "releases"); len(got) > 0 {
		t.Errorf("taken again: %q", got)
	}
}

func TestPutFails(t *testing.T) {
	if err := Put(Files{filepath.Join(t.TempDir(), "missing"), "a"}, "releases", []string{"a"}); err == nil {
		t.Error("no error for a missing directory")
	}
}
