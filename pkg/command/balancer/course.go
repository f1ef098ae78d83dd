package balancer

import (
	"math"
	"time"
)

const (
	// StepInterval is the shortest time between two steps.
	StepInterval = 250 * time.Millisecond
	// stepsPerWindow is how many steps a window of two seconds holds at most, both ends
	// included.
	stepsPerWindow = 9
	// startDistance is the distance to the target from which on a part begins to move. A part
	// that moves goes all the way. It keeps noise in the demand from moving objects.
	startDistance = 0.04
)

// Course is the part of a service's objects that roam, on its way to a target. It is immutable.
type Course struct {
	// Fraction is the part, from 0 to 1.
	Fraction float64
	// Moving says that the part moves to its target.
	Moving bool
}

// Next returns the course after one step to a target, if perWindow is the most by which the
// part may change within two seconds.
func (c Course) Next(target, perWindow float64) Course {
	distance := target - c.Fraction
	c.Moving = c.Moving || math.Abs(distance) >= startDistance
	if !c.Moving {
		return c
	}
	step := perWindow / stepsPerWindow
	if math.Abs(distance) <= step {
		c.Fraction = target
		c.Moving = false
		return c
	}
	c.Fraction += math.Copysign(step, distance)
	return c
}

// Follow returns the course after one step behind a leader, from which it takes every value.
func (c Course) Follow(leader, perWindow float64) Course {
	c.Moving = true
	return c.Next(leader, perWindow)
}
