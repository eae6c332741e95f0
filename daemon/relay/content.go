package relay

import "github.com/ivyhollow/ivyhollow/coordination/quarantine"

// digest returns the digest of what the request's repeats have in common. It must not be
// called before the body was read.
func (q *request) digest() quarantine.Digest {
	if q.content == nil {
		content := quarantine.DigestOf(q.r.Host, q.r.URL.RequestURI(), q.account, q.body)
		q.content = &content
	}
	return *q.content
}
