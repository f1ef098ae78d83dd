package pipeliner

import "github.com/hemlockport/hemlockport/pkg/command/bounder"

// Waiting returns the number of connections in a phase on which no request runs.
func (s *Server) Waiting(phase bounder.Phase) int {
	count := 0
	s.conns.Range(func(key, _ any) bool {
		if waiting, ok := key.(*conn).waiting(); ok && waiting.Phase == phase {
			count++
		}
		return true
	})
	return count
}
