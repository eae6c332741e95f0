package client

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/ivyhollow/ivyhollow/protocol/explainapi"
)

// flagAddress is the admin address of an instance, which isn't that for callers.
const flagAddress = "address"

// explainParameters are the parameters of a query, each of which is a flag of the same name.
var explainParameters = []struct{ name, usage string }{
	{explainapi.ParamRoute, "`ROUTE` of the request"},
	{explainapi.ParamAccount, "`NAME` of a client account"},
	{explainapi.ParamPrefix, "parts of the prompt, `ID:TOKENS,ID:TOKENS`"},
	{explainapi.ParamTokens, "`NUMBERS` of prompt tokens and at most of output tokens, such as 1460,80"},
	{explainapi.ParamHint, "estimated `NUMBER` of output tokens"},
	{explainapi.ParamPieces, "`NUMBERS` of pieces of each stage, such as 4,1"},
	{explainapi.ParamDeadline, "`TIME` that the caller waits, such as 6s"},
}

func (a *app) explainCommand() *cli.Command {
	cmd := &cli.Command{
		Name:   "explain",
		Usage:  "show where an instance would send a request now, and why, without sending it",
		Action: action(0, "none", a.explain),
		Flags:  []cli.Flag{&cli.StringFlag{Name: flagAddress, Usage: "admin `ADDRESS` of the instance, the one that serves /metrics"}},
	}
	for _, p := range explainParameters {
		cmd.Flags = append(cmd.Flags, &cli.StringFlag{Name: p.name, Usage: p.usage})
	}
	return cmd
}

func (a *app) explain(ctx context.Context, cmd *cli.Command) error {
	address, query := cmd.String(flagAddress), url.Values{}
	if address == "" {
		return usagef("name the admin address of an instance with --%s", flagAddress)
	}
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	for _, p := range explainParameters {
		if cmd.IsSet(p.name) {
			query.Set(p.name, cmd.String(p.name))
		}
	}
	instance := &instanceClient{http: a.HTTP, base: strings.TrimSuffix(address, "/")}
	var answer explainapi.Answer
	err := instance.do(ctx, call{
		method: http.MethodGet,
		path:   explainapi.Path + "?" + query.Encode(),
		read:   func(r *http.Response) error { return readJSON(r, &answer) },
	})
	var refusal *RequestError
	if errors.As(err, &refusal) && refusal.Problem.Status == http.StatusBadRequest {
		return usagef("--%s: %s", refusal.Problem.Field, refusal.Problem.Detail)
	}
	if err != nil {
		return notFoundOr(err)
	}
	if cmd.String(flagOutput) == outputJSON {
		return printJSON(a.Stdout, answer)
	}
	return writeExplanation(a.Stdout, &answer)
}

func writeExplanation(w io.Writer, answer *explainapi.Answer) error {
	fmt.Fprintf(w, "route %s, service %s, decided by %s %s, targets known %.0f ms ago\n",
		answer.Route, answer.Service, answer.DecidedBy.Role, answer.DecidedBy.Name, answer.KnowledgeAgeMS)
	if d := answer.StagesDecidedBy; d != nil {
		fmt.Fprintf(w, "stages decided by %s %s\n", d.Role, d.Name)
	}
	if r := answer.Refusal; r != nil {
		fmt.Fprintf(w, "refused: %s, retry after %.0f ms\n", r.Reason, r.RetryAfterMS)
	}
	if answer.Chosen != "" {
		byChance := ""
		if answer.Random {
			byChance = "; another request may be sent elsewhere by chance"
		}
		fmt.Fprintf(w, "target: %s, by %s%s\n", answer.Chosen, answer.Reason, byChance)
	}
	if len(answer.Stages) > 0 {
		fmt.Fprintln(w)
		if err := stagesTable(answer.Stages).write(w); err != nil {
			return err
		}
	}
	if len(answer.Candidates) > 0 {
		fmt.Fprintln(w)
		if err := candidatesTable(answer.Candidates).write(w); err != nil {
			return err
		}
	}
	if answer.CandidatesOmitted > 0 {
		fmt.Fprintf(w, "%d more candidates are left out\n", answer.CandidatesOmitted)
	}
	for _, u := range answer.Unknown {
		fmt.Fprintf(w, "unknown: %s: %s\n", u.What, u.Why)
	}
	return nil
}

func stagesTable(stages []explainapi.Stage) table {
	t := table{header: []string{"STAGE", "PIECES", "WAIT MS", "TIME MS"}}
	for _, s := range stages {
		t.rows = append(t.rows, []string{s.Service, strconv.Itoa(s.Pieces), formatNumber(s.WaitMS, 0), formatNumber(s.TimeMS, 0)})
	}
	return t
}

// candidatesTable has the columns of costs or those of scores, whichever the candidates have.
func candidatesTable(candidates []explainapi.Candidate) table {
	byCost := false
	for _, c := range candidates {
		byCost = byCost || c.Cost != nil
	}
	t := table{header: []string{"", "TARGET", "DATA CENTRE", "STATE", "AGE MS", "CACHED", "SCORE", "LOAD", "SLOTS", "SLOWDOWN", "CACHE DISCOUNT"}}
	if byCost {
		t.header = append(t.header[:6], "COST MS", "WAIT", "OWN", "READING", "MEMORY", "SLOWDOWN", "CROSSING", "PENALTY", "HOME")
	}
	for _, c := range candidates {
		mark, age := "", "-"
		if c.Chosen {
			mark = "*"
		}
		if c.AgeMS != nil {
			age = formatNumber(*c.AgeMS, 0)
		}
		row := []string{mark, c.Target, c.DataCentre, c.State, age, strconv.Itoa(c.CachedTokens)}
		if s := c.Score; s != nil {
			row = append(row, formatNumber(s.Sum, 2), formatNumber(s.Load, 1), formatNumber(s.Slots, 0), formatNumber(s.Slowdown, 2), formatNumber(s.CacheDiscount, 2))
		}
		if s := c.Cost; s != nil {
			row = append(row, formatNumber(s.SumMS, 1), formatNumber(s.WaitMS, 1), formatNumber(s.OwnMS, 1), formatNumber(s.ReadingMS, 1),
				formatNumber(s.MemoryMS, 1), formatSlowdown(s), formatNumber(s.CrossingMS, 1),
				formatNumber(s.PenaltyMS, 1), formatNumber(s.HomeMS, 1))
		}
		t.rows = append(t.rows, row)
	}
	return t
}

// formatSlowdown marks a slowdown that the other terms contain already.
func formatSlowdown(c *explainapi.Cost) string {
	if c.IncludedSlowdown > 0 {
		return "(" + formatNumber(c.IncludedSlowdown, 2) + ")"
	}
	return formatNumber(c.Slowdown, 2)
}

func formatNumber(n float64, decimals int) string { return strconv.FormatFloat(n, 'f', decimals, 64) }
