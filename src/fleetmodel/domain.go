package fleetmodel

// messageBytes is the size of a message between agents without the bodies: head, fields and framing.
const messageBytes = 400

// domainCount returns the number of failure domains.
func (f *Fleet) domainCount() int {
	if f.Domains > 0 {
		return f.Domains
	}
	return domains
}

// arrivalAgent returns the agent at which a new request arrives.
func (f *Fleet) arrivalAgent() *agent {
	if len(f.DomainDemand) == 0 {
		return f.agents[f.rand.IntN(len(f.agents))]
	}
	sum := 0.0
	for _, a := range f.agents {
		sum += f.demand(a)
	}
	at := f.rand.Float64() * sum
	for _, a := range f.agents {
		if at -= f.demand(a); at < 0 {
			return a
		}
	}
	return f.agents[0]
}

// demand returns the weight of an agent's failure domain in the arrivals.
func (f *Fleet) demand(a *agent) float64 {
	return f.DomainDemand[int(a.member.ID)%f.domainCount()%len(f.DomainDemand)]
}

// countMessage counts a message between two agents for a request, with a body.
func (a *agent) countMessage(to *agent, q *request, body int) {
	if a.member.Domain != to.member.Domain && q.counted {
		q.route.result.CrossBytes += messageBytes + body
	}
}
