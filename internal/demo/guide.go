package demo

import (
	"fmt"
	"io"

	"github.com/bilberryline/bilberryline/internal/harness"
)

// printGuide prints the URLs of the cluster and commands to try.
func printGuide(w io.Writer, c *harness.Cluster) {
	fmt.Fprintln(w)
	for _, e := range c.Entries {
		fmt.Fprintf(w, "%s in %s (%s): callers %s, admin %s\n", e.ID, e.Site, e.Region, e.URL(), e.AdminURL())
	}
	fmt.Fprintf(w, "key-value service %s, host list %s, control of the stand-ins %s\n", c.StoreURL(), c.Platform.HostsURL, c.Platform.ControlURL)
	fmt.Fprintf(w, "configuration %s\n\n", c.ConfigDir())
	first := c.Entries[0]
	query, booking := examplePaths(c)
	token := Callers(c.Declaration)[0].Token
	fmt.Fprintln(w, "things to try:")
	fmt.Fprintf(w, "  curl -i -H 'Authorization: Bearer %s' %s%s\n", token, first.URL(), query)
	fmt.Fprintf(w, "  curl -i -X POST -H 'Authorization: Bearer %s' -H 'Idempotency-Key: \"k1\"' -d booking %s%s   # twice: it runs once\n", token, first.URL(), booking)
	fmt.Fprintf(w, "  curl -X PUT -d '{\"slow\":10}' %s/backends/%s   # one backend server becomes slow\n", c.Platform.ControlURL, c.Backends[0].Name)
	fmt.Fprintf(w, "  curl -X PUT -d '{\"drain\":true}' %s/backends/%s   # it leaves\n", c.Platform.ControlURL, c.Backends[0].Name)
	fmt.Fprintf(w, "  curl -X PUT -d '{\"mode\":\"outage\"}' %s/store/fault   # the key-value service is down\n", c.Platform.ControlURL)
	fmt.Fprintf(w, "  curl %s/status\n", first.AdminURL())
	fmt.Fprintf(w, "  kill -TERM %d   # drain %s\n", first.PID(), first.ID)
	fmt.Fprintln(w, "Ctrl-C drains everything.")
}

func examplePaths(c *harness.Cluster) (query, booking string) {
	for _, class := range Classes(c.Declaration) {
		switch {
		case class.Keyed && booking == "":
			booking = class.Path
		case !class.Keyed && query == "":
			query = class.Path
		}
	}
	return query, booking
}
