package configurer

import (
	"fmt"
	"net/url"
)

// Duty configures the calls to the platform that one instance at a time makes. Only
// AdapterThimblegate uses it.
type Duty struct {
	// Address is the HTTP or HTTPS URL that the calls go to. Empty by default: the instances
	// have no duties and count nothing for them.
	Address string
	// WindowSeconds is the length of the windows that are reported, in seconds. 1 to 3600; 5 by
	// default.
	WindowSeconds float64
	// LateSeconds is the time after a window's end at which its report is late, in seconds.
	// WindowSeconds to 3600; 10 by default.
	LateSeconds float64
	// LeaseMillis is the time within which the holders must not alternate, in milliseconds: a
	// new holder waits for it before its first call. At least 1; 3000 by default.
	LeaseMillis int
	// CallsPerSecond is how many calls the platform accepts from all instances together. 0.1
	// to 1000000; 50 by default.
	CallsPerSecond float64
	// Names lists the duties, by the platform's names. The instances carry out those that they
	// know. Empty by default.
	Names []string
}

// maxDutySeconds limits the times of duties that are in seconds: one hour.
const maxDutySeconds = 3600

func defaultDuty() Duty {
	return Duty{
		WindowSeconds:  5,
		LateSeconds:    10,
		LeaseMillis:    3000,
		CallsPerSecond: 50,
	}
}

func (v *validation) checkDuty(duty Duty) {
	if duty.Address != "" {
		address, err := url.Parse(duty.Address)
		valid := err == nil && address.Host != "" && (address.Scheme == "http" || address.Scheme == "https")
		v.require(valid, "Duty.Address", duty.Address, "empty, or a URL such as http://10.0.0.1:7000")
	}
	window := duty.WindowSeconds
	v.require(window >= 1 && window <= maxDutySeconds, "Duty.WindowSeconds", fmt.Sprint(window), "1 to 3600 seconds")
	late := duty.LateSeconds
	v.require(late >= window && late <= maxDutySeconds, "Duty.LateSeconds", fmt.Sprint(late), "Duty.WindowSeconds to 3600 seconds")
	v.checkMillis("Duty.LeaseMillis", duty.LeaseMillis, 1)
	v.checkRate("Duty.CallsPerSecond", duty.CallsPerSecond)
}
