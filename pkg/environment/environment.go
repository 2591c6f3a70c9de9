// Package environment defines the document that describes one environment: the models
// and plain services (backend services that run no model) that it offers, its request
// classes and its teams.
//
// Usage: parse a document with Parse. It reports all problems at once, each with its
// line and key:
//
//	doc, err := environment.Parse("bench.toml", data)
//	var problems *tomlpos.ProblemsError
//	if errors.As(err, &problems) { ... }
//
// A Document must not be changed after Parse returned it, so it may be shared between
// goroutines.
package environment

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"
)

// Name identifies an environment, such as "bench".
type Name string

// Stage is a release stage. An environment has at most one active document in each.
type Stage string

// The stages of an environment.
const (
	Trial      Stage = "trial"
	Production Stage = "production"
)

// ModelName identifies a model.
type ModelName string

// ModelVersion identifies one set of weights of a model.
type ModelVersion string

// ServiceName identifies a plain service.
type ServiceName string

// TeamName identifies a team.
type TeamName string

// ClassName identifies a request class.
type ClassName string

// SecretHash is the hex SHA-256 of a secret, such as a team's API key.
type SecretHash string

// Digest is the hex SHA-256 of a document's body.
type Digest string

// HashSecret returns the hash by which a document identifies an API key.
func HashSecret(key string) SecretHash {
	sum := sha256.Sum256([]byte(key))
	return SecretHash(hex.EncodeToString(sum[:]))
}

// DigestOf returns the digest of a document's body.
func DigestOf(body []byte) Digest {
	sum := sha256.Sum256(body)
	return Digest(hex.EncodeToString(sum[:]))
}

// Document is the content of one version of an environment's document.
type Document struct {
	Environment Name
	Models      []Model
	Services    []Service
	Classes     []Class
	Teams       []Team
}

// Model describes a language model whose layers are distributed over runners.
type Model struct {
	Name    ModelName
	Version ModelVersion
	Layers  int
}

// Service describes a plain service.
type Service struct {
	Name ServiceName
	// SupportsIdempotencyKeys says that the service itself executes a call at most
	// once per idempotency key, so that a call may be retried under the same key.
	SupportsIdempotencyKeys bool
	// Timeout bounds one call.
	Timeout    time.Duration
	Operations []Operation
}

// Operation describes the calls whose method is Method and whose path starts with
// PathPrefix. Of several matching operations, the one with the longest prefix applies.
type Operation struct {
	Method     string
	PathPrefix string
	Idempotent bool
}

// Class is a request class, which sets the priority and the wait limit of requests.
type Class struct {
	Name ClassName
	// Priority is passed to the model engines. Greater values run first.
	Priority int
	// FirstTokenTimeout is the longest time that a request may wait for admission. A
	// request whose predicted wait is longer is rejected immediately.
	FirstTokenTimeout time.Duration
}

// Team describes a team: its API key, its limits, and what it may use.
type Team struct {
	Name              TeamName
	APIKeyHash        SecretHash
	Class             ClassName
	Weight            int
	RequestsPerSecond float64
	MaxConcurrent     int
	Models            []ModelName
	Services          []ServiceName
}

// Model returns the model called name.
func (d *Document) Model(name ModelName) (Model, bool) {
	for _, m := range d.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Service returns the service called name.
func (d *Document) Service(name ServiceName) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Class returns the class called name.
func (d *Document) Class(name ClassName) (Class, bool) {
	for _, c := range d.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}

// MayUseModel reports whether t may use the model.
func (t Team) MayUseModel(name ModelName) bool {
	for _, m := range t.Models {
		if m == name {
			return true
		}
	}
	return false
}

// MayUseService reports whether t may call the service.
func (t Team) MayUseService(name ServiceName) bool {
	for _, s := range t.Services {
		if s == name {
			return true
		}
	}
	return false
}

// Operation returns the operation that applies to a call of method on path.
func (s Service) Operation(method, path string) (Operation, bool) {
	best := -1
	for i, op := range s.Operations {
		if op.Method != method || !strings.HasPrefix(path, op.PathPrefix) {
			continue
		}
		if best < 0 || len(op.PathPrefix) > len(s.Operations[best].PathPrefix) {
			best = i
		}
	}
	if best < 0 {
		return Operation{}, false
	}
	return s.Operations[best], true
}
