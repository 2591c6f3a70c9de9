package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/google/uuid"

	"mulberryhead.org/mulberryhead/internal/daemon"
	"mulberryhead.org/mulberryhead/internal/logservice/document"
	"mulberryhead.org/mulberryhead/internal/operator"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

type adminOptions struct {
	Admin string `long:"admin" required:"true" description:"operators' address of any entry instance, IP:PORT"`
	Token string `long:"token" env:"MULBERRYHEAD_TOKEN" description:"operators' bearer token"`
	JSON  bool   `long:"json" description:"print JSON"`
}

func (o adminOptions) client() *operator.Client {
	return operator.NewClient(o.Admin, o.Token)
}

type checkCommand struct {
	Document string `long:"document" description:"environment's document, TOML"`
	Settings string `long:"settings" description:"settings file, TOML"`
}

// Execute checks the given files without publishing them.
func (c *checkCommand) Execute([]string) error {
	if c.Settings != "" {
		if _, err := daemon.LoadSettings(c.Settings); err != nil {
			return err
		}
		fmt.Println(c.Settings + ": fine")
	}
	if c.Document != "" {
		if _, _, err := readDocument(c.Document); err != nil {
			return err
		}
		fmt.Println(c.Document + ": fine")
	}
	return nil
}

func readDocument(file string) (*environment.Document, []byte, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, fmt.Errorf("read document: %w", err)
	}
	doc, err := environment.Parse(file, body)
	return doc, body, err
}

type baseOption struct {
	Base *int64 `long:"base" description:"version that you mean to replace; the one in force if left out, -1 for none"`
}

func (o baseOption) version() *document.Version {
	if o.Base == nil {
		return nil
	}
	v := document.Version(*o.Base)
	return &v
}

type publishCommand struct {
	adminOptions
	baseOption
	Document string `long:"document" required:"true" description:"environment's document, TOML"`
}

// Execute publishes a document to the trial stage.
func (c *publishCommand) Execute([]string) error {
	doc, body, err := readDocument(c.Document)
	if err != nil {
		return err
	}
	published, err := c.client().Publish(context.Background(), operator.PublishRequest{
		Environment: doc.Environment, ID: uuid.New(), Base: c.version(), Body: body,
	})
	return printPublished(published, err, c.JSON)
}

type promoteCommand struct {
	adminOptions
	baseOption
	Environment string `long:"environment" required:"true" description:"environment whose document in trial is promoted"`
}

// Execute promotes the environment's trial document to production.
func (c *promoteCommand) Execute([]string) error {
	published, err := c.client().Promote(context.Background(), operator.PublishRequest{
		Environment: environment.Name(c.Environment), ID: uuid.New(), Base: c.version(),
	})
	return printPublished(published, err, c.JSON)
}

func printPublished(p operator.PublishResult, err error, asJSON bool) error {
	if err != nil {
		return err
	}
	if asJSON {
		return printJSON(struct {
			Environment string `json:"environment"`
			Stage       string `json:"stage"`
			Version     int64  `json:"version"`
			Digest      string `json:"digest"`
		}{string(p.Environment), string(p.Stage), int64(p.Version), string(p.Digest)})
	}
	fmt.Printf("%s %s: version %d in force (digest %.12s)\n", p.Environment, p.Stage, p.Version, p.Digest)
	return nil
}

func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

type statusCommand struct {
	Admin []string `long:"admin" required:"true" description:"operators' address of an entry instance, IP:PORT; may be repeated"`
	Token string   `long:"token" env:"MULBERRYHEAD_TOKEN" description:"operators' bearer token"`
	JSON  bool     `long:"json" description:"print JSON, one object for each instance"`
}

// Execute prints the status of each instance. An unreachable instance does not keep
// the others from being printed; the error joins all failures.
func (c *statusCommand) Execute([]string) error {
	var failures []error
	table := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	for _, address := range c.Admin {
		status, err := operator.NewClient(address, c.Token).Status(context.Background())
		if err != nil {
			failures = append(failures, fmt.Errorf("%s: %w", address, err))
			continue
		}
		if c.JSON {
			if err := printJSON(operator.StatusToJSON(status)); err != nil {
				return err
			}
			continue
		}
		printStatus(table, status)
	}
	_ = table.Flush()
	return errors.Join(failures...)
}

func printStatus(table *tabwriter.Writer, s operator.Status) {
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(table, format, args...) }
	row("instance %s\tzone %s\tready %t\tlog read %d ms ago\tas of %d\tpeers %d\tkeys %d\n",
		s.Instance, s.Zone, s.Ready, s.LogAgeMillis, s.AsOf, len(s.Peers), s.Keys)
	for _, d := range s.Documents {
		row("  %s\t%s\tversion %d\tdigest %.12s\tapplied %t\n", d.Environment, d.Stage, d.Version, d.Digest, d.Applied)
	}
	for _, r := range s.Runners {
		row("  runner %s\tzone %s\t%s %s\tlayers %s\tleaving %t\tqueued %d\n", r.Runner, r.Zone, r.Model, r.Version, r.Layers, r.Leaving, r.Queued)
	}
}

type keyCommand struct {
	JSON bool `long:"json" description:"print JSON"`
}

const keyBytes = 32

// Execute generates a random key and prints it with its hash. Documents and settings
// hold only the hash.
func (c *keyCommand) Execute([]string) error {
	random := make([]byte, keyBytes)
	if _, err := rand.Read(random); err != nil {
		return fmt.Errorf("generate key: %w", err)
	}
	key := "mbh-" + hex.EncodeToString(random)
	hash := string(environment.HashSecret(key))
	if c.JSON {
		return printJSON(struct {
			Key  string `json:"key"`
			Hash string `json:"sha256"`
		}{key, hash})
	}
	fmt.Printf("key     %s\nsha256  %s\n", key, hash)
	return nil
}
