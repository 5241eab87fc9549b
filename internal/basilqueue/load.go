package basilqueue

// Load is what one service is asked for at this entry host.
type Load struct {
	Running int // jobs at backend servers
	Waiting int // jobs in line
}

// Loads returns the load of each service.
func (q *Queues) Loads() map[string]Load {
	all := make(map[string]Load)
	for _, u := range *q.list.Load() {
		all[u.service] = u.load()
	}
	return all
}

func (q *Queue) load() Load {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	l := Load{Running: q.line.running}
	for _, k := range ClassValues() {
		l.Waiting += q.line.lanes[k].size
	}
	return l
}
