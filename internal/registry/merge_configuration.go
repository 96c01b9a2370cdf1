package registry

import (
	"bytes"
	"strconv"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/panics"
	"github.com/bilberryline/bilberryline/internal/routing"
)

// mergeConfigurationLocked puts a newer configuration in force. The current one stays in force when the new
// one doesn't compile or its version isn't higher. Another host may have one with a higher version than the store, if the
// store has come back from an older copy.
func (r *Registry) mergeConfigurationLocked(b *Batch, now time.Time) bool {
	c := *b.Configuration
	newer := c.Revision.After(r.configuration.Revision)
	if !newer && (b.FromStore || bytes.Equal(c.Document, r.configuration.Document)) {
		return false
	}
	var routes *routing.Table
	var err error
	if failed := panics.Catch(func() { routes, err = r.cfg.Compile(c.Document) }); failed != nil {
		err = failed
	}
	if !newer && (err != nil || r.routes != nil && routes.Version <= r.routes.Version) {
		return false
	}
	c.Revision = later(c.Revision, r.configuration.Revision)
	if err == nil && r.routes != nil && routes.Version <= r.routes.Version {
		r.keepConfigurationLocked(c, routes)
		return true
	}
	r.setConfigurationLocked(c)
	if err != nil {
		r.cfg.Events.RecordError(event.ConfigRefused, event.Fields{Revision: c.Revision.Number}, err)
		return true // still sent to followers: a host with another build may be able to compile it
	}
	r.routes, r.documentInForce = routes, c.Document
	r.cfg.Events.Record(event.ConfigInForce, event.Fields{Revision: routes.Version, Peer: b.Sender, Detail: b.origin(now) + "; " + routes.DescribeKeys()})
	for _, reason := range routes.Skipped {
		r.cfg.Events.Record(event.RegistryOddEntry, event.Fields{Target: "configuration", Revision: c.Revision.Number, Detail: reason})
	}
	return true
}

// setConfigurationLocked stores the configuration that followers get.
func (r *Registry) setConfigurationLocked(c Configuration) {
	r.configuration = c
	r.configurationProto = configurationToProto(&c)
	r.configurationSequence = r.nextSequenceLocked()
}

// keepConfigurationLocked keeps the configuration in force although the store has another one whose version isn't higher.
// Followers get the one in force, as if it had been written in place of the other.
func (r *Registry) keepConfigurationLocked(c Configuration, routes *routing.Table) {
	same := bytes.Equal(c.Document, r.documentInForce)
	c.Document = r.documentInForce
	r.setConfigurationLocked(c)
	if same {
		return // written again
	}
	detail := "in force: " + strconv.FormatUint(r.routes.Version, 10)
	if routes.Version == r.routes.Version {
		detail += ", with other content"
	}
	r.cfg.Events.Record(event.ConfigStoreBehind, event.Fields{Revision: routes.Version, Detail: detail})
}
