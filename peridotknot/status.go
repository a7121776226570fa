package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"peridotknot.example/pkentry"
)

func addStatus(p *flags.Parser) error {
	return addCommand(p, "status", "show the status of entries", &statusCommand{})
}

type statusCommand struct {
	Entries []string `long:"entry" required:"yes" description:"admin address of an entry, IP and port; may be repeated"`
}

// statusRow is the status of an entry, or the error of reading it.
type statusRow struct {
	Admin  string          `json:"admin"`
	Status *pkentry.Status `json:"status,omitempty"`
	Error  string          `json:"error,omitempty"`
}

// Execute prints the status of each entry.
func (c *statusCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var rows []statusRow
	for _, admin := range c.Entries {
		row := statusRow{Admin: admin}
		s, err := readStatus(ctx, admin)
		if err != nil {
			row.Error = err.Error()
		} else {
			row.Status = &s
		}
		rows = append(rows, row)
	}
	if options.Output == "json" {
		return json.NewEncoder(os.Stdout).Encode(rows)
	}
	return printStatus(rows)
}

func readStatus(ctx context.Context, admin string) (pkentry.Status, error) {
	var s pkentry.Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+pkentry.PathStatus, http.NoBody)
	if err != nil {
		return s, badInput("%w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, err
	}
	defer func() { _ = resp.Body.Close() }()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

func printStatus(rows []statusRow) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	for _, row := range rows {
		if row.Status == nil {
			fmt.Fprintf(w, "%s\tdoes not answer: %s\n", row.Admin, row.Error)
			continue
		}
		s := row.Status
		state := "ready"
		if !s.Ready {
			state = "not ready: " + s.Reason
		}
		store := "store ok"
		if !s.StoreOK {
			store = "store down"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\trevision %d for %s\t%s\t%s\n", s.Entry, s.DataCenter, state, s.Revision, s.InForceFor, store, s.Alarm)
		fmt.Fprintf(w, "  neighbors %v\towns %v\t%d store calls\n", s.Neighbors, s.Owns, s.StoreCalls)
		for _, p := range s.Pools {
			fmt.Fprintf(w, "  %s\t%d targets\t%d usable\t%d leaving\t%d running\t%d waiting\n", p.Pool, p.Targets, p.Usable, p.Leaving, p.InFlight, p.Waiting)
		}
	}
	return w.Flush()
}
