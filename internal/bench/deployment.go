package bench

import (
	"net/http"
	"time"

	"github.com/bilberryline/bilberryline/internal/load"
)

// deployment is an example configuration that a bench runs, with the service that it puts under load.
type deployment struct {
	name    string
	service string
	// targets is the number of the service's backend servers, slots the number of slots of each one.
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

// capacity returns the request rate that all slots of the service together sustain, per second.
func (d deployment) capacity(meanServiceTime time.Duration) float64 {
	return float64(d.targets*d.slots) / meanServiceTime.Seconds()
}

// withLoad returns a copy of the class with a weight and a service time.
func withLoad(c load.Class, weight float64, serviceTime time.Duration) load.Class {
	c.Weight = weight
	c.ServiceTime = serviceTime
	return c
}
