package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

// nodeMetricsPort is the port at which a node explains if its address has none.
const nodeMetricsPort = "9464"

// maxExplanation bounds what is read of an explanation, in bytes.
const maxExplanation = 16 << 20

// explanation is what a node answers; times are in milliseconds.
type explanation struct {
	Route      string               `json:"route"`
	Service    string               `json:"service"`
	Team       string               `json:"team"`
	Priority   int                  `json:"priority"`
	Verdict    string               `json:"verdict"`
	DecidedBy  string               `json:"decided_by"`
	Queued     int                  `json:"queued"`
	Candidates []explainedCandidate `json:"candidates"`
}

type explainedCandidate struct {
	Endpoint    string  `json:"endpoint"`
	DataCentre  string  `json:"data_centre"`
	Excluded    string  `json:"excluded"`
	Share       float64 `json:"share"`
	CostMS      float64 `json:"cost_ms"`
	InFlight    int     `json:"in_flight"`
	OtherLoad   float64 `json:"other_load"`
	Slots       int     `json:"slots"`
	ReportAgeMS float64 `json:"report_age_ms"`
	Parts       []struct {
		Name   string  `json:"name"`
		CostMS float64 `json:"cost_ms"`
	} `json:"parts"`
}

// explain asks a node where a request would go. It needs no admin.
func (c *client) explain() *cobra.Command {
	var node string
	texts := map[string]*string{}
	numbers := map[string]*int{}
	cmd := &cobra.Command{
		Use:     "explain",
		Short:   "show where a node would send a request now, and why",
		Long:    "Asks a node (chestnut-node) where a request would go now, without sending it: each endpoint, what excludes it, the parts of its cost, how often it would be chosen, and the age of what is known.",
		Example: "  chestnutctl explain --node 10.0.3.7 --host shop.example --path /v1/chat --model assistant --max-tokens 80",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if node == "" {
				return usageError{fmt.Errorf("--node is missing")}
			}
			query := url.Values{}
			for name, text := range texts {
				query.Set(name, *text)
			}
			for name, number := range numbers {
				query.Set(name, strconv.Itoa(*number))
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), c.timeout)
			defer cancel()
			body, err := askNode(ctx, node, query)
			if err != nil {
				return err
			}
			if c.output == outputJSON {
				_, err := cmd.OutOrStdout().Write(body)
				return err
			}
			return printExplanation(cmd.OutOrStdout(), body)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&node, "node", "", "address of the node, with the port of its metrics if that is not "+nodeMetricsPort)
	for name, usage := range map[string]string{"host": "host of the request", "path": "path of the request", "model": "model", "adapter": "adapter", "team": "name of the caller's team", "prompt": "parts of the prompt, ID:TOKENS, comma-separated"} {
		texts[name] = flags.String(flagName(name), "", usage)
	}
	for name, usage := range map[string]string{"prompt_tokens": "tokens of the prompt", "max_tokens": "maximum tokens of the output", "body_bytes": "bytes of the body"} {
		numbers[name] = flags.Int(flagName(name), 0, usage)
	}
	return cmd
}

// flagName returns the flag for a parameter of the query.
func flagName(parameter string) string { return strings.ReplaceAll(parameter, "_", "-") }

// askNode returns a node's explanation, as JSON.
func askNode(ctx context.Context, node string, query url.Values) ([]byte, error) {
	if _, _, err := net.SplitHostPort(node); err != nil {
		node = net.JoinHostPort(node, nodeMetricsPort)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+"/explain?"+query.Encode(), nil)
	if err != nil {
		return nil, usageError{err}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "explain")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxExplanation))
	if err != nil {
		return nil, eris.Wrap(err, "explain")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("node %s: %s", node, strings.TrimSpace(string(body)))
	}
	return body, nil
}

// printExplanation prints an explanation as a table.
func printExplanation(out io.Writer, body []byte) error {
	var e explanation
	if err := json.Unmarshal(body, &e); err != nil {
		return eris.Wrap(err, "explain")
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(table, "ROUTE\t%s\nSERVICE\t%s\nTEAM\t%s\nPRIORITY\t%d\nVERDICT\t%s\nDECIDED BY\t%s\nQUEUED\t%d\n\n", e.Route, e.Service, e.Team, e.Priority, e.Verdict, e.DecidedBy, e.Queued)
	fmt.Fprintln(table, "ENDPOINT\tDATA CENTRE\tSHARE\tCOST MS\tPARTS\tOWN\tOTHERS\tSLOTS\tREPORT AGE MS\tEXCLUDED")
	for _, c := range e.Candidates {
		parts := make([]string, 0, len(c.Parts))
		for _, part := range c.Parts {
			parts = append(parts, fmt.Sprintf("%s=%.1f", part.Name, part.CostMS))
		}
		age := "-"
		if c.ReportAgeMS >= 0 {
			age = fmt.Sprintf("%.0f", c.ReportAgeMS)
		}
		fmt.Fprintf(table, "%s\t%s\t%.2f\t%.1f\t%s\t%d\t%.1f\t%d\t%s\t%s\n", c.Endpoint, c.DataCentre, c.Share, c.CostMS, strings.Join(parts, " "), c.InFlight, c.OtherLoad, c.Slots, age, c.Excluded)
	}
	return table.Flush()
}
