package routing

// creditPrefix takes the cached part of the prompt off each candidate's score.
// The credit is a share of the score, so a popular prefix spreads once its
// holders queue, and holders are used all the more when all engines queue.
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

// byPrefix returns the best candidate, the cached prefix counted. All of them
// are compared: a sample of two would mostly miss the few holders.
func (p *pick) byPrefix() (*candidate, Reason) {
	p.discountCachedPrefix()
	c := p.bestOfSample(len(p.candidates), func(*candidate) bool { return true })
	if c.cachedTokens > 0 {
		return c, ReasonAffinity
	}
	return c, ReasonLoad
}
