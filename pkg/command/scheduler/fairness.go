package scheduler

// StartTimeFair orders the requests of several teams by start-time fair queueing (Goyal, Vin
// and Cheng, 1996): while they wait, teams go on equally often, however many requests each of
// them has. All requests count the same. It lasts for one busy period, in which requests wait
// all the time.
type StartTimeFair struct {
	// served is the highest tag of a request that has gone on.
	served float64
	// next is the lowest tag that the next request of a team can have.
	next map[string]float64
}

var _ Discipline = (*StartTimeFair)(nil)

// NewStartTimeFair returns the order of a busy period that begins.
func NewStartTimeFair() *StartTimeFair {
	return &StartTimeFair{
		next: map[string]float64{},
	}
}

// Peek returns the tag of the team's next request: one more than that of its last one, but not
// less than what has been served, so that a team that sent nothing saves nothing up.
func (f *StartTimeFair) Peek(team string) float64 {
	return max(f.next[team], f.served)
}

// Begin returns the tag of the team's next request and counts that request.
func (f *StartTimeFair) Begin(team string) float64 {
	tag := f.Peek(team)
	f.next[team] = tag + 1
	return tag
}

// Served advances what has been served to a tag.
func (f *StartTimeFair) Served(tag float64) {
	f.served = max(f.served, tag)
}

// ArrivalOrder lets requests go on in the order of their arrival, whatever their team. It is
// the baseline that StartTimeFair is compared with.
type ArrivalOrder struct {
	count float64
}

var _ Discipline = (*ArrivalOrder)(nil)

// NewArrivalOrder returns the order of a busy period that begins.
func NewArrivalOrder() *ArrivalOrder {
	return &ArrivalOrder{}
}

// Peek returns the number of requests so far.
func (o *ArrivalOrder) Peek(string) float64 {
	return o.count
}

// Begin returns the number of requests before this one.
func (o *ArrivalOrder) Begin(string) float64 {
	o.count++
	return o.count - 1
}

// Served does nothing: the order does not depend on what has been served.
func (o *ArrivalOrder) Served(float64) {}
