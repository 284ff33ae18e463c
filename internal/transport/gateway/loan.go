package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"bluebellcrank/internal/coordination/balance"
	"bluebellcrank/internal/state/event"
)

const (
	// pathLoan lends other entries attempts at targets that name a limit.
	pathLoan = "/limits/loan"
	// maxLoanRequests is how many other entries are asked for one request.
	maxLoanRequests = 2
	// loanTimeout bounds one of these calls, which the client waits for.
	loanTimeout = 50 * time.Millisecond
)

// loanReply answers another entry that asks for an attempt.
type loanReply struct {
	Lent bool `json:"lent"`
	// WaitMs is the time in ms until there may be an attempt to lend.
	WaitMs int64 `json:"wait-ms"`
}

// serveLoan lends another entry an attempt.
func (l *limitList) serveLoan(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	startedAtMs, err := strconv.ParseInt(query.Get("started-at-ms"), 10, 64)
	if err != nil || r.Method != http.MethodPost {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	lent, wait := l.fleet.Lend(query.Get("target"), startedAtMs, time.Now())
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the other entry has disconnected.
	_ = json.NewEncoder(w).Encode(loanReply{Lent: lent, WaitMs: wait.Milliseconds()})
}

// borrow asks other entries for an attempt at a target whose limit leaves this entry none,
// and returns a lease on that target, or nil.
func (l *limitList) borrow(ctx context.Context, r balance.Request) *balance.Lease {
	for _, loan := range l.fleet.Loans(r, maxLoanRequests, time.Now()) {
		reply, err := l.askForLoan(ctx, loan)
		now := time.Now()
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			event.LoanFailed.Log(l.log, "entry", loan.Entry, "target", loan.Target, "error", err.Error())
			l.fleet.RecordLoanRefused(loan, balance.Never, now)
		case !reply.Lent:
			l.fleet.RecordLoanRefused(loan, time.Duration(reply.WaitMs)*time.Millisecond, now)
		default:
			if lease := l.fleet.Take(loan, r, now); lease != nil {
				l.loans.Inc()
				return lease
			}
		}
	}
	return nil
}

func (l *limitList) askForLoan(ctx context.Context, loan balance.Loan) (loanReply, error) {
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	address, err := l.exchange.peers.addressOf(loan.Entry)
	if err != nil {
		return loanReply{}, err
	}
	query := url.Values{"target": {loan.Target}, "started-at-ms": {strconv.FormatInt(loan.StartedAtMs, 10)}}
	var reply loanReply
	err = l.exchange.peers.call(ctx, http.MethodPost, "http://"+address+pathLoan+"?"+query.Encode(), &reply)
	return reply, err
}
