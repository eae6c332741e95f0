package relay

import (
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/placing"
)

// prompt is what an engine is to read of the request.
func (q *request) prompt() placing.Prompt {
	if !q.route.PrefixCaching {
		return placing.Prompt{}
	}
	p := placing.Prompt{Pool: q.service, Tokens: clampTokens(q.call.PromptTokens), Exclude: q.excluded}
	for _, part := range q.call.Prefix {
		p.Parts = append(p.Parts, placing.Part{ID: part.ID, Tokens: clampTokens(part.Tokens)})
	}
	return p
}

// maxPromptTokens bounds what a caller may say of its prompt, a few times what the
// largest engines hold: a length that overflows would be predicted to take no time.
const maxPromptTokens = 1 << 22

func clampTokens(n int) int { return min(max(n, 0), maxPromptTokens) }

// dropResults gives the stages' results back.
func (q *request) freeResults() { q.releaseResults(0) }

// release gives the stages' results back and tells how the engine did that was chosen
// with them: the time to the first event, or 0 without one.
func (q *request) releaseResults(first time.Duration) {
	if q.owner != "" {
		q.relay.options.Stages.Drop(q.owner, placing.RequestEnd{Request: q.call.ID, Engine: q.target, FirstEvent: first})
	}
	q.owner, q.resultHandles, q.preferredEngine = "", nil, ""
}
