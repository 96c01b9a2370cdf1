package kv

// CreateSession creates a lease and returns its id.
func (s *Store) CreateSession(req SessionRequest) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	session, err := newSession(s.newID(), req, s.clock.Now())
	if err != nil {
		return "", err
	}
	s.sessions[session.ID] = session
	return session.ID, nil
}

// RenewSession renews a lease for its TTL. It reports whether the lease was still live.
func (s *Store) RenewSession(id string) (Session, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	session, live := s.sessions[id]
	if !live {
		return Session{}, false
	}
	session.expires = s.clock.Now().Add(session.ttl)
	return *session, true
}

// DestroySession revokes a lease.
func (s *Store) DestroySession(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	if session, live := s.sessions[id]; live {
		s.endSessionLocked(session)
	}
}

// expireLocked ends the sessions whose TTL has passed.
func (s *Store) expireLocked() {
	now := s.clock.Now()
	for _, session := range s.sessions {
		if !now.Before(session.expires) {
			s.endSessionLocked(session)
		}
	}
}

func (s *Store) endSessionLocked(session *Session) {
	delete(s.sessions, session.ID)
	until := s.clock.Now().Add(session.LockDelay)
	for key, e := range s.entries {
		if e.Session != session.ID {
			continue
		}
		if session.LockDelay > 0 {
			s.lockDelays[key] = until
		}
		if session.Behavior == BehaviorDelete {
			s.removeLocked(key)
			continue
		}
		s.advanceIndexLocked()
		e.Session = ""
		e.ModifyIndex = s.index
	}
}
