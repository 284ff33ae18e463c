package admission

// minSweepAccounts is the number of accounts below which a clock keeps idle ones.
const minSweepAccounts = 1024

// FairClock orders the requests of competing accounts by start-time fair queueing (Goyal,
// Vin and Cheng, 1996). It is not safe for concurrent use.
type FairClock struct {
	// virtualTime is the largest start tag of the requests admitted so far.
	virtualTime float64
	// finishTags has the virtual time at which each account's last request ends.
	finishTags map[string]float64
	// nextSweepSize is the number of accounts at which idle ones are deleted next.
	nextSweepSize int
}

// NewFairClock returns a clock at virtual time 0.
func NewFairClock() *FairClock {
	return &FairClock{finishTags: map[string]float64{}, nextSweepSize: minSweepAccounts}
}

// Tag returns the start tag of an account's next request, whose cost is in units of work
// divided by the account's weight. Requests run in the order of their tags.
func (c *FairClock) Tag(account string, cost float64) float64 {
	finish, found := c.finishTags[account]
	if !found {
		c.sweep()
	}
	tag := max(c.virtualTime, finish)
	c.finishTags[account] = tag + cost
	return tag
}

// Admit records that the request with a tag runs.
func (c *FairClock) Admit(tag float64) { c.virtualTime = max(c.virtualTime, tag) }

// Withdraw takes back the last tag of an account, whose request does not run.
func (c *FairClock) Withdraw(account string, tag float64) { c.finishTags[account] = tag }

// sweep deletes the accounts whose requests have all run. It runs each time the number of
// accounts has doubled.
func (c *FairClock) sweep() {
	if len(c.finishTags) < c.nextSweepSize {
		return
	}
	for account, finish := range c.finishTags {
		if finish <= c.virtualTime {
			delete(c.finishTags, account)
		}
	}
	c.nextSweepSize = max(minSweepAccounts, 2*len(c.finishTags))
}
