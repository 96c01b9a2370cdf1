package bench

import (
	"net/http"
	"time"

	"github.com/bilberryline/bilberryline/internal/load"
)

// deployment is the deployment that a bench imitates: an example configuration with one service under load.
type deployment struct {
	name    string
	service string
	// targets and slots are the numbers of the service's backend servers and of each one's slots.
	targets, slots int
	query          load.Class
	long           load.Class
	booking        load.Class
}

var potcoava = deployment{
	name:    "potcoava",
	service: "bookings",
	targets: 25,
	slots:   6,
	query:   load.Class{Name: "query", Method: http.MethodGet, Path: "/slots", Deadline: 2 * time.Second},
	long:    load.Class{Name: "long", Method: http.MethodGet, Path: "/slots/export", Deadline: 60 * time.Second},
	booking: load.Class{Name: "booking", Method: http.MethodPost, Path: "/bookings", Deadline: 10 * time.Second, RequestBodySize: 200},
}

var pinselwerk = deployment{
	name:    "pinselwerk",
	service: "catalogue",
	targets: 20,
	slots:   2,
	query:   load.Class{Name: "query", Method: http.MethodGet, Path: "/catalogue", Deadline: 2 * time.Second},
	long:    load.Class{Name: "long", Method: http.MethodPost, Path: "/bench-slots", Deadline: 20 * time.Second, RequestBodySize: 200},
	booking: load.Class{Name: "booking", Method: http.MethodPost, Path: "/bench-slots", Deadline: 20 * time.Second, RequestBodySize: 200},
}

var allDeployments = []deployment{potcoava, pinselwerk}

// capacity returns the requests a second that all slots of the service can run.
func (s deployment) capacity(work time.Duration) float64 {
	return float64(s.targets*s.slots) / work.Seconds()
}

// withLoad returns a copy of a class withLoad a share of the load and a service time.
func withLoad(c load.Class, share float64, work time.Duration) load.Class {
	c.Weight = share
	c.ServiceTime = work
	return c
}
