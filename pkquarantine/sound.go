package pkquarantine

import "time"

// maxSoundParts bounds the parts of one generation. At 40 requests per second with three parts each,
// an entry remembers every part for half a minute or more, and one in use for as long as it is.
const maxSoundParts = 4096

// soundParts remembers the successes of the parts that were used last, in two generations; the zero value is
// empty.
type soundParts struct {
	current, previous map[Digest]successes
}

// successes is how well requests with a part ran.
type successes struct {
	// provenAt is when one was last found to have done no harm to its replica.
	provenAt time.Time
	// completed is set if one was answered whole. Its replica may have crashed just after, of that
	// request or another one.
	completed bool
}

// record records how well a request with a part ran.
func (s *soundParts) record(part Digest, one successes) {
	known, found := s.current[part]
	if !found {
		known = s.previous[part]
		if len(s.current) >= maxSoundParts {
			s.previous, s.current = s.current, nil
		}
	}
	if s.current == nil {
		s.current = map[Digest]successes{}
	}
	s.current[part] = known.merge(one)
}

// of returns how well requests with a part ran, as far as it is known.
func (s *soundParts) of(part Digest) successes {
	if known, found := s.current[part]; found {
		return known
	}
	return s.previous[part]
}

// merge returns both successes together.
func (s successes) merge(o successes) successes {
	if o.provenAt.After(s.provenAt) {
		s.provenAt = o.provenAt
	}
	s.completed = s.completed || o.completed
	return s
}
