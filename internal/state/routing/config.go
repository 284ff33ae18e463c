package routing

// Config is one decoded version of the configuration: the table that entries use, and
// the lists that it was made from, in their order.
type Config struct {
	Table    *Table
	Routes   []*Route
	Services []*Service
	Accounts []AccountKeys
}

// AccountKeys are the API keys of a client account; there may be none.
type AccountKeys struct {
	Account *Account
	Keys    []string
}
