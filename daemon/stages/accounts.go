package stages

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// methodAccounts returns the shares of client accounts at the holder of the queue.
const methodAccounts = "stages.accounts"

const (
	// accountsTimeout limits the query to the holder: an operator waits for the answer.
	accountsTimeout = time.Second
	// maxAccountShares limits the accounts of one answer, to some 4 KB.
	maxAccountShares = 64
)

// AccountShares returns the shares of client accounts at the holder of the queue, and the holder's name,
// also with an error.
func (s *Stages) AccountShares(ctx context.Context) (string, []gather.AccountShare, error) {
	view := s.cluster.View()
	holder := s.expectedHolder(time.Now())
	if holder.Name == view.Self {
		return holder.Name, s.queue.accountShares(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, accountsTimeout)
	defer cancel()
	body, err := s.cluster.Call(ctx, holder.Address, methodAccounts, nil)
	if err != nil {
		return holder.Name, nil, errors.Wrapf(err, "ask %s for the shares of accounts", holder.Name)
	}
	var shares []gather.AccountShare
	if err := msgpack.Unmarshal(body, &shares); err != nil {
		return holder.Name, nil, errors.Wrapf(err, "decode the shares of accounts of %s", holder.Name)
	}
	return holder.Name, shares, nil
}

func (s *Stages) handleAccounts(context.Context, peer.Peer, []byte) ([]byte, error) {
	return encode(s.queue.accountShares())
}

func (q *queue) accountShares() []gather.AccountShare {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.planner.AccountShares(time.Now(), maxAccountShares)
}
