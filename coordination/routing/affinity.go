package routing

// discountCachedPrefix lowers each candidate's score by the cached part of the prompt.
// The discount is a share of the score: a popular prefix moves to further targets once
// those that cache it have queues, and the cache counts for more when all engines have
// queues.
func (p *pick) discountCachedPrefix() {
	p.hashPrefix()
	total := 0
	for _, part := range p.query.Prefix {
		total += part.Tokens
	}
	if total == 0 {
		return
	}
	weight := p.table.config.CacheWeight / float64(total)
	for _, c := range p.candidates {
		c.cachedTokens = c.target.cachedTokens(p.now, p.query.Prefix, p.prefixHashes, p.table.config.PrefixTTL)
		c.score *= 1 - weight*float64(c.cachedTokens)
	}
}

// byPrefix returns the candidate with the best score after the discount for its cached
// prefix. It compares all candidates, since a sample of two would mostly miss the few
// that have the prefix cached.
func (p *pick) byPrefix() (*candidate, Reason) {
	p.discountCachedPrefix()
	c := p.bestOfSample(len(p.candidates), func(*candidate) bool { return true })
	if c.cachedTokens > 0 {
		return c, ReasonAffinity
	}
	return c, ReasonLoad
}
