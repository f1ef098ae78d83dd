package steerer

import (
	"maps"
	"math"
	"slices"

	"github.com/hemlockport/hemlockport/internal/encoder"
	"github.com/hemlockport/hemlockport/pkg/command/balancer"
)

// topicBalance is the topic on which instances tell each other their demand and the parts of
// the objects that roam.
const topicBalance = "Balance"

// balanceReport is the encoding of a balancer.Message on a link.
type balanceReport struct {
	_         struct{} `cbor:",toarray"`
	Demands   []serviceDemand
	Sums      []serviceDemand
	Fractions []serviceFraction
}

// serviceDemand is the encoding of a balancer.Demand.
type serviceDemand struct {
	_         struct{} `cbor:",toarray"`
	Service   string
	PerSecond float64
	Slope     float64
	InUse     float64
}

// serviceFraction is the part of a service's objects that roam.
type serviceFraction struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Fraction float64
}

var balanceCodec = encoder.CBOR[balanceReport]{}

// newBalanceReport converts a message to its encoding on a link.
func newBalanceReport(message balancer.Message) balanceReport {
	report := balanceReport{
		Demands: newServiceDemands(message.Demands),
		Sums:    newServiceDemands(message.Sums),
	}
	for _, service := range slices.Sorted(maps.Keys(message.Fractions)) {
		report.Fractions = append(report.Fractions, serviceFraction{
			Service:  service,
			Fraction: message.Fractions[service],
		})
	}
	return report
}

func newServiceDemands(demands map[string]balancer.Demand) []serviceDemand {
	var result []serviceDemand
	for _, service := range slices.Sorted(maps.Keys(demands)) {
		result = append(result, serviceDemand{
			Service:   service,
			PerSecond: demands[service].PerSecond,
			Slope:     demands[service].Slope,
			InUse:     demands[service].InUse,
		})
	}
	return result
}

// message converts a received report to the balancer's form. Figures that no instance can have
// are left out.
func (r balanceReport) message(region string) balancer.Message {
	message := balancer.Message{
		Region:  region,
		Demands: demandsOf(r.Demands),
		Sums:    demandsOf(r.Sums),
	}
	for _, received := range r.Fractions {
		if !(received.Fraction >= 0 && received.Fraction <= 1) {
			continue
		}
		if message.Fractions == nil {
			message.Fractions = map[string]float64{}
		}
		message.Fractions[received.Service] = received.Fraction
	}
	return message
}

func demandsOf(received []serviceDemand) map[string]balancer.Demand {
	if len(received) == 0 {
		return nil
	}
	demands := make(map[string]balancer.Demand, len(received))
	for _, demand := range received {
		if !isCount(demand.PerSecond) || !isCount(demand.InUse) || math.IsNaN(demand.Slope) || math.IsInf(demand.Slope, 0) {
			continue
		}
		demands[demand.Service] = balancer.Demand{
			PerSecond: demand.PerSecond,
			Slope:     demand.Slope,
			InUse:     demand.InUse,
		}
	}
	return demands
}

// isCount reports whether a number is finite and not negative.
func isCount(number float64) bool {
	return number >= 0 && !math.IsInf(number, 1)
}
