package pipeliner

import "time"

// maxUnreadTime is for how long a connection may be left unread without the system being asked
// when the next bytes have arrived.
const maxUnreadTime = 10 * time.Millisecond

// noteArrival records when the bytes arrived that have just been read.
func (s *source) noteArrival(now time.Time) {
	s.arrivedAt = now
	if !s.leftUnread {
		return
	}
	s.leftUnread = false
	s.arrivedAt = now.Add(-ageOfLastBytes(s.conn))
}

// noteUnread records whether the connection has been left unread until now. It is called before
// the next request is read.
func (s *source) noteUnread(now time.Time) {
	s.leftUnread = now.Sub(s.arrivedAt) > maxUnreadTime
}
