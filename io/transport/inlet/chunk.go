package inlet

// chunkState is a position in a chunked body.
type chunkState uint8

const (
	chunkSize chunkState = iota
	chunkExtension
	chunkSizeEnd // after the carriage return of the size
	chunkData
	chunkDataReturn // the carriage return after the data
	chunkDataEnd
	trailerStart // at the start of a line of the trailer
	trailerLine
	trailerLineEnd
	trailerEnd // after the carriage return of the empty line
	chunksDone
	chunksInvalid // not followed further; net/http refuses the body, or takes a form of it that is not known here
)

// maxSizeDigits is the number of digits up to which net/http takes the size of a chunk.
const maxSizeDigits = 16

// chunkReader finds the end of a chunked body.
type chunkReader struct {
	state  chunkState
	digits int
	left   uint64 // of the data of the present chunk
}

// read returns how many of the bytes belong to the body; the state says whether it has ended.
func (chr *chunkReader) read(data []byte) int {
	for pos := 0; pos < len(data); {
		switch chr.state {
		case chunksDone, chunksInvalid:
			return pos
		case chunkData:
			step := uint64(len(data) - pos)
			if step >= chr.left {
				step = chr.left
				chr.state = chunkDataReturn
			}
			chr.left -= step
			pos += int(step) //nolint:gosec // at most len(data)
		default:
			chr.state = chr.next(data[pos])
			pos++
		}
	}
	return len(data)
}

// next returns the state after a byte outside the data of a chunk.
func (chr *chunkReader) next(char byte) chunkState {
	switch chr.state {
	case chunkSize:
		return chr.nextOfSize(char)
	case chunkExtension:
		return after(char, '\r', chunkSizeEnd, chr.unless(char, '\n', chunkExtension))
	case chunkSizeEnd:
		chr.digits = 0
		if char == '\n' && chr.left == 0 {
			return trailerStart
		}
		return after(char, '\n', chunkData, chunksInvalid)
	case chunkDataReturn:
		return after(char, '\r', chunkDataEnd, chunksInvalid)
	case chunkDataEnd:
		return after(char, '\n', chunkSize, chunksInvalid)
	case trailerStart:
		return after(char, '\r', trailerEnd, chr.unless(char, '\n', trailerLine))
	case trailerLine:
		return after(char, '\r', trailerLineEnd, chr.unless(char, '\n', trailerLine))
	case trailerLineEnd:
		return after(char, '\n', trailerStart, chunksInvalid)
	case trailerEnd:
		return after(char, '\n', chunksDone, chunksInvalid)
	default:
		return chunksInvalid
	}
}

func (chr *chunkReader) nextOfSize(char byte) chunkState {
	switch {
	case char == '\r' && chr.digits > 0:
		return chunkSizeEnd
	case char == ';' && chr.digits > 0:
		return chunkExtension
	}
	digit, ok := hexDigit(char)
	if !ok || chr.digits == maxSizeDigits {
		return chunksInvalid
	}
	chr.left = chr.left<<4 | uint64(digit)
	chr.digits++
	return chunkSize
}

// unless returns the state, or chunksInvalid if the byte is the excluded one.
func (*chunkReader) unless(char, excluded byte, state chunkState) chunkState {
	return after(char, excluded, chunksInvalid, state)
}

func after(char, expected byte, then, otherwise chunkState) chunkState {
	if char == expected {
		return then
	}
	return otherwise
}

func hexDigit(char byte) (byte, bool) {
	switch {
	case '0' <= char && char <= '9':
		return char - '0', true
	case 'a' <= char && char <= 'f':
		return char - 'a' + 10, true
	case 'A' <= char && char <= 'F':
		return char - 'A' + 10, true
	}
	return 0, false
}
