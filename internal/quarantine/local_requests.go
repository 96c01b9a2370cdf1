package quarantine

import "time"

// localRequests records the requests that the local host has in flight at each target, the requests whose
// connections broke there recently, and the requests that were answered recently. It is not safe for
// concurrent use.
type localRequests struct {
	running  map[targetKey]map[Fingerprint]int       // number of requests in flight
	broken   map[targetKey]map[Fingerprint]time.Time // time of the latest broken connection
	answered map[Fingerprint]time.Time               // time of the latest complete response
}

// maxAnswered is the maximum number of entries in localRequests.answered.
const maxAnswered = 8192

func newLocalRequests() localRequests {
	return localRequests{
		running:  map[targetKey]map[Fingerprint]int{},
		broken:   map[targetKey]map[Fingerprint]time.Time{},
		answered: map[Fingerprint]time.Time{},
	}
}

func (r localRequests) start(key targetKey, fp Fingerprint) {
	if r.running[key] == nil {
		r.running[key] = map[Fingerprint]int{}
	}
	r.running[key][fp]++
}

// end records that a request is no longer in flight. It has no effect if the request was not started.
func (r localRequests) end(key targetKey, fp Fingerprint) {
	if r.running[key][fp] == 0 {
		return
	}
	r.running[key][fp]--
	if r.running[key][fp] > 0 {
		return
	}
	delete(r.running[key], fp)
	if len(r.running[key]) == 0 {
		delete(r.running, key)
	}
}

// recordBroken records that a connection broke while the request was in flight. At most limit requests are
// kept per target.
func (r localRequests) recordBroken(key targetKey, fp Fingerprint, now time.Time, limit int) {
	if r.broken[key] == nil {
		r.broken[key] = map[Fingerprint]time.Time{}
	}
	if len(r.broken[key]) < limit {
		r.broken[key][fp] = now
	}
}

// recordAnswered records that a request was answered. When the map is full, all older records are dropped.
func (r localRequests) recordAnswered(fp Fingerprint, now time.Time) {
	if len(r.answered) >= maxAnswered {
		clear(r.answered)
	}
	r.answered[fp] = now
}

// suspects returns the requests that are in flight at the target or whose connections to it broke at or
// after brokenSince. It leaves out requests that were answered at or after answeredSince, because the same
// request evidently runs elsewhere without a crash.
func (r localRequests) suspects(key targetKey, brokenSince, answeredSince time.Time) []Fingerprint {
	var list []Fingerprint
	for fp := range r.running[key] {
		if r.answered[fp].Before(answeredSince) {
			list = append(list, fp)
		}
	}
	for fp, brokenAt := range r.broken[key] {
		if brokenAt.Before(brokenSince) || r.running[key][fp] > 0 || !r.answered[fp].Before(answeredSince) {
			continue
		}
		list = append(list, fp)
	}
	return list
}

// expireBroken drops the records of connections that broke before since.
func (r localRequests) expireBroken(since time.Time) {
	for key, broken := range r.broken {
		for fp, brokenAt := range broken {
			if brokenAt.Before(since) {
				delete(broken, fp)
			}
		}
		if len(broken) == 0 {
			delete(r.broken, key)
		}
	}
}
