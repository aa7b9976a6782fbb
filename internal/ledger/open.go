package ledger

// While the table fails, a program can begin all the same: the node that sees
// its first turn hands out a part of its budget on its own, and other nodes
// refuse its turns until the table is back. Should that node die, what it handed
// out is forgotten. So whoever creates the account of a program that, by the
// looks of its turn, has begun before, charges that part from the start. A
// program without end gets no more for having begun during an outage, and
// usual ones need less than is left.
//
// Turns that are kept cannot do this: their record must outlast all machines. So
// neither is anything charged for them.

// open takes the turn's tokens without the table, if the program may go on so.
func (e *entry) open(ask Ask) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if ask.Input > 0 || e.known {
		return false
	}
	e.opened = e.opened || ask.First
	if !e.opened || e.unsettled+e.underWay+ask.Most > ask.Budget/openShare {
		return false
	}
	e.underWay += ask.Most
	return true
}

// newAccount returns the account of a program that has none. The mutex is held.
func (e *entry) newAccount(ask Ask) Account {
	account := Account{Budget: e.budget}
	if ask.Most > 0 && ask.Input == 0 && !ask.First && !e.opened {
		account.Spent = e.budget / openShare
	}
	return account
}
