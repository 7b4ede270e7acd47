// Package parts divides the room of one class at one host among the teams that ask for it.
//
// It is designed for this load: callers ask for more than a service has room for, because one team sends several times
// its usual amount or repeats refused requests at once, while the other teams send what they always send. Decided by
// arrival, each team loses the same fraction of its requests; decided by parts, the team that sends more loses them.
//
// A team's part is its weighted max-min share of the room: the amount that it asks for, or a multiple of its weight
// that is the same for all teams that ask for more than that (the level). The weight is what the team would ask of this
// host if it sent its declared rate to all hosts together: a team all of whose requests reach one host has a greater
// weight there than one of the same rate whose requests reach all hosts. It follows from the requests that arrive here
// and the team's load, the ratio of what it sends to all hosts and its declared rate, which the node that admits a
// request knows from the granter of the team's tokens. For teams whose load is not known, the declared rate itself is
// the weight. Room, demand and use are work, in slots: seconds for which a slot is held, per second. The room is not
// given but measured, as the work that has been admitted lately, less a tenth. So it needs no model of what bounds the
// class, and when nobody was refused lately the level is infinite and no team has a bound.
//
// At a host a small team sends one request in many seconds and holds much less than a slot on average. Its use is
// therefore counted over time: each admitted request adds its work to the team's debt, the team's part pays the debt
// off, and the team is within its part while the debt is small enough. The debt has an upper bound, so that a team is
// within its part again soon after it has become quieter.
//
// The package does no I/O and reads no clock. It is not safe for concurrent use.
package parts
