package capacity

import (
	"math/rand/v2"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/budget"
	"github.com/ivyhollow/ivyhollow/daemon/accounts"
	"github.com/ivyhollow/ivyhollow/protocol/peer"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// Parameters of the measurement of account budgets.
const (
	// accountSampling is the number of accounts for each one that is simulated.
	// Accounts are independent of each other except for the limit on remembered
	// accounts, which is divided by accountSampling as well.
	accountSampling = 32
	ledgerWarmUp    = 240 * time.Second
	ledgerLength    = 60 * time.Second
	budgetHeadroom  = 3.0
	ledgerStep      = 50 * time.Millisecond
)

// ledgerFleet simulates the budget ledgers of all instances in virtual time.
type ledgerFleet struct {
	now      time.Time
	ledgers  []*budget.Ledger
	byName   map[string]*budget.Ledger
	accounts []*catalog.Account
	rng      *rand.Rand

	grantRequests, bytes, served, refused int
}

// newLedgerFleet returns a fleet with n accounts that together send the design
// rate. The budget of each is budgetHeadroom times its mean rate.
func newLedgerFleet(n, remembered int) *ledgerFleet {
	f := &ledgerFleet{now: time.Unix(1_000_000, 0), byName: map[string]*budget.Ledger{}, rng: rand.New(rand.NewPCG(3, 4))}
	members := make([]string, designNodes)
	for i := range members {
		members[i] = instanceName(i)
	}
	for _, name := range members {
		l := budget.NewLedger(f.now, budget.Config{Self: name, MaxAccounts: remembered})
		l.SetMembers(f.now, members, len(members))
		f.ledgers = append(f.ledgers, l)
		f.byName[name] = l
	}
	rate := budgetHeadroom * designRequestRate * designNodes / accountSampling / float64(n)
	for i := range n {
		f.accounts = append(f.accounts, &catalog.Account{Name: accountName(i), RequestsPerSecond: rate, Burst: 10 * rate})
	}
	return f
}

func (f *ledgerFleet) run(d time.Duration) {
	const perStep = designRequestRate * designNodes / accountSampling * float64(ledgerStep) / float64(time.Second)
	due := 0.0
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(ledgerStep) {
		for due += perStep; due >= 1; due-- {
			f.sendRequest()
		}
	}
}

// sendRequest sends a request of a random account to a random instance.
func (f *ledgerFleet) sendRequest() {
	account := f.accounts[f.rng.IntN(len(f.accounts))]
	ledger := f.ledgers[f.rng.IntN(len(f.ledgers))]
	for range 2 {
		decision := ledger.Allow(f.now, account)
		if decision.Request != nil {
			f.requestGrant(ledger, *decision.Request, account)
		}
		switch decision.Verdict {
		case budget.Allowed:
			f.served++
			return
		case budget.Refused:
			f.refused++
			return
		}
	}
	f.refused++
}

func (f *ledgerFleet) requestGrant(from *budget.Ledger, request budget.GrantRequest, account *catalog.Account) {
	grant := f.byName[request.Home].Grant(f.now, request, account)
	from.ApplyGrant(f.now, grant)
	f.grantRequests++
	f.bytes += frameSize(&request, func(body []byte) peer.Message {
		return &peer.Request{ID: 1 << 20, Method: accounts.MethodGrant, TimeoutMillis: 50, Body: body}
	}) + frameSize(&grant, func(body []byte) peer.Message { return &peer.Response{ID: 1 << 20, Body: body} })
}

// frameSize returns the size in bytes of the frame of a message with the
// encoded value as its body.
func frameSize(value any, message func([]byte) peer.Message) int {
	body, err := msgpack.Marshal(value)
	if err != nil {
		return 0
	}
	frame, err := peer.Encode(message(body))
	if err != nil {
		return 0
	}
	return len(frame)
}

func measureBudgets(o Options) ([]Series, error) {
	var all []Series
	for _, remembered := range []int{budget.DefaultMaxAccounts, 2 * designAccounts} {
		all = append(all, measureLedgers(o, remembered)...)
	}
	return all, nil
}

func measureLedgers(o Options, remembered int) []Series {
	name := "4,096 accounts remembered: "
	if remembered > budget.DefaultMaxAccounts {
		name = "all accounts remembered: "
	}
	series := func(quantity, unit string, limit float64) Series {
		return Series{Quantity: name + quantity, Unit: unit, SizeUnit: "account", DesignSize: designAccounts, Budget: limit}
	}
	grantRequests := series("questions", "1/s a node", 0)
	bytes := series("questions and grants", "B/s a node", sendBudget)
	refused := series("refused within budget", "%", 0)
	memory := series("ledger", "MB a node", memoryBudget)
	for _, n := range o.sizes(1000, 8000, 32000) {
		var f *ledgerFleet
		size := heapSize(func() any {
			f = newLedgerFleet(max(n/accountSampling, 1), max(remembered/accountSampling, 1))
			f.run(ledgerWarmUp)
			return f
		})
		f.grantRequests, f.bytes, f.served, f.refused = 0, 0, 0, 0
		f.run(ledgerLength)
		perNode := accountSampling / float64(designNodes) / ledgerLength.Seconds()
		grantRequests.add(n, float64(f.grantRequests)*perNode)
		bytes.add(n, float64(f.bytes)*perNode)
		refused.add(n, 100*float64(f.refused)/float64(max(f.refused+f.served, 1)))
		memory.add(n, size*accountSampling/designNodes/megabyte)
	}
	return []Series{grantRequests, bytes, refused, memory}
}
