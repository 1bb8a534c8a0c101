package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"masthill/control/shares"
	"masthill/internal/netcase"
)

const validPlatform = `{"name":"n3","listen":"10.0.0.4:2905","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,` +
	`"sockets":1024},"journal":"10.2.0.1:9092","known":{"pos":3,"entries":[]},"settings":{"group_size":4,` +
	`"discovery":"pushed","extra":{"class_cells":[[0,1]],"clear_wait_ns":300000000,"this_node":-1,"topology":"groups"},` +
	`"grades":[{"name":"open-log","aim_ns":1500000000,"deadline_ns":9000000000,"effect":"free","late_value":0.25,` +
	`"worth":1.0}],"limits":{"max_attempts":4,"may_cancel":true,"retry_after":true,"max_retry_after_ns":2000000000,` +
	`"connect_timeout_ns":500000000},"tenants":[{"name":"acme"}],"feedback":{"fields":["spare","total"]},` +
	`"resolution_ns":5000000,"rules":{"cold_from":0.34,"cold_ns":15000000000,"drain_grace_ns":1000000000,` +
	`"fall_multiple":3.0,"fall_ns":1000000000}}}`

func TestGoodFile(t *testing.T) {
	p, err := Parse([]byte(validPlatform))
	if err != nil {
		t.Fatal(err)
	}
	if p.Sockets != 1024 || p.Known.Pos != 3 || p.Seed != 0x8c1f30d27a5be964 || p.ConnectTimeout != 500*time.Millisecond ||
		p.Names.Classes[0].Name != "open-log" || p.Names.Tenants[0] != "acme" || p.Settings.ReportFields[1] != "total" {
		t.Errorf("%+v", p)
	}
}

func TestErrorsNameTheKey(t *testing.T) {
	for _, tc := range []struct{ old, new, want string }{
		{"{", "[", "PROXY_CONFIG"},
		{`"8c1f30d27a5be964"`, `"x"`, "seed"},
		{`"sockets":1024`, `"sockets":3`, "limits.sockets"},
		{`"memory_mb":192`, `"memory_mb":0`, "limits.memory_mb"},
		{`"cores":1.0`, `"cores":0`, "limits.cores"},
		{`"journal":"10.2.0.1:9092"`, `"journal":"here"`, "journal"},
		{`"group_size":4`, `"group_size":0`, "settings.group_size"},
		{`"name":"open-log",`, ``, "settings.grades[0].name"},
		{`"connect_timeout_ns":500000000`, `"x":1`, "settings.limits.connect_timeout_ns"},
		{`"effect":"free"`, `"effect":"odd"`, "grades[0].effect"},
	} {
		_, err := Parse([]byte(strings.Replace(validPlatform, tc.old, tc.new, 1)))
		if err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: got %v, want it to name %s", tc.new, err, tc.want)
		}
	}
	if _, err := Load(func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), "PROXY_CONFIG") {
		t.Errorf("PROXY_CONFIG not set: %v", err)
	}
}

func TestGarbage(t *testing.T) {
	netcase.Check(t, func(t *rapid.T) {
		Parse(netcase.Garbage(t, []byte(validPlatform)))
		ParseOperatorSettings("f", string(netcase.Garbage(t, []byte(validSettings))), func(string) string { return "" })
	})
}

const validSettings = `
[callws]
listen = "127.0.0.1:2906"
[callws.callers]
station-7 = "env:TOKEN"
[store]
driver = "sqlite"
dsn = "/tmp/calls.db"
`

func TestProjectFile(t *testing.T) {
	env := func(name string) string { return map[string]string{"TOKEN": "a token of sixteen"}[name] }
	p, err := ParseOperatorSettings("f", validSettings, env)
	if err != nil || p.CallWS.Callers["station-7"] != "a token of sixteen" || p.Store.DSN != "/tmp/calls.db" {
		t.Fatalf("%+v, %v", p, err)
	}
	for _, tc := range []struct{ old, new, want string }{
		{"listen", "listn", "listn"},
		{"127.0.0.1:2906", "here", "callws.listen"},
		{"env:TOKEN", "env:NONE", "callws.callers.station-7"},
		{"env:TOKEN", "short", "callws.callers.station-7"},
		{`station-7 = "env:TOKEN"`, "", "callws.callers"},
		{`station-7 = "env:TOKEN"`, "a = \"env:TOKEN\"\nb = \"env:TOKEN\"", "the same token"},
		{"sqlite", "oracle", "store.driver"},
		{`dsn = "/tmp/calls.db"`, "", "store.dsn"},
		{"[store]", "[", "f:7"},
	} {
		if _, err := ParseOperatorSettings("f", strings.Replace(validSettings, tc.old, tc.new, 1), env); err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: got %v, want it to name %s", tc.new, err, tc.want)
		}
	}
	if p, err := ParseOperatorSettings("", "", env); err != nil || p.CallWS.Listen != "" || p.Store.Driver != "" {
		t.Errorf("an empty file: %+v, %v", p, err)
	}
}

// The deployed settings file leaves call control over WebSocket and the store switched off.
func TestDeployedFileIsOff(t *testing.T) {
	p, err := LoadOperatorSettings(func(name string) string {
		return map[string]string{"MASTHILL_SETTINGS": "../../" + OperatorSettingsFile}[name]
	})
	if err != nil || p.CallWS.Listen != "" || p.Store.Driver != "" {
		t.Errorf("%+v, %v", p, err)
	}
}

// All faults of a file are reported together, each with its file, line and key.
func TestAllFaultsAtOnce(t *testing.T) {
	text := "[callws]\nlisten = \"here\"\n[store]\ndriver = \"oracle\"\n[state]\nevery = \"2 seconds\"\nfresh = 1\n"
	_, err := ParseOperatorSettings("m.toml", text, func(string) string { return "" })
	got := AllFaults(err)
	if len(got) != 3 || got[0].Line != 4 || got[0].Key != "store.driver" || got[1].Line != 6 || got[1].Key != "state.every" ||
		got[2].Line != 7 || got[2].Key != "state.fresh" || got[2].File != "m.toml" {
		t.Errorf("%v", err)
	}
	_, err = ParseOperatorSettings("m.toml", "[state]\ndir = \"x\"\nevery = \"1ms\"\n[socket]\npath = \"s\"\n", func(string) string { return "" })
	if got := AllFaults(err); len(got) != 3 || got[0].Line != 2 || got[1].Line != 3 || got[2].Line != 5 {
		t.Errorf("%v", err)
	}
	spread := strings.NewReplacer(`"seed"`, "\n\"seed\"", `"sockets":1024`, "\n\"sockets\":3", `"fall_multiple":3.0`, "\n\"fall_multiple\":0").Replace(validPlatform)
	_, err = Parse([]byte(strings.Replace(spread, "8c1f", "xyz", 1)))
	if got := AllFaults(err); len(got) != 3 || got[0].Line != 2 || got[1].Line != 3 || got[2].Line != 4 || got[2].Key != "settings.rules.fall_multiple" {
		t.Errorf("%v", err)
	}
}

// The deprecated environment variable still works.
func TestDeprecatedVariable(t *testing.T) {
	file := filepath.Join(t.TempDir(), "callws.toml")
	if err := os.WriteFile(file, []byte("[recovery]\nenabled = true\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	p, err := LoadOperatorSettings(func(name string) string { return map[string]string{"MASTHILL_CALLWS": file}[name] })
	if err != nil || !p.DeprecatedName || !p.Recovery.Enabled || p.State.Interval != 2*time.Second {
		t.Errorf("%+v, %v", p, err)
	}
}

func TestPeers(t *testing.T) {
	none := func(string) string { return "" }
	good := "[peers]\nlisten = \"127.0.0.1:0\"\nkeys = [\"MDEyMzQ1Njc4OWFiY2RlZg==\"]\nkeepers = [\"a\", \"b\", \"c\"]\nbudgets = true\nseeds = [\"127.0.0.1:1\", \"a/127.0.0.1:2\"]\n"
	p, err := ParseOperatorSettings("x", good, none)
	if err != nil || len(p.Peers.DecodedKeys) != 1 || p.Peers.Machine == "" || p.Peers.Term != 2*time.Second {
		t.Fatalf("%+v: %v", p, err)
	}
	for change, want := range map[[2]string]string{
		{`"a", "b", "c"`, `"a", "b"`}:            "x:4: peers.keepers",
		{`"a", "b", "c"`, ``}:                    "x:5: peers.budgets",
		{`MDEyMzQ1Njc4OWFiY2RlZg==`, `MDEy`}:     "x:3: peers.keys: key 1: 3 bytes",
		{`MDEyMzQ1Njc4OWFiY2RlZg==`, `env:NONE`}: "x:3: peers.keys: key 1: NONE is not set",
		{`a/127.0.0.1:2`, `a/127`}:               "x:6: peers.seeds",
		{`budgets = true`, `term = "1ms"`}:       "x:5: peers.term",
		{`budgets = true`, `audit = "here"`}:     "x:5: peers.audit",
		{`127.0.0.1:0`, `here`}:                  "x:2: peers.listen",
		{`127.0.0.1:0`, `:2908`}:                 "x:2: peers.listen: other instances could not reach",
		{`budgets = true`, `advertise = "h:1"`}:  "x:2: peers.listen: other instances could not reach",
	} {
		_, err := ParseOperatorSettings("x", strings.Replace(good, change[0], change[1], 1), none)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v: wanted %q, got %v", change, want, err)
		}
	}
}

func TestDistribution(t *testing.T) {
	none := func(string) string { return "" }
	good := "[distribution]\nservers = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\nfleet = \"harvest\"\n" +
		"keys = [\"MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3ODlhYmNkZWY=\"]\nmax_age = \"5s\"\n"
	p, err := ParseOperatorSettings("x", good, none)
	if err != nil || len(p.Distribution.PublicKeys) != 1 || p.Distribution.MaxAge != 5*time.Second {
		t.Fatalf("%+v: %v", p, err)
	}
	for change, want := range map[[2]string]string{
		{`127.0.0.1:2`, `here`}:                                "x:2: distribution.servers",
		{`127.0.0.1:2`, `127.0.0.1:1`}:                         "x:2: distribution.servers: \"127.0.0.1:1\" is listed twice",
		{`fleet = "harvest"`, ``}:                              "x:1: distribution.fleet: missing",
		{`MDEyMzQ1Njc4OWFiY2RlZj`, `x`}:                        "x:4: distribution.keys: key 1",
		{`"MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3ODlhYmNkZWY="`, ``}: "x:4: distribution.keys: missing",
		{`"5s"`, `"1s"`}:                                       "x:5: distribution.max_age",
		{`max_age`, `dir = "d"#`}:                              "x:5: distribution.dir",
	} {
		_, err := ParseOperatorSettings("x", strings.Replace(good, change[0], change[1], 1), none)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v: wanted %q, got %v", change, want, err)
		}
	}
}

func TestLive(t *testing.T) {
	env := func(name string) string { return strings.Repeat(name, 8) }
	live, err := ParseLiveSettings("release 1", "[shares.fractions]\na = 0.5\n[callws.callers]\nx = \"env:ABC\"\n[log]\nlevel = \"debug\"\n", env)
	if err != nil || live.CallWS.Callers["x"] != env("ABC") {
		t.Fatalf("%+v: %v", live, err)
	}
	own := []shares.Tenant{{Name: "a", Fraction: 0.2}, {Name: "b", Fraction: 0.8}}
	if got, err := live.TenantFractions(own); err != nil || got[0].Fraction != 0.5 || got[1].Fraction != 0.8 || own[0].Fraction != 0.2 {
		t.Errorf("%+v, %v, own %+v", got, err, own)
	}
	if _, err := live.TenantFractions(own[1:]); err == nil || !strings.Contains(err.Error(), "shares.fractions.a: no such tenant") {
		t.Error(err)
	}
	for text, want := range map[string]string{
		"[store]\ndriver = \"sqlite\"\n":                       "release 1:1: store: unknown key",
		"[shares]\nenabled = true\n":                           "release 1:2: shares.enabled: unknown key",
		"[shares.fractions]\na = 0\n":                          "release 1:1: shares.fractions: nobody",
		"[shares.fractions]\na = 1.5\n":                        "release 1:2: shares.fractions.a",
		"[callws.callers]\nx = \"short\"\n":                    "release 1:2: callws.callers.x",
		"[log]\nlevel = \"loud\"\n":                            "release 1:2: log.level",
		"[log\n":                                               "release 1:2:",
		"[callws.callers]\nx = \"env:ABC\"\ny = \"env:ABC\"\n": "release 1:3: callws.callers.y: the same token",
	} {
		if _, err := ParseLiveSettings("release 1", text, env); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: wanted %q, got %v", text, want, err)
		}
	}
}
