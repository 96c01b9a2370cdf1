package front

// headGuard looks at the bytes of a message's head before the parser does, and finds what the parser
// lets pass: white space between a field's name and its colon (RFC 9112, section 5.1), and control
// characters in a field's value (RFC 9110, section 5.5).
type headGuard struct {
	place    headPlace
	lineZero bool // the line holds nothing yet
}

// headPlace is where in the head the next byte belongs.
type headPlace uint8

const (
	inRequestLine headPlace = iota
	inFieldName
	afterFieldName // white space has followed the name
	inFieldValue
	headOver
)

// scan takes bytes of the head up to its end. It returns the number of bytes taken and whether they
// are sound.
func (g *headGuard) scan(data []byte) (n int, sound bool) {
	for i, b := range data {
		if !g.next(b) {
			return i, false
		}
		if g.place == headOver {
			return i + 1, true
		}
	}
	return len(data), true
}

func (g *headGuard) next(b byte) bool {
	switch b {
	case '\n':
		g.endLine()
		return true
	case '\r':
		return true
	}
	first := g.lineZero
	g.lineZero = false
	switch g.place {
	case inFieldName, afterFieldName:
		return g.nextOfName(b, first)
	case inFieldValue:
		return b >= ' ' && b != 0x7f || b == '\t'
	}
	return b >= ' '
}

func (g *headGuard) nextOfName(b byte, first bool) bool {
	switch b {
	case ':':
		sound := g.place == inFieldName && !first
		g.place = inFieldValue
		return sound
	case ' ', '\t':
		g.place = afterFieldName
		return !first
	}
	return g.place == inFieldName
}

func (g *headGuard) endLine() {
	if g.place != inRequestLine && g.lineZero {
		g.place = headOver
		return
	}
	g.place = inFieldName
	g.lineZero = true
}
