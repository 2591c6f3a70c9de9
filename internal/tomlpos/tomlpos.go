// Package tomlpos decodes TOML strictly and reports problems with their file, line and
// key.
//
// Usage: call Decode, validate the decoded values, and add semantic problems with
// the returned Index, which supplies their lines:
//
//	index, problems := tomlpos.Decode("settings.toml", data, &target)
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

// Problem is an error in a TOML file. Line counts from 1; it is 0 if the key and its
// enclosing keys are not in the file. Hint describes the correction and may be empty.
type Problem struct {
	File    string
	Line    int
	Key     string
	Message string
	Hint    string
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
	b.WriteString(p.Message)
	if p.Hint != "" {
		b.WriteString("; " + p.Hint)
	}
	return b.String()
}

// ProblemsError holds all problems of one file. Its text has one line per problem.
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

// Problems collects the problems of one file.
type Problems struct {
	file  string
	items []Problem
	// incomplete is set if decoding stopped at an error, so that values may be missing.
	incomplete bool
}

// Add records a problem with the value at key. It records nothing if decoding stopped
// at an error, since the decoder may not have reached the value.
func (p *Problems) Add(index Index, key, message, hint string) {
	if p.incomplete {
		return
	}
	p.items = append(p.items, Problem{File: p.file, Line: index.Line(key), Key: key, Message: message, Hint: hint})
}

// Err returns a *ProblemsError sorted by line, or nil if there are no problems.
func (p *Problems) Err() error {
	if len(p.items) == 0 {
		return nil
	}
	sort.SliceStable(p.items, func(i, j int) bool { return p.items[i].Line < p.items[j].Line })
	return &ProblemsError{Problems: p.items}
}

// Duration parses value, the duration at key. It returns fallback for an empty value,
// and also for an invalid or non-positive one, which it records as a problem.
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

// Index maps dotted keys to lines. Elements of an array of tables are numbered from
// 0, as in tenant[2].name.
type Index map[string]int

// Line returns the line of key, or of the nearest enclosing key that is in the file,
// or 0 if there is none.
func (index Index) Line(key string) int {
	for key != "" {
		if line, ok := index[key]; ok {
			return line
		}
		dot := strings.LastIndexByte(key, '.')
		if dot < 0 {
			return 0
		}
		key = key[:dot]
	}
	return 0
}

// Decode decodes data into the struct that target points to. It returns unknown keys,
// type errors and syntax errors as problems. file is only used in their text.
func Decode(file string, data []byte, target any) (Index, *Problems) {
	problems := &Problems{file: file}
	index := buildIndex(data)
	decoder := toml.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	if err == nil {
		return index, problems
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		addUnknownKeys(problems, strict)
		// The strict decoder has already decoded all known keys.
		return index, problems
	}
	problems.incomplete = true
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		problems.items = append(problems.items, Problem{
			File: file, Line: line, Key: strings.Join(decode.Key(), "."),
			Message: strings.TrimPrefix(decode.Error(), "toml: "), Hint: "correct the value or the syntax",
		})
		return index, problems
	}
	problems.items = append(problems.items, Problem{File: file, Message: err.Error()})
	return index, problems
}

// addUnknownKeys adds a problem for each key that has no field in the target.
func addUnknownKeys(problems *Problems, strict *toml.StrictMissingError) {
	for i := range strict.Errors {
		line, _ := strict.Errors[i].Position()
		problems.items = append(problems.items, Problem{
			File: problems.file, Line: line, Key: strings.Join(strict.Errors[i].Key(), "."),
			Message: "unknown key", Hint: "remove it or correct its spelling",
		})
	}
}

// buildIndex returns the lines of all keys and tables, except keys inside inline tables,
// up to the first syntax error.
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
			name = indexArrays(name, counts)
			prefix = fmt.Sprintf("%s[%d]", name, counts[name])
			counts[name]++
			index[prefix] = line
		case unstable.Table:
			prefix = indexArrays(name, counts)
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

// indexArrays appends the index of the current element to each enclosing array of
// tables: service.operation becomes service[1].operation.
func indexArrays(name string, counts map[string]int) string {
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

// dottedKey returns the key of a node with its parts joined by dots, and its byte
// offset in the file.
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
