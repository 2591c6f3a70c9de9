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

// Catalog maps API keys to the principals of the active documents.
type Catalog struct {
	mu         sync.RWMutex
	documents  map[stageKey]*environment.Document
	principals map[environment.Stage]map[environment.SecretHash]Principal
}

// NewCatalog returns an empty catalog.
func NewCatalog() *Catalog {
	return &Catalog{documents: map[stageKey]*environment.Document{}}
}

// Set makes a document the active one of its environment and stage.
func (c *Catalog) Set(stage environment.Stage, doc *environment.Document) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.documents[stageKey{doc.Environment, stage}] = doc
	c.principals = map[environment.Stage]map[environment.SecretHash]Principal{
		environment.Trial: {}, environment.Production: {},
	}
	for key, d := range c.documents {
		for _, t := range d.Teams {
			c.principals[key.stage][t.APIKeyHash] = Principal{Environment: key.environment, Stage: key.stage, Document: d, Team: t}
		}
	}
}

// Lookup returns what an API key gives access to in a stage.
func (c *Catalog) Lookup(stage environment.Stage, key string) (Principal, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	principal, ok := c.principals[stage][environment.HashSecret(key)]
	return principal, ok
}

// Documents returns the active documents of a stage, in no particular order.
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
