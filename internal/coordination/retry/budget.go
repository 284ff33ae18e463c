package retry

const (
	// retriesPerSuccess is the fraction of a retry that each success adds to
	// the budget.
	retriesPerSuccess = 0.1
	// maxSavedRetries is the largest number of unspent retries in a budget.
	maxSavedRetries = 32.0
)

// Budget is a token bucket that limits retries to about one in ten requests:
// each success adds a fraction of a retry, each retry removes a whole one. It
// is not safe for concurrent use.
type Budget struct {
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget {
	return &Budget{tokens: maxSavedRetries}
}

// RecordSuccess adds the fraction of a retry that a success is worth.
func (b *Budget) RecordSuccess() {
	b.tokens = min(b.tokens+retriesPerSuccess, maxSavedRetries)
}

// Spend removes one retry from the budget and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the number of retries left.
func (b *Budget) Tokens() float64 { return b.tokens }
