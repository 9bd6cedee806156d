"""Membership by SWIM: probes, probes through others, suspicion, and refutations. Sources: docs/fleet.md.

Each period one other member is probed, all in turn, in an order drawn anew each round. What is learnt rides
on probes and acks. A node that is late, or hears nobody, raises its health penalty before it suspects others.
Times are whole tenths of a millisecond.
"""

from math import log2
from typing import NamedTuple, Protocol

from basalthoist.decisions.random_numbers import Lcg

from .wire import Ack, MemberState, MemberUpdate, Ping

ALIVE, SUSPECT, GONE = MemberState.ALIVE, MemberState.SUSPECT, MemberState.GONE
UNITS_PER_SECOND = 10_000
MAX_UPDATES = 8  # in a message
INDIRECT_PROBES = 3  # other members that are asked to probe
MAX_HEALTH_PENALTY = 8  # the most periods that are added to a period
SUSPICION_PERIODS = 4  # times half of the binary logarithm of the members
TRANSMISSION_FACTOR = 3  # times the binary logarithm of the members
NOTHING_TO_GOSSIP = 1 << 30  # transmissions of a member of which nothing has been learnt
MAX_FORWARDED_PROBES = 64
SKIP_GONE_PROBABILITY = 0.8
PROBE_STEPS = 6  # equal parts of a period, after which a probe is repeated
INDIRECT_STEP = 3  # the one in which others are asked
LAST_STEP = 4
LATE_TICK_PENALTY = 2

STATE_WORDS = {SUSPECT: "silent", GONE: "gone"}


class MembersHost(Protocol):
    """Carries out the effects of the membership protocol."""

    def send(self, name: str, message: Ping | Ack) -> None:
        """Sends a message to a member."""

    def on_member_state(self, name: str, state: MemberState) -> None:
        """That member's state is another now."""

    def log(self, line: str) -> None:
        """Writes a log line."""


class ForwardedProbe(NamedTuple):
    """A probe that another member has asked for."""

    requester: str
    number: int  # of the requester's


class Member:
    """What this node believes of another member."""

    def __init__(self, name: str) -> None:
        self.name: str = name
        self.incarnation: int = 0  # 0: not known yet
        self.refutations: int = 0
        self.state: MemberState = ALIVE
        self.since: int = 0
        self.transmissions: int = NOTHING_TO_GOSSIP  # of the last update about it
        self.suspected_here: bool = False  # it did not answer this node

    def update(self) -> MemberUpdate:
        """The update to gossip."""
        return MemberUpdate(self.name, self.incarnation, self.refutations, self.state)


class Members:
    """The members of a fleet as one of them sees the others."""

    def __init__(
        self,
        host: MembersHost,
        me: str,
        incarnation: int,
        names: list[str],
        period: int,
        random: Lcg,
        now: int,
    ) -> None:
        self.host: MembersHost = host
        self.me: str = me
        self.incarnation: int = incarnation
        self.period: int = period
        self.random: Lcg = random
        self.members: dict[str, Member] = {name: Member(name) for name in names if name != me}
        self.refutations: int = 0
        self.own_transmissions: int = 0  # of the last refutation
        self.health_penalty: int = 0  # periods that a period lasts longer
        self.round: list[str] = []  # members that are still to be probed in this round
        self.probe_number: int = 0
        self.probed: str = ""  # the member whose ack is waited for
        self.probed_at: int = now
        self.probe_step: int = 1
        self.forwarded: dict[int, ForwardedProbe] = {}  # by this node's probe number
        self.next_probe_at: int = now + int(period * random.uniform())
        self.last_tick_at: int = now

    def present(self) -> list[str]:
        """The other members that are not gone."""
        return [member.name for member in self.members.values() if member.state is not GONE]

    def status(self, now: int) -> str:
        """For operators."""
        count = f"{len(self.present()) + 1} of {len(self.members) + 1} there"
        missing = [
            f"{member.name} {STATE_WORDS[member.state]} for {(now - member.since) / UNITS_PER_SECOND:.1f} s"
            for member in self.members.values()
            if member.state is not ALIVE
        ]
        return ", ".join([count, *missing])

    def max_transmissions(self) -> int:
        """How often an update is gossiped."""
        return int(TRANSMISSION_FACTOR * log2(len(self.members) + 2)) + 1

    def suspicion_timeout(self) -> int:
        """How long a suspect has to refute."""
        return int(self.period * SUSPICION_PERIODS * max(log2(len(self.members) + 1), 1.0) / 2)

    # Time.

    def on_tick(self, now: int) -> None:
        """Does what is due."""
        late, self.last_tick_at = now - self.last_tick_at, now
        if late > self.period // 2:
            return self.on_late_tick(now)
        self.repeat_probe(now)
        if now >= self.next_probe_at:
            self.begin_period(now)
        self.remove_suspects(now)

    def on_late_tick(self, now: int) -> None:
        """Begins anew. Guards against a node that stood still and blames others for what it missed."""
        self.raise_penalty(LATE_TICK_PENALTY)
        self.probed, self.next_probe_at = "", now + self.period
        for member in self.members.values():
            member.since = now if member.state is SUSPECT else member.since

    def raise_penalty(self, by: int) -> None:
        """This node may itself be slow: it waits longer."""
        self.health_penalty = min(self.health_penalty + by, MAX_HEALTH_PENALTY)

    def repeat_probe(self, now: int) -> None:
        """Repeats a probe without ack. Guards against suspicion on links that lose messages."""
        waits = self.period * (1 + self.health_penalty) * self.probe_step // PROBE_STEPS
        if not self.probed or now - self.probed_at <= waits:
            return
        self.probe_step += 1
        if self.probe_step == INDIRECT_STEP:
            self.probe_indirectly()
        elif self.probe_step <= LAST_STEP:
            self.probe(self.probed)

    def begin_period(self, now: int) -> None:
        """Suspects the member that has not answered and probes the next one."""
        self.next_probe_at = now + self.period * (1 + self.health_penalty)
        if self.probed:
            self.raise_penalty(1)
            self.suspect(now, self.members[self.probed])
        self.probe_next(now)
        for member in self.members.values():
            if member.state is SUSPECT:
                self.probe_suspect(now, member)

    def probe_suspect(self, now: int, member: Member) -> None:
        """Guards against suspicion that travels faster than its refutation: it may speak for itself."""
        if member.suspected_here or now - member.since > self.suspicion_timeout() // 3:
            self.probe(member.name)

    def remove_suspects(self, now: int) -> None:
        """Takes suspects that have not refuted in time for gone."""
        for member in self.members.values():
            if member.state is not SUSPECT:
                continue
            if now - member.since > self.suspicion_timeout() * (1 + self.health_penalty):
                self.change(now, member, GONE)

    def probe_next(self, now: int) -> None:
        """Probes the next member of the round."""
        # Guards against two halves that never meet again: who is gone is probed now and then.
        while self.round and self.members[self.round[-1]].state is GONE:
            if self.random.uniform() >= SKIP_GONE_PROBABILITY:
                break
            self.round.pop()
        if not self.round:
            self.draw_round()
        if self.round:
            self.probe_number += 1
            self.probed, self.probed_at, self.probe_step = self.round.pop(), now, 1
            self.probe(self.probed)

    def draw_round(self) -> None:
        """Draws the order of the next round."""
        names = list(self.members)
        while names:
            self.round.append(names.pop(int(self.random.uniform() * len(names))))

    def probe(self, name: str) -> None:
        """Probes a member directly."""
        self.host.send(name, Ping(self.probe_number, name, self.gossip(name)))

    def probe_indirectly(self) -> None:
        """Asks others to probe the member that does not answer."""
        others = [name for name in self.present() if name != self.probed]
        for _ in range(min(MAX_INDIRECT_PROBES, len(others))):
            other = others.pop(int(self.random.uniform() * len(others)))
            self.host.send(other, Ping(self.probe_number, self.probed, self.gossip(other)))

    # Messages.

    def on_ping(self, now: int, name: str, ping: Ping) -> None:
        """Answers a probe, or probes another member for the sender."""
        self.on_updates(now, ping.updates)
        if ping.target == self.me:
            self.host.send(name, Ack(ping.number, self.me, self.gossip(name)))
        elif ping.target in self.members:
            self.forward_probe(name, ping)

    def forward_probe(self, requester: str, ping: Ping) -> None:
        """Probes the target for the requester."""
        self.probe_number += 1
        # Guards against probes for others that nobody answers: only the latest are remembered.
        while len(self.forwarded) > MAX_FORWARDED_PROBES:
            del self.forwarded[next(iter(self.forwarded))]
        self.forwarded[self.probe_number] = ForwardedProbe(requester, ping.number)
        self.probe(ping.target)

    def on_ack(self, now: int, name: str, ack: Ack) -> None:
        """Takes the answer to a probe, of this node's own or for another member."""
        self.on_updates(now, ack.updates)
        probe = self.forwarded.pop(ack.number, None)
        if probe is not None and ack.target == name:
            self.host.send(probe.requester, Ack(probe.number, name, self.gossip(probe.requester)))
        if ack.number == self.probe_number and ack.target == self.probed:
            self.probed, self.health_penalty = "", max(self.health_penalty - 1, 0)

    def on_incarnation(self, now: int, name: str, incarnation: int) -> None:
        """It has answered as this incarnation: what was said of one before is void."""
        member = self.members[name]
        if member.incarnation != incarnation:
            member.incarnation, member.refutations = incarnation, 0
            self.change(now, member, ALIVE)

    def on_updates(self, now: int, updates: list[MemberUpdate]) -> None:
        """Takes in what another member gossips."""
        for update in updates[:MAX_UPDATES]:
            if update.name == self.me:
                if update.incarnation == self.incarnation and update.state is not ALIVE:
                    self.refute(update.refutations)
            elif (member := self.members.get(update.name)) is not None:
                self.on_update(now, member, update)

    def refute(self, refutations: int) -> None:
        """Says that it is alive. Suspected while alive it is perhaps slow, so it waits longer itself.

        Who has not heard of an earlier refutation is told again.
        """
        self.own_transmissions = 0
        self.raise_penalty(int(refutations >= self.refutations))
        self.refutations = max(self.refutations, refutations + 1)

    def on_update(self, now: int, member: Member, update: MemberUpdate) -> None:
        """Takes in an update unless it is of another incarnation or older than what is known."""
        if not member.incarnation:
            member.incarnation = update.incarnation
        if update.incarnation != member.incarnation:
            return  # an earlier one, or one that has not answered here yet
        is_refuted = update.refutations < member.refutations
        if is_refuted or update.refutations == member.refutations and update.state <= member.state:
            return
        member.refutations = update.refutations
        if update.state != member.state:
            self.change(now, member, update.state)
        else:
            member.transmissions = 0

    def suspect(self, now: int, member: Member) -> None:
        """The member has not answered this node's probes."""
        self.probed = ""
        if member.state is ALIVE:
            self.change(now, member, SUSPECT)
            member.suspected_here = True

    def change(self, now: int, member: Member, state: MemberState) -> None:
        """Gives a member another state, to be gossiped."""
        before = member.state
        member.state = state
        member.since = now
        member.transmissions = 0
        member.suspected_here = False
        if GONE in (before, state) and before != state:
            self.log_change(member)
        self.host.on_member_state(member.name, state)

    def log_change(self, member: Member) -> None:
        """Logs that a member is gone, or present again."""
        change = "is gone" if member.state is GONE else "is there again"
        count = f"{len(self.present()) + 1} of {len(self.members) + 1} there"
        self.host.log(f"fleet: {member.name} {change}, {count}")

    def gossip(self, recipient: str) -> list[MemberUpdate]:
        """The newest updates. The recipient hears first what is said of itself, so that it can refute."""
        updates: list[MemberUpdate] = []
        most = self.max_transmissions()
        if self.own_transmissions < most:
            updates.append(MemberUpdate(self.me, self.incarnation, self.refutations, ALIVE))
            self.own_transmissions += 1
        itself = self.members.get(recipient)
        if itself is not None and itself.state is not ALIVE:
            updates.append(itself.update())
        fresh = [
            member
            for member in self.members.values()
            if member.transmissions < most and member is not itself and member.incarnation
        ]
        for member in sorted(fresh, key=lambda member: member.transmissions)[: MAX_UPDATES - len(updates)]:
            member.transmissions += 1
            updates.append(member.update())
        return updates
