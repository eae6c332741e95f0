package routing

// discountCachedPrefix lowers each candidate's score by the cached part of the prompt.
// The discount is a share of the score: a popular prefix moves to further targets once
// those that cache it have queues, and the cache counts for more when all engines have
// queues.
func (p *pick) discountCachedPrefix(candidates []*candidate) {
	p.hashPrefix()
	total := 0
	for _, part := range p.query.Prefix {
		total += part.Tokens
	}
	if total == 0 {
		return
	}
	weight := p.table.config.CacheWeight / float64(total)
	for _, c := range candidates {
		c.cachedTokens = c.target.cachedTokens(p.now, p.query.Prefix, p.prefixHashes, p.table.config.PrefixTTL)
		discount := weight * float64(c.cachedTokens)
		c.score = discounted(c.score, discount)
		if p.readOnly {
			p.terms[c].score.CacheDiscount = discount
		}
	}
}

// byPrefix returns the candidate with the best score after the discount for its cached
// prefix. It compares all candidates, since a sample of two would mostly miss the few
// that have the prefix cached.
func (p *pick) byPrefix() (*candidate, Reason) {
	p.discountCachedPrefix(p.candidates)
	c := p.bestOfSample(len(p.candidates), func(*candidate) bool { return true })
	if c.cachedTokens > 0 {
		return c, ReasonAffinity
	}
	return c, ReasonLoad
}
