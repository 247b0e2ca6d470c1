package peerlink

// Seat identifies one run of a replica's process.
type Seat struct {
	Name string
	Life int64 // as in its Hello
}

// Term numbers the holders of a duty. The higher Epoch wins, among equal ones the higher Step. The zero Term means that
// nobody has held it.
type Term struct {
	Epoch uint64 // one vote of a majority
	Step  uint64 // how often since then a holder was followed by the successor that it had named
}

// Above tells whether t is newer than o.
func (t Term) Above(o Term) bool { return t.Epoch > o.Epoch || t.Epoch == o.Epoch && t.Step > o.Step }

// Duty is a replica's statement about a duty that one replica does for all.
type Duty struct {
	Term   Term   // the highest that the sender knows
	Holder Seat   // of that term; a sender that names itself is thereby alive
	Next   Seat   // may follow the holder without a vote; zero: nobody
	Yields bool   // the holder gives the duty up: the next one is to follow it now
	Ask    uint64 // an epoch for which the sender wants a vote; 0: none
	Vote   uint64 // an epoch for which the sender votes for whom it tells this; 0: none
	Voted  uint64 // the highest epoch that the sender ever voted for, or heard of such a vote
}
