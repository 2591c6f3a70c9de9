package caller

import (
	"sync"

	"mulberryhead.org/mulberryhead/pkg/environment"
)

// Principal is what an API key gives access to.
type Principal struct {
	Environment environment.Name
	Stage       environment.Stage
	Document    *environment.Document
	Team        environment.Team
}

type stageKey struct {
	environment environment.Name
	stage       environment.Stage
}

// Catalog finds the tenant of an API key in the documents in force.
type Catalog struct {
	mu        sync.RWMutex
	documents map[stageKey]*environment.Document
	tenants   map[environment.Stage]map[environment.SecretHash]Principal
}

// NewCatalog returns an empty catalog.
func NewCatalog() *Catalog {
	return &Catalog{documents: map[stageKey]*environment.Document{}}
}

// Set puts a document in force.
func (c *Catalog) Set(stage environment.Stage, doc *environment.Document) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.documents[stageKey{doc.Environment, stage}] = doc
	c.tenants = map[environment.Stage]map[environment.SecretHash]Principal{
		environment.Trial: {}, environment.Production: {},
	}
	for key, d := range c.documents {
		for _, t := range d.Teams {
			c.tenants[key.stage][t.APIKeyHash] = Principal{Environment: key.environment, Stage: key.stage, Document: d, Team: t}
		}
	}
}

// Lookup returns what an API key gives access to in a stage.
func (c *Catalog) Lookup(stage environment.Stage, key string) (Principal, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	grant, ok := c.tenants[stage][environment.HashSecret(key)]
	return grant, ok
}

// Documents returns the documents of a stage.
func (c *Catalog) Documents(stage environment.Stage) []*environment.Document {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var list []*environment.Document
	for key, d := range c.documents {
		if key.stage == stage {
			list = append(list, d)
		}
	}
	return list
}
