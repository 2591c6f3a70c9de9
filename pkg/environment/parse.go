package environment

import (
	"fmt"
	"regexp"
	"time"

	"mulberryhead.org/mulberryhead/internal/tomlpos"
)

const (
	defaultServiceTimeout = 10 * time.Second
	// defaultFirstTokenTimeout is the target for the time to the first token, which 95
	// of 100 requests should meet.
	defaultFirstTokenTimeout = 730 * time.Millisecond
	maxLayers                = 1024
)

type tomlDocument struct {
	Environment string        `toml:"environment"`
	Model       []tomlModel   `toml:"model"`
	Service     []tomlService `toml:"service"`
	Class       []tomlClass   `toml:"class"`
	Tenant      []tomlTenant  `toml:"tenant"`
}

type tomlModel struct {
	Name    string `toml:"name"`
	Version string `toml:"version"`
	Layers  int    `toml:"layers"`
}

type tomlService struct {
	Name        string          `toml:"name"`
	HonoursKeys bool            `toml:"honours-keys"`
	Timeout     string          `toml:"timeout"`
	Operation   []tomlOperation `toml:"operation"`
}

type tomlOperation struct {
	Method     string `toml:"method"`
	Path       string `toml:"path"`
	Idempotent bool   `toml:"idempotent"`
}

type tomlClass struct {
	Name       string `toml:"name"`
	Priority   int    `toml:"priority"`
	FirstToken string `toml:"first-token"`
}

type tomlTenant struct {
	Name              string   `toml:"name"`
	KeySHA256         string   `toml:"key-sha256"`
	Class             string   `toml:"class"`
	Weight            int      `toml:"weight"`
	RequestsPerSecond float64  `toml:"requests-per-second"`
	Concurrent        int      `toml:"concurrent"`
	Models            []string `toml:"models"`
	Services          []string `toml:"services"`
}

var (
	namePattern    = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	keyHashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	methodPattern  = regexp.MustCompile(`^[A-Z]{3,10}$`)
)

// Parse parses and validates a document. The error is a *tomlpos.ProblemsError that
// lists all problems; file is the file name that appears in it.
func Parse(file string, data []byte) (*Document, error) {
	var wire tomlDocument
	index, problems := tomlpos.Decode(file, data, &wire)
	p := parser{index: index, problems: problems}
	doc := p.document(wire)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return doc, nil
}

type parser struct {
	index    tomlpos.Index
	problems *tomlpos.Problems
}

func (p *parser) addProblem(key, message, hint string) {
	p.problems.Add(p.index, key, message, hint)
}

func (p *parser) document(wire tomlDocument) *Document {
	doc := &Document{Environment: Name(wire.Environment)}
	p.checkName("environment", wire.Environment, nil)
	seen := map[string]bool{}
	for i, m := range wire.Model {
		doc.Models = append(doc.Models, p.model(fmt.Sprintf("model[%d]", i), m, seen))
	}
	seen = map[string]bool{}
	for i, s := range wire.Service {
		doc.Services = append(doc.Services, p.service(fmt.Sprintf("service[%d]", i), s, seen))
	}
	seen = map[string]bool{}
	for i, c := range wire.Class {
		doc.Classes = append(doc.Classes, p.class(fmt.Sprintf("class[%d]", i), c, seen))
	}
	seen, hashes := map[string]bool{}, map[string]bool{}
	for i, t := range wire.Tenant {
		key := fmt.Sprintf("tenant[%d]", i)
		team := p.team(key, t, seen, hashes)
		p.checkReferences(key, doc, team)
		doc.Teams = append(doc.Teams, team)
	}
	return doc
}

// checkName checks the syntax of a name and, if seen is not nil, that it is unique.
func (p *parser) checkName(key, value string, seen map[string]bool) {
	if !namePattern.MatchString(value) {
		p.addProblem(key, fmt.Sprintf("%q is not a name", value), "use 1 to 63 of a-z, 0-9 and -")
	}
	if seen == nil {
		return
	}
	if seen[value] {
		p.addProblem(key, fmt.Sprintf("%q stands twice", value), "rename or remove one")
	}
	seen[value] = true
}

func (p *parser) duration(key, value string, fallback time.Duration) time.Duration {
	return p.problems.Duration(p.index, key, value, fallback)
}

func (p *parser) model(key string, m tomlModel, seen map[string]bool) Model {
	p.checkName(key+".name", m.Name, seen)
	p.checkName(key+".version", m.Version, nil)
	if m.Layers < 1 || m.Layers > maxLayers {
		p.addProblem(key+".layers", fmt.Sprintf("%d is out of range", m.Layers), fmt.Sprintf("use 1 to %d", maxLayers))
	}
	return Model{Name: ModelName(m.Name), Version: ModelVersion(m.Version), Layers: m.Layers}
}

func (p *parser) service(key string, s tomlService, seen map[string]bool) Service {
	p.checkName(key+".name", s.Name, seen)
	service := Service{
		Name:                    ServiceName(s.Name),
		SupportsIdempotencyKeys: s.HonoursKeys,
		Timeout:                 p.duration(key+".timeout", s.Timeout, defaultServiceTimeout),
	}
	if len(s.Operation) == 0 {
		p.addProblem(key, "has no operation", "add a [[service.operation]] with method and path")
	}
	for i, op := range s.Operation {
		opKey := fmt.Sprintf("%s.operation[%d]", key, i)
		if !methodPattern.MatchString(op.Method) {
			p.addProblem(opKey+".method", fmt.Sprintf("%q is not an HTTP method", op.Method), "write it in capitals")
		}
		if len(op.Path) == 0 || op.Path[0] != '/' {
			p.addProblem(opKey+".path", fmt.Sprintf("%q is not a path", op.Path), "start it with /")
		}
		service.Operations = append(service.Operations, Operation{Method: op.Method, PathPrefix: op.Path, Idempotent: op.Idempotent})
	}
	return service
}

func (p *parser) class(key string, c tomlClass, seen map[string]bool) Class {
	p.checkName(key+".name", c.Name, seen)
	return Class{
		Name:              ClassName(c.Name),
		Priority:          c.Priority,
		FirstTokenTimeout: p.duration(key+".first-token", c.FirstToken, defaultFirstTokenTimeout),
	}
}

func (p *parser) team(key string, t tomlTenant, seen, hashes map[string]bool) Team {
	p.checkName(key+".name", t.Name, seen)
	if !keyHashPattern.MatchString(t.KeySHA256) {
		p.addProblem(key+".key-sha256", "is not 64 hex digits", "make a key and its hash with: mulberryhead key")
	} else if hashes[t.KeySHA256] {
		p.addProblem(key+".key-sha256", "is another tenant's too", "give each tenant a key of its own")
	}
	hashes[t.KeySHA256] = true
	if t.Weight < 1 {
		p.addProblem(key+".weight", fmt.Sprintf("%d is below 1", t.Weight), "use 1 or more")
	}
	if t.RequestsPerSecond <= 0 {
		p.addProblem(key+".requests-per-second", "is not positive", "set the rate that the tenant may use")
	}
	if t.Concurrent < 1 {
		p.addProblem(key+".concurrent", fmt.Sprintf("%d is below 1", t.Concurrent), "use 1 or more")
	}
	team := Team{
		Name: TeamName(t.Name), APIKeyHash: SecretHash(t.KeySHA256), Class: ClassName(t.Class),
		Weight: t.Weight, RequestsPerSecond: t.RequestsPerSecond, MaxConcurrent: t.Concurrent,
	}
	for _, m := range t.Models {
		team.Models = append(team.Models, ModelName(m))
	}
	for _, s := range t.Services {
		team.Services = append(team.Services, ServiceName(s))
	}
	return team
}

// checkReferences checks that the document defines the class, models and services
// that a team refers to.
func (p *parser) checkReferences(key string, doc *Document, t Team) {
	if _, ok := doc.Class(t.Class); !ok {
		p.addProblem(key+".class", fmt.Sprintf("no class %q", t.Class), "name one of the [[class]] entries")
	}
	for _, m := range t.Models {
		if _, ok := doc.Model(m); !ok {
			p.addProblem(key+".models", fmt.Sprintf("no model %q", m), "name one of the [[model]] entries")
		}
	}
	for _, s := range t.Services {
		if _, ok := doc.Service(s); !ok {
			p.addProblem(key+".services", fmt.Sprintf("no service %q", s), "name one of the [[service]] entries")
		}
	}
}
