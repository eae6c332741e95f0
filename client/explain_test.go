package client

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/protocol/explainapi"
)

// Fails if a flag doesn't reach the instance, if the answer of the instance is shown in part, or if a
// script can't tell a wrong query by the exit code.
func TestExplain(t *testing.T) {
	cost := `{"target":"t@1","data_centre":"d","state":"usable","chosen":true,"cost":{"wait_ms":11,"own_ms":22,"reading_ms":33,"memory_ms":44,"slowdown":1.5,"crossing_ms":15,"penalty_ms":66,"home_ms":77,"sum_ms":180},"age_ms":70}`
	answer := `{"route":"r","service":"s","decided_by":{"role":"holder","name":"h"},"stages_decided_by":{"role":"holder","name":"k"},"knowledge_age_ms":1,"chosen":"t@1","reason":"home","random":true,
		"candidates":[` + cost + `,{"target":"u@1","state":"leaving"}],"candidates_omitted":3,"stages":[{"service":"enc","pieces":4,"wait_ms":120,"time_ms":80}],
		"refusal":{"reason":"queue_too_long","retry_after_ms":1500},"unknown":[{"what":"w","why":"y"}]}`
	score := `{"route":"r","candidates":[{"target":"t@1","state":"ejected","score":{"load":2,"slots":4,"slowdown":1.25,"cache_discount":0.5,"sum":1.75}}]}`
	problem := func(status int) http.HandlerFunc { return respondProblem(status, "not_run") }
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		args    []string
		code    int
		shown   []string
	}{
		"by cost":       {respondText(answer), nil, ExitOK, []string{"holder h", "stages decided by holder k", "66.0", "77.0", "t@1, by home", "by chance", "queue_too_long, retry after 1500 ms", "180.0", "11.0", "22.0", "33.0", "44.0", "1.50", "15.0", "70", "leaving", "3 more candidates", "120", "80", "unknown: w: y"}},
		"by the holder": {respondText(`{"candidates":[{"target":"t@1","cost":{"slowdown":1,"included_slowdown":1.25}}]}`), nil, ExitOK, []string{"(1.25)"}},
		"by load":       {respondText(score), []string{"-o", "text"}, ExitOK, []string{"ejected", "1.75", "1.25", "0.50"}},
		"JSON":          {respondText(answer), []string{"-o", "json"}, ExitOK, []string{`"reason": "queue_too_long"`}},
		"unknown route": {problem(404), nil, ExitNotFound, nil},
		"malformed":     {problem(400), nil, ExitUsage, nil},
	} {
		t.Run(name, func(t *testing.T) {
			var asked explainapi.Query
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				require.Empty(t, r.Header.Get("Authorization"))
				var err error
				asked, err = explainapi.ParseQuery(r.URL.Query())
				require.NoError(t, err)
				c.handler(w, r)
			}))
			defer server.Close()
			h := newHarness()
			args := append([]string{"explain", "--address", server.Listener.Addr().String(), "--route", "r", "--account", "a", "--prefix", "s:1,o:2",
				"--tokens", "3,4", "--hint", "5", "--pieces", "6,7", "--deadline", "6s"}, c.args...)
			require.Equal(t, c.code, h.run(args...), h.stderr.String())
			require.Equal(t, explainapi.Query{
				Route: "r", Account: "a", Prefix: []explainapi.Part{{ID: "s", Tokens: 1}, {ID: "o", Tokens: 2}},
				PromptTokens: 3, OutputTokens: 4, Hint: 5, Pieces: []int{6, 7}, Deadline: 6e9,
			}, asked)
			for _, text := range c.shown {
				require.Contains(t, h.stdout.String(), text)
			}
		})
	}
	require.Equal(t, ExitUsage, newHarness().run("explain", "--route", "r"), "no address")
}
