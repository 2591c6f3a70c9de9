// Package tomlpos reads TOML strictly and reports every problem with its file,
// line and key.
//
// Usage: decode with Decode, check the decoded values, and report semantic
// problems through the returned Index so that they carry a line too:
//
//	index, problems := tomlpos.Decode("settings.toml", data, &wire)
//	problems.Add(index, "listen.callers", "is empty", "set it to HOST:PORT")
//	return problems.Err()
package tomlpos

import (
	"errors"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Problem is one fault in a TOML file. Line counts from 1; 0 means that the
// key does not stand in the file.
type Problem struct {
	File string
	Line int
	Key  string
	What string
	Mend string
}

func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		b.WriteString(":" + strconv.Itoa(p.Line))
	}
	b.WriteString(": ")
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	b.WriteString(p.What)
	if p.Mend != "" {
		b.WriteString("; " + p.Mend)
	}
	return b.String()
}

// ProblemsError reports every problem of one file in one go.
type ProblemsError struct {
	Problems []Problem
}

func (e *ProblemsError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Problems collects the faults of one file.
type Problems struct {
	file  string
	items []Problem
	// broken is set when decoding stopped, so that values are missing.
	broken bool
}

// Add records a fault of the value at key. Where the file could not be decoded
// to its end, it records nothing: the value may just not have been reached.
func (p *Problems) Add(index Index, key, what, mend string) {
	if p.broken {
		return
	}
	p.items = append(p.items, Problem{File: p.file, Line: index.Line(key), Key: key, What: what, Mend: mend})
}

// Err returns a *ProblemsError in file order, or nil when nothing was added.
func (p *Problems) Err() error {
	if len(p.items) == 0 {
		return nil
	}
	sort.SliceStable(p.items, func(i, j int) bool { return p.items[i].Line < p.items[j].Line })
	return &ProblemsError{Problems: p.items}
}

// Duration parses the duration at key; an empty value stands for fallback.
func (p *Problems) Duration(index Index, key, value string, fallback time.Duration) time.Duration {
	if value == "" {
		return fallback
	}
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 {
		p.Add(index, key, fmt.Sprintf("%q is not a positive duration", value), `write a number with its unit, as in "730ms"`)
		return fallback
	}
	return d
}

// Index maps a dotted key to its line. Elements of an array of tables are
// numbered from 0: tenant[2].name.
type Index map[string]int

// Line returns the line of key or of the nearest enclosing key, 0 if none.
func (x Index) Line(key string) int {
	for key != "" {
		if line, ok := x[key]; ok {
			return line
		}
		cut := strings.LastIndexByte(key, '.')
		if cut < 0 {
			return 0
		}
		key = key[:cut]
	}
	return 0
}

// Decode reads data into the struct that wire points to. Unknown keys, wrong
// types and broken syntax become problems.
func Decode(file string, data []byte, wire any) (Index, *Problems) {
	problems := &Problems{file: file}
	index := buildIndex(data)
	decoder := toml.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(wire)
	if err == nil {
		return index, problems
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		addUnknownKeys(problems, strict)
		// The strict decoder has already filled every known key.
		return index, problems
	}
	problems.broken = true
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		problems.items = append(problems.items, Problem{
			File: file, Line: line, Key: strings.Join(decode.Key(), "."),
			What: strings.TrimPrefix(decode.Error(), "toml: "), Mend: "correct the value or the syntax",
		})
		return index, problems
	}
	problems.items = append(problems.items, Problem{File: file, What: err.Error()})
	return index, problems
}

func addUnknownKeys(problems *Problems, strict *toml.StrictMissingError) {
	for i := range strict.Errors {
		line, _ := strict.Errors[i].Position()
		problems.items = append(problems.items, Problem{
			File: problems.file, Line: line, Key: strings.Join(strict.Errors[i].Key(), "."),
			What: "unknown key", Mend: "remove it or correct its spelling",
		})
	}
}

func buildIndex(data []byte) Index {
	index := Index{}
	counts := map[string]int{}
	prefix := ""
	var parser unstable.Parser
	parser.Reset(data)
	for parser.NextExpression() {
		expression := parser.Expression()
		name, offset := dottedKey(expression)
		if name == "" {
			continue
		}
		line := 1 + strings.Count(string(data[:offset]), "\n")
		switch expression.Kind {
		case unstable.ArrayTable:
			name = resolve(name, counts)
			prefix = fmt.Sprintf("%s[%d]", name, counts[name])
			counts[name]++
			index[prefix] = line
		case unstable.Table:
			prefix = resolve(name, counts)
			index[prefix] = line
		case unstable.KeyValue:
			if prefix != "" {
				name = prefix + "." + name
			}
			index[name] = line
		}
	}
	return index
}

// resolve puts the current element number behind each enclosing array of
// tables: service.operation becomes service[1].operation.
func resolve(name string, counts map[string]int) string {
	parts := strings.Split(name, ".")
	path := ""
	for i, part := range parts {
		if path != "" {
			path += "."
		}
		path += part
		if n := counts[path]; n > 0 && i < len(parts)-1 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	return path
}

func dottedKey(node *unstable.Node) (name string, offset int) {
	var parts []string
	for it := node.Key(); it.Next(); {
		if len(parts) == 0 {
			offset = int(it.Node().Raw.Offset)
		}
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, "."), offset
}
