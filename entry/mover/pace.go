package mover

const (
	// paceDivisor is the ratio of the most hosts that may be leaving at once to the fewest.
	paceDivisor = 8
	// paceBackoff is the part of the hosts by which their number falls with an order that the machine service does not
	// take.
	paceBackoff = 1.0 / 8
)

// pace is how many hosts may be leaving for moves at once: as many as the machine service takes orders for in a second. It falls while
// the service does not take orders, so that hosts work until theirs is taken.
type pace struct{ limit, most float64 }

func newPace(ordersPerSecond float64) pace { return pace{ordersPerSecond, ordersPerSecond} }

// taken records that the service has taken an order.
func (p *pace) taken() { p.limit = min(p.limit+1, p.most) }

// notTaken records that the service has refused an order for now or has not answered it.
func (p *pace) notTaken() { p.limit = max(p.limit-p.limit*paceBackoff, p.most/paceDivisor) }

// hosts returns the number of hosts that may be leaving at once.
func (p *pace) hosts() int { return max(int(p.limit), 1) }
