package target

import (
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

const (
	// maxKeptOrders bounds the log of applied orders.
	maxKeptOrders = 1024
	// maxLoaded bounds the number of loaded models, and that of adapters.
	maxLoaded = 64
)

var (
	errOldFencing    = errors.New("fencing number is old")
	errBadAction     = errors.New("unknown action")
	errTooManyLoaded = errors.New("no room to load more")
)

// orderState is the state of a target that orders change.
type orderState struct {
	checksFencing bool
	anyModel      bool
	anyAdapter    bool

	mu       sync.Mutex
	fencing  uint64
	models   []string
	adapters []string
	version  string
	role     string
	applied  []targetapi.Order
}

func newOrderState(options Options) *orderState {
	return &orderState{
		checksFencing: options.ChecksFencing,
		anyModel:      options.Models == nil,
		anyAdapter:    options.Adapters == nil,
		models:        slices.Clone(options.Models),
		adapters:      slices.Clone(options.Adapters),
	}
}

// accept checks and records an order's fencing number before the order takes
// effect.
func (s *orderState) accept(order targetapi.Order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkFencing(order); err != nil {
		return err
	}
	s.fencing = max(s.fencing, order.Fencing)
	return nil
}

// apply makes an accepted order take effect. It checks the fencing number again,
// since a newer lease holder may have sent orders during the load time.
func (s *orderState) apply(order targetapi.Order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkFencing(order); err != nil {
		return err
	}
	if err := s.execute(order); err != nil {
		return err
	}
	s.applied = append(s.applied, order)
	if len(s.applied) > maxKeptOrders {
		s.applied = s.applied[1:]
	}
	return nil
}

func (s *orderState) checkFencing(order targetapi.Order) error {
	if s.checksFencing && order.Fencing < s.fencing {
		return errOldFencing
	}
	return nil
}

func (s *orderState) execute(order targetapi.Order) (err error) {
	switch order.Action {
	case targetapi.ActionLoadModel:
		s.models, err = load(s.models, order.Value)
	case targetapi.ActionLoadAdapter:
		s.adapters, err = load(s.adapters, order.Value)
	case targetapi.ActionSetVersion:
		s.version = order.Value
	case targetapi.ActionSetRole:
		s.role = order.Value
	default:
		err = errBadAction
	}
	return err
}

func load(loaded []string, name string) ([]string, error) {
	if slices.Contains(loaded, name) {
		return loaded, nil
	}
	if len(loaded) == maxLoaded {
		return loaded, errTooManyLoaded
	}
	return append(loaded, name), nil
}

// addTo adds the state to a load report.
func (s *orderState) addTo(load *targetapi.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	load.Models = slices.Clone(s.models)
	load.Adapters = slices.Clone(s.adapters)
	load.Version = s.version
	load.Role = s.role
	load.Fencing = s.fencing
}

// isLoaded reports whether the model and the adapter of a call are loaded.
func (s *orderState) isLoaded(model, adapter string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	modelLoaded := model == "" || s.anyModel || slices.Contains(s.models, model)
	adapterLoaded := adapter == "" || s.anyAdapter || slices.Contains(s.adapters, adapter)
	return modelLoaded && adapterLoaded
}

// list returns the orders that took effect, the oldest first.
func (s *orderState) list() []targetapi.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.applied)
}
