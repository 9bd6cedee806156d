"""Membership by SWIM: direct and indirect probes, suspicion and refutation. Sources: docs/fleet.md.

In each period a node probes one other member; each round covers all members in a new random order. Probes
and acks carry the gossip. A node whose ticks are late, or whose probes are not answered, raises its health
penalty, so that it waits longer before it suspects others. Times are whole tenths of a millisecond.
"""

from math import log2
from typing import NamedTuple, Protocol

from basalthoist.decisions.random_numbers import Lcg

from .wire import Ack, MemberState, MemberUpdate, Ping

ALIVE, SUSPECT, GONE = MemberState.ALIVE, MemberState.SUSPECT, MemberState.GONE
UNITS_PER_SECOND = 10_000
MAX_UPDATES_PER_MESSAGE = 8
MAX_INDIRECT_PROBES = 3  # members that are requested to probe a member that has not answered
MAX_HEALTH_PENALTY = 8  # periods that are added to a period
SUSPICION_FACTOR = 4  # the suspicion timeout is this times half log2 of the member count, in periods
TRANSMISSION_FACTOR = 3  # an update is gossiped about this times log2 of the member count
NOTHING_TO_GOSSIP = 1 << 30  # transmission count of a member without an update to gossip
MAX_FORWARDED_PROBES = 64
SKIP_GONE_PROBABILITY = 0.8
PROBE_STEPS = 6  # equal steps of a period; a probe without ack is repeated after a step
INDIRECT_STEP = 3  # the step in which other members are requested to probe
LAST_REPEAT_STEP = 4
LATE_TICK_PENALTY = 2  # periods

STATE_TEXTS = {SUSPECT: "silent", GONE: "gone"}


class MembersHost(Protocol):
    """Carries out the effects of the membership protocol."""

    def send(self, name: str, message: Ping | Ack) -> None:
        """Sends a message to a member."""

    def on_member_state(self, name: str, state: MemberState) -> None:
        """Reports that the state of a member has changed."""

    def log(self, line: str) -> None:
        """Writes a log line."""


class ForwardedProbe(NamedTuple):
    """A probe that this node has sent for another member."""

    requester: str
    number: int  # of the probe in the requester's numbering


class Member:
    """The state of another member as this node knows it."""

    def __init__(self, name: str) -> None:
        self.name: str = name
        self.incarnation: int = 0  # 0: not known yet
        self.refutations: int = 0
        self.state: MemberState = ALIVE
        self.since: int = 0  # when the state changed last
        self.transmissions: int = NOTHING_TO_GOSSIP  # how often the last update has been gossiped
        self.suspected_here: bool = False  # whether the member did not answer this node's own probe

    def update(self) -> MemberUpdate:
        """Returns the update to gossip about this member."""
        return MemberUpdate(self.name, self.incarnation, self.refutations, self.state)


class Members:
    """The membership protocol at one node: its knowledge of all other members."""

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
        self.own_transmissions: int = 0  # how often the update about this node has been gossiped
        self.health_penalty: int = 0  # number of periods by which each period is extended
        self.round: list[str] = []  # members not probed yet in this round
        self.probe_number: int = 0
        self.probed: str = ""  # the member that has not acknowledged the current probe
        self.probed_at: int = now
        self.probe_step: int = 1
        self.forwarded: dict[int, ForwardedProbe] = {}  # by this node's probe number
        self.next_probe_at: int = now + int(period * random.uniform())
        self.last_tick_at: int = now

    def present(self) -> list[str]:
        """Returns the other members that are alive or suspect."""
        return [member.name for member in self.members.values() if member.state is not GONE]

    def status(self, now: int) -> str:
        """Returns the member count and the missing members, for operators."""
        count = f"{len(self.present()) + 1} of {len(self.members) + 1} there"
        missing = [
            f"{member.name} {STATE_TEXTS[member.state]} for {(now - member.since) / UNITS_PER_SECOND:.1f} s"
            for member in self.members.values()
            if member.state is not ALIVE
        ]
        return ", ".join([count, *missing])

    def max_transmissions(self) -> int:
        """Returns how often an update is gossiped."""
        return int(TRANSMISSION_FACTOR * log2(len(self.members) + 2)) + 1

    def suspicion_timeout(self) -> int:
        """Returns the time after which a suspect that has not refuted the suspicion is gone."""
        return int(self.period * SUSPICION_FACTOR * max(log2(len(self.members) + 1), 1.0) / 2)

    # Time.

    def on_tick(self, now: int) -> None:
        """Repeats or begins probes and removes suspects, as far as due."""
        elapsed, self.last_tick_at = now - self.last_tick_at, now
        if elapsed > self.period // 2:
            return self.on_late_tick(now)
        self.repeat_probe(now)
        if now >= self.next_probe_at:
            self.begin_period(now)
        self.remove_suspects(now)

    def on_late_tick(self, now: int) -> None:
        """Cancels the current probe and restarts the suspicion timeouts after this node was suspended.

        Guards against suspecting members whose messages this node did not process in the meantime.
        """
        self.raise_penalty(LATE_TICK_PENALTY)
        self.probed, self.next_probe_at = "", now + self.period
        for member in self.members.values():
            member.since = now if member.state is SUSPECT else member.since

    def raise_penalty(self, by: int) -> None:
        """Extends this node's periods by `by` more: the node itself may be slow."""
        self.health_penalty = min(self.health_penalty + by, MAX_HEALTH_PENALTY)

    def repeat_probe(self, now: int) -> None:
        """Repeats a probe without ack. Guards against suspicion on links that lose messages."""
        step_end = self.period * (1 + self.health_penalty) * self.probe_step // PROBE_STEPS
        if not self.probed or now - self.probed_at <= step_end:
            return
        self.probe_step += 1
        if self.probe_step == INDIRECT_STEP:
            self.probe_indirectly()
        elif self.probe_step <= LAST_REPEAT_STEP:
            self.probe(self.probed)

    def begin_period(self, now: int) -> None:
        """Suspects the probed member if it has not answered, then probes the next one and the suspects."""
        self.next_probe_at = now + self.period * (1 + self.health_penalty)
        if self.probed:
            self.raise_penalty(1)
            self.suspect(now, self.members[self.probed])
        self.probe_next(now)
        for member in self.members.values():
            if member.state is SUSPECT:
                self.probe_suspect(now, member)

    def probe_suspect(self, now: int, member: Member) -> None:
        """Probes a suspect, so that the member learns of the suspicion and can refute it in the ack.

        Guards against a suspicion that spreads faster than its refutation. A suspicion by another node is
        checked only after a third of the suspicion timeout.
        """
        if member.suspected_here or now - member.since > self.suspicion_timeout() // 3:
            self.probe(member.name)

    def remove_suspects(self, now: int) -> None:
        """Changes suspects to gone if they have not refuted the suspicion in time."""
        for member in self.members.values():
            if member.state is not SUSPECT:
                continue
            if now - member.since > self.suspicion_timeout() * (1 + self.health_penalty):
                self.change(now, member, GONE)

    def probe_next(self, now: int) -> None:
        """Probes the next member of the round."""
        # Guards against a partition that never heals: members that are gone are still probed sometimes.
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
        """Begins a round with all members in random order."""
        names = list(self.members)
        while names:
            self.round.append(names.pop(int(self.random.uniform() * len(names))))

    def probe(self, name: str) -> None:
        """Probes a member directly."""
        self.host.send(name, Ping(self.probe_number, name, self.gossip(name)))

    def probe_indirectly(self) -> None:
        """Requests other members to probe the member that does not answer."""
        others = [name for name in self.present() if name != self.probed]
        for _ in range(min(MAX_INDIRECT_PROBES, len(others))):
            other = others.pop(int(self.random.uniform() * len(others)))
            self.host.send(other, Ping(self.probe_number, self.probed, self.gossip(other)))

    # Messages.

    def on_ping(self, now: int, name: str, ping: Ping) -> None:
        """Acknowledges a probe, or probes another member for the sender."""
        self.on_updates(now, ping.updates)
        if ping.target == self.me:
            self.host.send(name, Ack(ping.number, self.me, self.gossip(name)))
        elif ping.target in self.members:
            self.forward_probe(name, ping)

    def forward_probe(self, requester: str, ping: Ping) -> None:
        """Probes the target of an indirect probe for the requester."""
        self.probe_number += 1
        # Guards against unlimited memory for forwarded probes without ack.
        while len(self.forwarded) > MAX_FORWARDED_PROBES:
            del self.forwarded[next(iter(self.forwarded))]
        self.forwarded[self.probe_number] = ForwardedProbe(requester, ping.number)
        self.probe(ping.target)

    def on_ack(self, now: int, name: str, ack: Ack) -> None:
        """Processes the ack of this node's own probe, or passes on the ack of a forwarded one."""
        self.on_updates(now, ack.updates)
        probe = self.forwarded.pop(ack.number, None)
        if probe is not None and ack.target == name:
            self.host.send(probe.requester, Ack(probe.number, name, self.gossip(probe.requester)))
        if ack.number == self.probe_number and ack.target == self.probed:
            self.probed, self.health_penalty = "", max(self.health_penalty - 1, 0)

    def on_incarnation(self, now: int, name: str, incarnation: int) -> None:
        """Records a member's new incarnation after its handshake. State of the previous one is void."""
        member = self.members[name]
        if member.incarnation != incarnation:
            member.incarnation, member.refutations = incarnation, 0
            self.change(now, member, ALIVE)

    def on_updates(self, now: int, updates: list[MemberUpdate]) -> None:
        """Processes the updates from another member's probe or ack."""
        for update in updates[:MAX_UPDATES_PER_MESSAGE]:
            if update.name == self.me:
                if update.incarnation == self.incarnation and update.state is not ALIVE:
                    self.refute(update.refutations)
            elif (member := self.members.get(update.name)) is not None:
                self.on_update(now, member, update)

    def refute(self, refutations: int) -> None:
        """Gossips that this node is alive, with a higher refutation count than the suspicion.

        A new suspicion raises the health penalty, because this node may be slow. An old one, from a node that
        has not received the refutation yet, only gossips the refutation again.
        """
        self.own_transmissions = 0
        self.raise_penalty(int(refutations >= self.refutations))
        self.refutations = max(self.refutations, refutations + 1)

    def on_update(self, now: int, member: Member, update: MemberUpdate) -> None:
        """Processes an update, unless it is about another incarnation or older than the member's state."""
        if not member.incarnation:
            member.incarnation = update.incarnation
        if update.incarnation != member.incarnation:
            return  # An earlier incarnation, or one that has not completed a handshake with this node.
        is_refuted = update.refutations < member.refutations
        if is_refuted or update.refutations == member.refutations and update.state <= member.state:
            return
        member.refutations = update.refutations
        if update.state != member.state:
            self.change(now, member, update.state)
        else:
            member.transmissions = 0

    def suspect(self, now: int, member: Member) -> None:
        """Suspects a member that has not answered this node's probes."""
        self.probed = ""
        if member.state is ALIVE:
            self.change(now, member, SUSPECT)
            member.suspected_here = True

    def change(self, now: int, member: Member, state: MemberState) -> None:
        """Changes a member's state, logs and reports the change, and gossips it from now on."""
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
        """Returns the updates for a message, those gossiped least often first.

        Updates about this node and about the recipient come first. The recipient can then refute a suspicion.
        """
        updates: list[MemberUpdate] = []
        max_transmissions = self.max_transmissions()
        if self.own_transmissions < max_transmissions:
            updates.append(MemberUpdate(self.me, self.incarnation, self.refutations, ALIVE))
            self.own_transmissions += 1
        recipient_member = self.members.get(recipient)
        if recipient_member is not None and recipient_member.state is not ALIVE:
            updates.append(recipient_member.update())
        to_gossip = [
            member
            for member in self.members.values()
            if member.transmissions < max_transmissions
            and member is not recipient_member
            and member.incarnation
        ]
        for member in sorted(to_gossip, key=lambda member: member.transmissions)[
            : MAX_UPDATES_PER_MESSAGE - len(updates)
        ]:
            member.transmissions += 1
            updates.append(member.update())
        return updates
