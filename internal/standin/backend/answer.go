package backend

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// Errors of CheckAnswer; test with errors.Is.
var (
	// ErrSwapped: the answer belongs to another request.
	ErrSwapped = errors.New("backend: answer of another request")
	// ErrTruncated: the answer ended early.
	ErrTruncated = errors.New("backend: truncated answer")
	// ErrCorrupted: the answer's content is not what the back end wrote.
	ErrCorrupted = errors.New("backend: corrupted answer")
)

// answerUnitDigits is the width of one repetition of the request number.
const answerUnitDigits = 16

// BuildAnswer returns the answer to a numbered request: a line with the number
// and the length of what follows, then the number repeated over and over, so
// that a mixed, short or foreign answer is recognised.
func BuildAnswer(number uint64, payloadBytes int) []byte {
	answer := fmt.Appendf(nil, "%d %d\n", number, payloadBytes)
	unit := answerUnit(number)
	for written := 0; written < payloadBytes; written += answerUnitDigits {
		answer = append(answer, unit[:min(answerUnitDigits, payloadBytes-written)]...)
	}
	return answer
}

// CheckAnswer verifies that an answer which ended without a transport error is
// the whole answer to that request.
func CheckAnswer(number uint64, answer []byte) error {
	line, payload, complete := bytes.Cut(answer, []byte{'\n'})
	if !complete {
		return ErrTruncated
	}
	answered, length, err := parseAnswerLine(line)
	if err != nil {
		return ErrCorrupted
	}
	if answered != number {
		return fmt.Errorf("%w: asked %d, answered %d", ErrSwapped, number, answered)
	}
	if len(payload) < length {
		return fmt.Errorf("%w: %d of %d bytes", ErrTruncated, len(payload), length)
	}
	if !bytes.Equal(answer, BuildAnswer(number, length)) {
		return ErrCorrupted
	}
	return nil
}

func answerUnit(number uint64) []byte {
	return fmt.Appendf(nil, "%0*x", answerUnitDigits, number)
}

func parseAnswerLine(line []byte) (number uint64, length int, err error) {
	numberText, lengthText, _ := bytes.Cut(line, []byte{' '})
	number, err = strconv.ParseUint(string(numberText), 10, 64)
	if err != nil {
		return 0, 0, err
	}
	length, err = strconv.Atoi(string(lengthText))
	return number, length, err
}
