package retry

const (
	// earned is the part of a retry that one success earns.
	earned = 0.1
	// savings is how many retries can be saved up.
	savings = 32.0
)

// Budget lets about one request in ten be sent again: successes earn
// retries, retries spend them. It is not safe for concurrent use.
type Budget struct {
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget {
	return &Budget{tokens: savings}
}

// RecordSuccess earns a part of a retry.
func (b *Budget) RecordSuccess() {
	b.tokens = min(b.tokens+earned, savings)
}

// Spend takes one retry, and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the retries that are left.
func (b *Budget) Tokens() float64 { return b.tokens }
