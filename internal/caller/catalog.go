package caller

import (
	"sync"

	"mulberryhead.org/mulberryhead/pkg/environment"
)

// Grant is what an API key gives access to.
type Grant struct {
	Environment environment.Name
	Stage       environment.Stage
	Document    *environment.Document
	Tenant      environment.Tenant
}

type stageKey struct {
	environment environment.Name
	stage       environment.Stage
}

// Catalog finds the tenant of an API key in the documents in force.
type Catalog struct {
	mu        sync.RWMutex
	documents map[stageKey]*environment.Document
	tenants   map[environment.Stage]map[environment.KeyHash]Grant
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
	c.tenants = map[environment.Stage]map[environment.KeyHash]Grant{
		environment.Trial: {}, environment.Production: {},
	}
	for key, d := range c.documents {
		for _, t := range d.Tenants {
			c.tenants[key.stage][t.KeyHash] = Grant{Environment: key.environment, Stage: key.stage, Document: d, Tenant: t}
		}
	}
}

// Lookup returns what an API key gives access to in a stage.
func (c *Catalog) Lookup(stage environment.Stage, key string) (Grant, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	grant, ok := c.tenants[stage][environment.HashKey(key)]
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
