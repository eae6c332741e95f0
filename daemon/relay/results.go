package relay

import (
	"slices"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/placing"
)

// prompt returns the prompt that an engine has to read for the request; empty if the route
// has none.
func (q *request) prompt() placing.Prompt {
	if !q.route.PrefixCaching && !q.paced {
		return placing.Prompt{}
	}
	p := placing.Prompt{
		Pool: q.service, Tokens: clampTokens(q.call.PromptTokens), Exclude: q.unwanted(),
		Hint: clampTokens(q.call.OutputHint), MaxOutput: clampTokens(q.call.OutputTokens),
	}
	if q.streamVersion != "" {
		p.Exclude = slices.Concat(p.Exclude, q.relay.options.Router.OtherVersions(q.service, q.streamVersion))
	}
	for _, part := range q.call.Prefix {
		p.Parts = append(p.Parts, placing.Part{ID: part.ID, Tokens: clampTokens(part.Tokens)})
	}
	return p
}

// maxPromptTokens limits the prompt length that a caller may declare, to a few times the
// capacity of the largest engines. Otherwise a length that overflows would be predicted to
// take no time.
const maxPromptTokens = 1 << 22

func clampTokens(n int) int { return min(max(n, 0), maxPromptTokens) }

// freeResults frees the stages' results.
func (q *request) freeResults() {
	target := ""
	if q.current != nil {
		target = q.current.target.Incarnation
	}
	q.releaseResults(target, 0)
}

// releaseResults frees the stages' results, and reports how the engine that was chosen with
// them performed: the time to the first event, or 0 without one.
func (q *request) releaseResults(engine string, firstEvent time.Duration) {
	if q.owner != "" {
		q.relay.options.Stages.Drop(q.owner, placing.RequestEnd{
			Request: q.call.ID, Engine: engine, FirstEvent: firstEvent, Running: q.relay.costs != nil && firstEvent > 0,
		})
	}
	q.dropPreparedGrant()
	q.owner, q.resultHandles, q.preferredEngine = "", nil, ""
}
