package share

import (
	"time"

	"amaranthline/core/state/lease"
	"amaranthline/core/state/quota"
	"amaranthline/io/protocol/wire"
)

// contactMessage is a wire.Contact or a wire.ContactAck; both have the same fields for a lease.
type contactMessage interface {
	GetVersion() uint64
	GetMembers() []string
	GetIncarnation() uint64
	GetAddressee() uint64
	GetSettled() bool
	GetEarlier() []*wire.GroupList
}

func leaseMessage(msg contactMessage) lease.Message {
	out := lease.Message{
		Membership:  lease.Membership{Version: msg.GetVersion(), Members: msg.GetMembers()},
		Incarnation: msg.GetIncarnation(), PeerIncarnation: msg.GetAddressee(), Recovered: msg.GetSettled(),
	}
	for _, mem := range msg.GetEarlier() {
		out.EarlierMemberships = append(out.EarlierMemberships, lease.Membership{Version: mem.GetVersion(), Members: mem.GetMembers()})
	}
	return out
}

func wireContact(group string, msg lease.Message) *wire.Contact {
	return &wire.Contact{
		Group: group, Version: msg.Version, Members: msg.Members, Incarnation: msg.Incarnation,
		Addressee: msg.PeerIncarnation, Settled: msg.Recovered, Earlier: wireMemberships(msg.EarlierMemberships),
	}
}

func wireContactAck(group string, msg lease.Message) *wire.ContactAck {
	return &wire.ContactAck{
		Group: group, Version: msg.Version, Members: msg.Members, Incarnation: msg.Incarnation,
		Addressee: msg.PeerIncarnation, Settled: msg.Recovered, Earlier: wireMemberships(msg.EarlierMemberships),
	}
}

func wireMemberships(memberships []lease.Membership) []*wire.GroupList {
	var out []*wire.GroupList
	for _, mem := range memberships {
		out = append(out, &wire.GroupList{Version: mem.Version, Members: mem.Members})
	}
	return out
}

func quotaLoans(grant *wire.LoanGrant) []quota.Loan {
	var out []quota.Loan
	for _, loan := range grant.GetLoans() {
		out = append(out, quota.Loan{
			ID: loan.GetId(), Team: loan.GetTeam(), Share: loan.GetShare(), Tokens: loan.GetTokens(),
			Term: time.Duration(loan.GetTermNanos()), TimesLent: int(loan.GetDepth()),
		})
	}
	return out
}

func wireLoans(loans []quota.Loan) []*wire.Loan {
	var out []*wire.Loan
	for _, loan := range loans {
		out = append(out, &wire.Loan{
			Id: loan.ID, Team: loan.Team, Share: loan.Share, Tokens: loan.Tokens,
			TermNanos: int64(loan.Term), Depth: uint32(loan.TimesLent),
		})
	}
	return out
}

func wireWant(shortage quota.Shortage) *wire.Want {
	return &wire.Want{Team: shortage.Team, Share: shortage.Share, Tokens: shortage.Tokens}
}

func quotaShortage(want *wire.Want) quota.Shortage {
	return quota.Shortage{Team: want.GetTeam(), Share: want.GetShare(), Tokens: want.GetTokens()}
}
