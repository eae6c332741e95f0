package client

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

func (a *app) requestCommand() *cli.Command {
	return &cli.Command{
		Name:  "request",
		Usage: "ask about requests",
		Commands: []*cli.Command{{
			Name:      "show",
			Usage:     "show how a request and each of its stages fared",
			ArgsUsage: "ID",
			Action:    action(1, "ID", a.showRequest),
		}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return usagef("request needs a command: show ID")
		},
	}
}

func (a *app) showRequest(ctx context.Context, cmd *cli.Command) error {
	instance, err := a.newInstanceClient(cmd)
	if err != nil {
		return err
	}
	var status callerapi.RequestStatus
	err = instance.do(ctx, call{
		method: http.MethodGet,
		path:   "/v1/requests/" + url.PathEscape(cmd.Args().First()),
		read:   func(r *http.Response) error { return readJSON(r, &status) },
	})
	if err != nil {
		return notFoundOr(err)
	}
	if cmd.String(flagOutput) == outputJSON {
		return printJSON(a.Stdout, status)
	}
	fmt.Fprintf(a.Stdout, "request %s: %s %s, pipeline %s schema version %d, account %s, tier %s, %d of %d ms\n",
		status.RequestID, status.State, status.Outcome, status.Pipeline, status.SchemaVersion,
		status.Account, status.Tier, status.ElapsedMS, status.DeadlineMS)
	return attemptTable(status.Stages).write(a.Stdout)
}

// notFoundOr replaces an instance's 404 with platform.ErrNotFound, which has its
// own exit code, and returns any other error unchanged.
func notFoundOr(err error) error {
	var refusal *RequestError
	if errors.As(err, &refusal) && refusal.Problem.Status == http.StatusNotFound {
		return errors.Wrap(platform.ErrNotFound, refusal.Problem.Detail)
	}
	return err
}

func attemptTable(stages []callerapi.StageStatus) table {
	t := table{header: []string{"STAGE", "ATTEMPT", "TARGET", "RESULT", "MS", "WORK MS", "TOKENS", "PREFILL", "ERROR"}}
	for _, stage := range stages {
		for _, at := range stage.Attempts {
			t.rows = append(t.rows, []string{stage.Stage, at.AttemptID, at.Target, at.Result, formatCount(at.ElapsedMS),
				formatCount(at.WorkMS), formatCount(int64(at.Tokens)), formatCount(int64(at.PrefillTokens)), at.Error})
		}
	}
	return t
}

func formatCount(n int64) string { return strconv.FormatInt(n, 10) }
