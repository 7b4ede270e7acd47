package share

import (
	"time"

	"amaranthline/core/state/lease"
	"amaranthline/core/state/quota"
	"amaranthline/io/protocol/wire"
)

// exchanged is what Contact and ContactAck have in common.
type exchanged interface {
	GetVersion() uint64
	GetMembers() []string
	GetIncarnation() uint64
	GetAddressee() uint64
	GetSettled() bool
	GetEarlier() []*wire.GroupList
}

func messageOf(msg exchanged) lease.Message {
	out := lease.Message{
		Membership:  lease.Membership{Version: msg.GetVersion(), Members: msg.GetMembers()},
		Incarnation: msg.GetIncarnation(), PeerIncarnation: msg.GetAddressee(), Recovered: msg.GetSettled(),
	}
	for _, old := range msg.GetEarlier() {
		out.EarlierMemberships = append(out.EarlierMemberships, lease.Membership{Version: old.GetVersion(), Members: old.GetMembers()})
	}
	return out
}

func contactOf(group string, msg lease.Message) *wire.Contact {
	return &wire.Contact{
		Group: group, Version: msg.Version, Members: msg.Members, Incarnation: msg.Incarnation,
		Addressee: msg.PeerIncarnation, Settled: msg.Recovered, Earlier: listsOf(msg.EarlierMemberships),
	}
}

func ackOf(group string, msg lease.Message) *wire.ContactAck {
	return &wire.ContactAck{
		Group: group, Version: msg.Version, Members: msg.Members, Incarnation: msg.Incarnation,
		Addressee: msg.PeerIncarnation, Settled: msg.Recovered, Earlier: listsOf(msg.EarlierMemberships),
	}
}

func listsOf(lists []lease.Membership) []*wire.GroupList {
	var out []*wire.GroupList
	for _, old := range lists {
		out = append(out, &wire.GroupList{Version: old.Version, Members: old.Members})
	}
	return out
}

func loansOf(grant *wire.LoanGrant) []quota.Loan {
	var out []quota.Loan
	for _, loan := range grant.GetLoans() {
		out = append(out, quota.Loan{
			ID: loan.GetId(), Team: loan.GetTeam(), Share: loan.GetShare(), Tokens: loan.GetTokens(),
			Term: time.Duration(loan.GetTermNanos()), Depth: int(loan.GetDepth()),
		})
	}
	return out
}

func wireLoans(loans []quota.Loan) []*wire.Loan {
	var out []*wire.Loan
	for _, loan := range loans {
		out = append(out, &wire.Loan{
			Id: loan.ID, Team: loan.Team, Share: loan.Share, Tokens: loan.Tokens,
			TermNanos: int64(loan.Term), Depth: uint32(loan.Depth),
		})
	}
	return out
}

func wireWant(want quota.Shortage) *wire.Want {
	return &wire.Want{Team: want.Team, Share: want.Share, Tokens: want.Tokens}
}

func wantOf(want *wire.Want) quota.Shortage {
	return quota.Shortage{Team: want.GetTeam(), Share: want.GetShare(), Tokens: want.GetTokens()}
}
