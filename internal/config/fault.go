package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/xeipuuv/gojsonschema"
)

// Fault is one error in a configuration file.
type Fault struct {
	File string `json:"file"`
	Line int    `json:"line,omitempty"` // from 1; 0: unknown
	Key  string `json:"key,omitempty"`  // dotted, as in callws.listen
	Text string `json:"text"`
}

// Error returns the fault as file:line: key: text.
func (f Fault) Error() string {
	s := f.File
	if f.Line > 0 {
		s += ":" + strconv.Itoa(f.Line)
	}
	if f.Key != "" {
		s += ": " + f.Key
	}
	return s + ": " + f.Text
}

// Faults lists all errors of a file in the order of their lines. An empty list is not an error.
type Faults []Fault

// Error returns the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for k, one := range f {
		lines[k] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// AllFaults returns the faults in an error of Load, LoadOperatorSettings and similar functions. Any other error becomes a
// single fault.
func AllFaults(err error) Faults {
	var faults Faults
	if errors.As(err, &faults) {
		return faults
	}
	var fault Fault
	if errors.As(err, &fault) {
		return Faults{fault}
	}
	if err == nil {
		return nil
	}
	return Faults{{Text: err.Error()}}
}

// validate checks a document against a JSON Schema and returns a fault for each violation. It panics if the schema itself is
// invalid, as that is embedded in the program.
func validate(schema []byte, doc any, file string, line func(path []string) int) (faults Faults) {
	s, err := gojsonschema.NewSchema(gojsonschema.NewBytesLoader(schema))
	if err != nil {
		panic("schema: " + err.Error())
	}
	result, err := s.Validate(gojsonschema.NewGoLoader(doc))
	if err != nil {
		return Faults{{File: file, Text: err.Error()}}
	}
	for _, e := range result.Errors() {
		path := strings.Split(e.Context().String(), ".")[1:] // the first element is the root
		switch key, _ := e.Details()["property"].(string); e.Type() {
		case "additional_property_not_allowed":
			at := append(path, key)
			faults = append(faults, Fault{file, line(at), strings.Join(at, "."), "unknown key"})
		case "required":
			faults = append(faults, Fault{file, line(path), strings.Join(append(path, key), "."), "missing"})
		default:
			faults = append(faults, Fault{file, line(path), strings.Join(path, "."), e.Description()})
		}
	}
	return faults
}

// tomlLine returns a function that finds the line of a key in a TOML file, or else that of its table; 0 if neither is
// found. It recognizes only plain table headers and key = value lines; a key written otherwise gets the line of its table.
func tomlLine(text string) func(path []string) int {
	return func(path []string) int {
		want, table, best, depth := strings.Join(path, "."), "", 0, -1
		for k, line := range strings.Split(text, "\n") {
			line = strings.TrimSpace(line)
			at := ""
			if name, ok := strings.CutPrefix(line, "["); ok {
				name, _, _ = strings.Cut(name, "]")
				table = strings.ReplaceAll(strings.Trim(name, "[ "), "\"", "")
				at = table
			} else if key, _, ok := strings.Cut(line, "="); ok && !strings.HasPrefix(line, "#") {
				at = strings.Trim(strings.TrimSpace(key), "\"'")
				if table != "" {
					at = table + "." + at
				}
			}
			if at != "" && (at == want || strings.HasPrefix(want, at+".")) && len(at) > depth {
				best, depth = k+1, len(at)
			}
		}
		return best
	}
}

// jsonLine returns a function that finds the line on which a value of a JSON file begins, or else that of the nearest
// enclosing value.
func jsonLine(data []byte) func(path []string) int {
	lines := map[string]int{}
	d := json.NewDecoder(bytes.NewReader(data))
	var walk func(path string) bool
	walk = func(path string) bool {
		token, err := d.Token()
		if err != nil {
			return false
		}
		lines[path] = 1 + bytes.Count(data[:d.InputOffset()], []byte("\n"))
		open, ok := token.(json.Delim)
		if !ok {
			return true
		}
		for n := 0; d.More(); n++ {
			key := strconv.Itoa(n)
			if open == '{' {
				name, err := d.Token()
				if err != nil {
					return false
				}
				key = fmt.Sprint(name)
			}
			if path != "" {
				key = path + "." + key
			}
			if !walk(key) {
				return false
			}
		}
		_, err = d.Token()
		return err == nil
	}
	walk("")
	return func(path []string) int {
		for n := len(path); n >= 0; n-- {
			if line, ok := lines[strings.Join(path[:n], ".")]; ok {
				return line
			}
		}
		return 0
	}
}
