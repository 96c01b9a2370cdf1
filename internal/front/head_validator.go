package front

// headValidator checks the bytes of a request's head, that is the request line and header fields, before they
// are passed to the parser. It detects errors that the parser accepts: white space between a field name and the
// colon (RFC 9112, section 5.1) and control characters in a field value (RFC 9110, section 5.5).
type headValidator struct {
	state       headState
	atLineStart bool // the current line is empty so far
}

// headState is the part of the head to which the next byte belongs.
type headState uint8

const (
	inRequestLine headState = iota
	inFieldName
	afterFieldName // white space was seen after the name
	inFieldValue
	headComplete
)

// scan checks data up to the end of the head. It returns the number of bytes checked and reports whether they are
// valid.
func (v *headValidator) scan(data []byte) (n int, valid bool) {
	for i, b := range data {
		if !v.acceptByte(b) {
			return i, false
		}
		if v.state == headComplete {
			return i + 1, true
		}
	}
	return len(data), true
}

// acceptByte advances the state by one byte and reports whether the byte is valid.
func (v *headValidator) acceptByte(b byte) bool {
	switch b {
	case '\n':
		v.endLine()
		return true
	case '\r':
		return true
	}
	first := v.atLineStart
	v.atLineStart = false
	switch v.state {
	case inFieldName, afterFieldName:
		return v.acceptNameByte(b, first)
	case inFieldValue:
		return b >= ' ' && b != 0x7f || b == '\t'
	}
	return b >= ' '
}

// acceptNameByte is acceptByte for a byte in or after a field name. first reports
// whether it is the first byte of its line.
func (v *headValidator) acceptNameByte(b byte, first bool) bool {
	switch b {
	case ':':
		valid := v.state == inFieldName && !first
		v.state = inFieldValue
		return valid
	case ' ', '\t':
		v.state = afterFieldName
		return !first
	}
	return v.state == inFieldName
}

func (v *headValidator) endLine() {
	if v.state != inRequestLine && v.atLineStart {
		v.state = headComplete
		return
	}
	v.state = inFieldName
	v.atLineStart = true
}
