package era

import "strconv"

// State says what an answer states about the era.
type State int

// States of a Reading.
const (
	// Missing means that the answer states no era.
	Missing State = iota
	// Stated means that it states a valid one.
	Stated
	// Invalid means that what it states can't be read.
	Invalid
)

// Reading is the era that an answer of the store states.
type Reading struct {
	State State `json:"state,omitempty"`
	// Era is 0 unless the state is Stated.
	Era int64 `json:"era,omitempty"`
}

// numberBits bounds the eras that count as valid.
const numberBits = 31

// Read decodes the values of the field of an answer that states its era. A valid
// answer has at most one value, a decimal number without a sign.
func Read(values []string) Reading {
	switch len(values) {
	case 0:
		return Reading{}
	case 1:
		return readValue(values[0])
	default:
		return Reading{State: Invalid}
	}
}

func readValue(text string) Reading {
	number, err := strconv.ParseUint(text, 10, numberBits)
	if err != nil {
		return Reading{State: Invalid}
	}
	return Reading{State: Stated, Era: int64(number)}
}
