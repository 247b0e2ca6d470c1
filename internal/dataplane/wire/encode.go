package wire

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"
	"time"

	"pepperfall.example/pepperfall/policy"
)

// Append appends the line for one action of the instance node to b. It panics
// on an action that has no line.
func Append(b []byte, node string, a policy.Action) []byte {
	start := func(verb string) {
		b = append(b, verb...)
		b = append(b, ' ')
		b = append(b, node...)
	}
	switch a := a.(type) {
	case policy.Send:
		start("SEND")
		b = appendID(b, a.ID)
		b = append(b, ' ')
		b = strconv.AppendUint(b, uint64(a.Server), 10)
		b = appendMS(b, a.Timeout)
	case policy.Cancel:
		start("UNDO_SEND")
		b = appendID(b, a.ID)
		b = append(b, ' ')
		b = strconv.AppendInt(b, int64(a.Attempt), 10)
	case policy.Refuse:
		start("PUSH_BACK")
		b = appendID(b, a.ID)
		b = appendMS(b, a.RetryAfter)
	case policy.Fail:
		start("REPORT_FAILURE")
		b = appendID(b, a.ID)
	case policy.SetTimer:
		start("SET_ALARM")
		b = append(b, ' ')
		b = append(b, a.Token...)
		b = appendMS(b, a.After)
	case policy.SendPeer:
		start("POST")
		b = append(b, ' ')
		b = strconv.AppendInt(b, int64(a.To), 10)
		b = append(b, ' ')
		if len(a.Data) == 0 {
			b = append(b, '-')
		}
		b = base64.StdEncoding.AppendEncode(b, a.Data)
	case policy.Watch:
		start("LISTEN")
		b = append(b, " 1"...)
	case policy.Log:
		start("SAY_LOG")
		b = append(b, ' ')
		b = append(b, oneLine(a.Text)...)
	default:
		panic(fmt.Sprintf("wire: no line for %T", a))
	}
	return append(b, '\n')
}

// AppendCrash appends the line which reports that the policy of an instance
// failed, with the reason.
func AppendCrash(b []byte, node, reason string) []byte {
	return append(b, "CRASH "+node+" "+oneLine(reason)+"\n"...)
}

// AppendEnd appends the line that ends a reply.
func AppendEnd(b []byte) []byte { return append(b, "FINISHED\n"...) }

func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }

func appendID(b []byte, id policy.RequestID) []byte {
	return fmt.Appendf(b, " %016x", uint64(id))
}

func appendMS(b []byte, d time.Duration) []byte {
	b = append(b, ' ')
	return strconv.AppendFloat(b, float64(d)/float64(time.Millisecond), 'f', 3, 64)
}
