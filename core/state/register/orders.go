package register

import (
	"strconv"
	"strings"
)

// laterOrderPrefix begins the result of an order that changed nothing because a later one was
// accepted; the index of that one follows.
const laterOrderPrefix = "later "

func encodeLaterOrder(index uint64) []byte {
	return strconv.AppendUint([]byte(laterOrderPrefix), index, 10)
}

// LaterOrder reports whether the result is that of an order which changed nothing because another
// one was accepted after [Command.After], and returns the index of the last one that was.
func LaterOrder(result []byte) (index uint64, later bool) {
	digits, later := strings.CutPrefix(string(result), laterOrderPrefix)
	if !later {
		return 0, false
	}
	index, err := strconv.ParseUint(digits, 10, 64)
	return index, err == nil
}
