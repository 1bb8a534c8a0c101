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

// Fault is one thing that is wrong in a file that the program reads.
type Fault struct {
	File string `json:"file"`
	Line int    `json:"line,omitempty"` // from 1; 0: not known
	Key  string `json:"key,omitempty"`  // dotted, as in callws.listen
	Text string `json:"text"`
}

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

// Faults is all that is wrong, in the order of the files and their lines; it is an error unless empty.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for k, one := range f {
		lines[k] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// All gives every fault of an error from Load, LoadProject or their like.
func AllFaults(err error) Faults {
	var many Faults
	if errors.As(err, &many) {
		return many
	}
	var one Fault
	if errors.As(err, &one) {
		return Faults{one}
	}
	if err == nil {
		return nil
	}
	return Faults{{Text: err.Error()}}
}

// validate holds a document against a schema and gives a fault for each thing that is wrong. The schema's text is part of
// the program, so a fault in it is one of the program's.
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
		path := strings.Split(e.Context().String(), ".")[1:] // the first is the root
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

// tomlLine finds the line on which a key of a TOML file stands, or else its table: line 0 where neither is found. It
// looks for headers and keys as our files write them; a key that stands otherwise gets its table's line.
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

// jsonLine finds the line on which a value of a JSON file begins.
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
