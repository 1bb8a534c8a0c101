package config

import (
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"strings"

	"github.com/BurntSushi/toml"
)

// ProjectFile is where the project's own file lies, unless MASTHILL_CALLWS names another: a fleet of instances
// on one machine needs one each.
const ProjectFile = "deploy/callws.toml"

// tokenLeast is the length under which a caller's token is a guess.
const tokenLeast = 16

// Project is what the project's own file says. Without the file both parts are off.
type Project struct {
	CallWS struct {
		Listen  string            `toml:"listen"`  // empty: off
		Callers map[string]string `toml:"callers"` // tokens by identity
	} `toml:"callws"`
	Store struct {
		Driver string `toml:"driver"` // empty: off
		DSN    string `toml:"dsn"`
	} `toml:"store"`
}

// LoadProject reads the project's file. Values of tokens and of the store's dsn may be "env:NAME".
func LoadProject(getenv func(string) string) (*Project, error) {
	path := getenv("MASTHILL_CALLWS")
	named := path != ""
	if !named {
		path = ProjectFile
	}
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && !named {
		return &Project{}, nil
	}
	if err != nil {
		return nil, fmt.Errorf("MASTHILL_CALLWS: %w", err)
	}
	return ParseProject(string(data), getenv)
}

// ParseProject reads the text of the project's file. The error names the key that is wrong.
func ParseProject(text string, getenv func(string) string) (*Project, error) {
	p := &Project{}
	meta, err := toml.Decode(text, p)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", ProjectFile, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: unknown key", unknown[0])
	}
	if p.Store.DSN, err = secret(p.Store.DSN, getenv); err != nil {
		return nil, fmt.Errorf("store.dsn: %w", err)
	}
	switch p.Store.Driver {
	case "", "sqlite", "postgres":
	default:
		return nil, fmt.Errorf("store.driver: %q is neither sqlite nor postgres", p.Store.Driver)
	}
	if p.Store.Driver != "" && p.Store.DSN == "" {
		return nil, errors.New("store.dsn: missing")
	}
	if p.CallWS.Listen == "" {
		return p, nil
	}
	if _, _, err := net.SplitHostPort(p.CallWS.Listen); err != nil {
		return nil, fmt.Errorf("callws.listen: %w", err)
	}
	if len(p.CallWS.Callers) == 0 {
		return nil, errors.New("callws.callers: no caller could connect")
	}
	owner := map[string]string{}
	for name, token := range p.CallWS.Callers {
		if token, err = secret(token, getenv); err != nil {
			return nil, fmt.Errorf("callws.callers.%s: %w", name, err)
		}
		if len(token) < tokenLeast {
			return nil, fmt.Errorf("callws.callers.%s: a token has %d characters at least", name, tokenLeast)
		}
		if owner[token] != "" {
			return nil, fmt.Errorf("callws.callers.%s: the same token as another's", name)
		}
		p.CallWS.Callers[name], owner[token] = token, name
	}
	return p, nil
}

// secret resolves a value that stands in the environment.
func secret(value string, getenv func(string) string) (string, error) {
	name, ok := strings.CutPrefix(value, "env:")
	if !ok {
		return value, nil
	}
	if value = getenv(name); value == "" {
		return "", fmt.Errorf("%s is not set in the environment", name)
	}
	return value, nil
}
