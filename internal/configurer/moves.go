package configurer

import "fmt"

// maxSlowExcess is the largest value of Moves.SlowExcess. Versions that are slower are found without
// the sequential test.
const maxSlowExcess = 0.5

// Moves sets how the new version of a move is judged.
type Moves struct {
	// SlowExcess is the fraction of a version's answers, from 0.05 to 0.5, that would not be slow
	// at the other versions but are, from which on the sequential test counts the version as slow.
	// 0 turns the test off.
	SlowExcess float64
}

// minSlowExcess is the smallest value of Moves.SlowExcess that is not 0. A smaller excess cannot be
// shown with the requests that a bad version may get.
const minSlowExcess = 0.05

// defaultMoves returns the settings of moves without the sequential test.
func defaultMoves() Moves {
	return Moves{
		SlowExcess: 0,
	}
}

func (v *validation) checkMoves(moves Moves) {
	excess := moves.SlowExcess
	valid := excess == 0 || excess >= minSlowExcess && excess <= maxSlowExcess
	v.require(valid, "Moves.SlowExcess", fmt.Sprint(excess), fmt.Sprintf("0, or %v to %v", minSlowExcess, maxSlowExcess))
}
