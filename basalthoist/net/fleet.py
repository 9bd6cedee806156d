"""This node's part in a fleet on sockets: datagrams, one timer, the file with the hint, operators' calls.

What is decided is decided in `fleet/`; here words are carried, and what counts is handed to the decisions.
"""

import asyncio
import os
from collections import Counter
from collections.abc import Callable
from functools import partial
from hashlib import blake2b
from pathlib import Path

import msgspec

from basalthoist.configuration import Configuration, FleetDocument, address_of
from basalthoist.decisions.chance import Lcg
from basalthoist.fleet.evidence import claimed
from basalthoist.fleet.members import Members
from basalthoist.fleet.register import Held, Verdict, whole
from basalthoist.fleet.replica import Replica
from basalthoist.fleet.shares import Bucket, Holder, Limit
from basalthoist.fleet.wire import Ack, Acquaintance, Letter, Ping, Word, decode, encode

from .bans import Bans
from .log import Log
from .timers import SECOND, Timers, awake_or_not, now
from .whole import put_whole

NEVER = 1 << 60  # a time that does not come
MOST_NAMED = 8  # odd datagrams that are logged one by one in a period


class Hint(msgspec.Struct, array_like=True):
    """The file in `$TMPDIR`: the set that was held last. Never proof."""

    fleet: str
    ballot: int
    version: int
    digest: bytes
    data: bytes


class Part:
    """This node's part of a limit, for the decisions, by the clock that counts while a machine sleeps."""

    def __init__(self, bucket: Bucket) -> None:
        self.bucket = bucket

    def take(self, now: int) -> bool:
        return self.bucket.take(awake_or_not())


class Fleet(asyncio.DatagramProtocol):
    """The host of the replica. `stands_by` is told whether this node's view has become stale."""

    def __init__(self, told: FleetDocument, configuration: Configuration, timers: Timers, log: Log,
                 bans: Bans, shut: Callable[[set[str]], None], exchanges, stands_by: Callable[[bool], None],
                 aside, rests: Callable[[], bool]) -> None:  # fmt: skip
        self.told, self.me, self.timers, self.log, self.bans = told, configuration.name, timers, log, bans
        self.shut, self.exchanges, self.stands_by, self.aside = shut, exchanges, stands_by, aside
        self.rests = rests
        self.customers, self.set_here = configuration.customers, {}
        self.quotas = [customer.quota for customer in exchanges.node.customers.values()]
        self.key, bounds = told.key(), told.bounds()
        self.addresses = {name: address_of(text) for name, text in told.nodes.items()}
        self.names = {at: name for name, at in self.addresses.items() if name != self.me}
        self.path = Path(configuration.folder) / "fleet.msgpack" if configuration.folder else None
        self.writing, self.to_write = False, None
        life, at = int.from_bytes(os.urandom(7), "big"), awake_or_not()
        chance = Lcg(int.from_bytes(os.urandom(7), "big"))
        self.acquaintance = Acquaintance(self.me, life, chance, bounds.beat)
        self.callers: dict[int, Callable[[str], None]] = {}
        self.last_call = int.from_bytes(os.urandom(5), "big") << 20
        self.transport: asyncio.DatagramTransport | None = None
        self.odd_ones, self.unsent = Counter(), 0
        voters = sorted(told.voters)
        hint = self.read()
        self.holder = self.hold_parts(at) if told.limits else None
        nodes = sorted(told.nodes)
        self.replica = Replica(self, self.me, nodes, voters, bounds, chance, at, hint, self.holder)
        period = int(told.probe_s * SECOND)
        self.members = Members(self, self.me, life, nodes, period, chance, at)
        self.standing_by = not self.replica.may_send(at)
        stands_by(self.standing_by)
        timers.every(max(bounds.beat // 4, 50), self.tick)
        timers.every(10 * SECOND, self.report)

    # The socket.

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self.transport = transport
        if self.holder is not None:
            self.holder.lend(awake_or_not())  # the process before this one may have lent it just now

    def datagram_received(self, data: bytes, sender: tuple) -> None:
        name = self.names.get(sender[:2])
        if name is None:
            return self.odd(f"a stranger, {sender[0]}:{sender[1]}")
        try:
            letter = decode(self.key, data)
        except ValueError as wrong:
            return self.odd(f"from {name}: {wrong}")
        if (letter.sender, letter.to) != (name, self.me):
            return self.odd(f"from {name}, as {letter.sender!r} to {letter.to!r}")
        at, knew = awake_or_not(), self.acquaintance.lives.get(name)
        counts, unknown, reply = self.acquaintance.heard(letter)
        if reply is not None:
            self.post(name, letter.life, reply)
        if unknown and (question := self.acquaintance.question(at, name)) is not None:
            self.post(name, letter.life, question)
        if self.acquaintance.lives.get(name) != knew:
            self.log(f"fleet: {name} has {'begun another life' if knew else 'been met'}")
            self.replica.on_life(name)
            self.members.on_life(at, name, letter.life)
        if counts:
            # Guards against a word that breaks something here: it ends no more than itself.
            try:
                self.heard(at, name, letter.word)
            except Exception as wrong:
                self.odd(f"from {name}, {type(letter.word).__name__} failed: {wrong!r}")
            self.look(at)

    def heard(self, at: int, name: str, word: Word) -> None:
        if type(word) is Ping:
            self.members.on_ping(at, name, word)
        elif type(word) is Ack:
            self.members.on_ack(at, name, word)
        else:
            self.replica.on_heard(at, name, word)

    def error_received(self, wrong: OSError) -> None:
        self.unsent += 1

    def post(self, name: str, life: int, word: Word) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        letter = Letter(self.me, self.acquaintance.life, name, life, word)
        try:
            self.transport.sendto(encode(self.key, letter), self.addresses[name])
        except (OSError, ValueError):
            self.unsent += 1  # any word may be lost

    def odd(self, what: str) -> None:
        """The first of its kind is logged at once, the others are counted."""
        if len(self.odd_ones) >= MOST_NAMED and what not in self.odd_ones:
            what = "others"
        elif what not in self.odd_ones:
            self.log(f"fleet: a datagram dropped: {what}")
        self.odd_ones[what] += 1

    def report(self) -> None:
        for what, times in self.odd_ones.items():
            if times > 1:
                self.log(f"fleet: dropped in 10 s, {times} times: {what}")
        if self.unsent:
            self.log(f"fleet: {self.unsent} words not sent")
        self.odd_ones, self.unsent = Counter(), 0

    # Time.

    def tick(self) -> None:
        at = awake_or_not()
        self.rest(at, self.rests())
        self.replica.on_tick(at)
        self.members.on_tick(at)
        self.look(at)

    def look(self, at: int) -> None:
        """Whether this node still may act on what it knows."""
        if self.standing_by == self.replica.may_send(at):
            self.standing_by = not self.standing_by
            if self.standing_by:
                self.log(f"view stale, version {self.replica.acting.version}: stands by")
            else:
                self.log(f"view confirmed, version {self.replica.acting.version}")
            self.stands_by(self.standing_by)

    def may_send(self) -> bool:
        """Asked before every send: a process that stood still has not looked at its timers yet."""
        return self.replica.may_send(awake_or_not())

    # Parts of limits.

    def hold_parts(self, at: int) -> Holder:
        limits = [Limit(limit.customer, limit.rate, limit.burst) for limit in self.told.limits]
        holder = Holder(limits, len(self.told.nodes), self.told.bounds(), at)
        # Guards against two processes of one node that both use its part: it has none before the address.
        for limit, bucket in zip(limits, holder.buckets, strict=True):
            bucket.sure_from = NEVER
            self.exchanges.on_limit(self.customers.index(limit.customer), Part(bucket))
        return holder

    def rest(self, at: int, rests: bool) -> None:
        """Nobody comes here: what this node was granted goes back at once."""
        if self.holder is not None and rests != self.holder.closed:
            (self.holder.close if rests else self.holder.open)(at)

    # The replica's host.

    def send(self, name: str, word: Word) -> None:
        life = self.acquaintance.lives.get(name)
        if life is None:
            if (question := self.acquaintance.question(awake_or_not(), name)) is not None:
                self.post(name, 0, question)
            return
        self.post(name, life, word)

    def act(self, held: Held) -> None:
        verdicts = held.verdicts.values()
        self.bans.fleet(v.subject for v in verdicts if v.kind in ("ban", "sick"))
        self.shut({v.subject for v in verdicts if v.kind == "customer"})
        self.set_quotas({v.subject: v.figure for v in verdicts if v.kind == "quota"})
        self.log(f"fleet: acts on version {held.version}, {len(held.verdicts)} verdicts")

    def set_quotas(self, changed: dict[str, float]) -> None:
        """What the fleet sets, and what was configured where it sets nothing any more."""
        for number, name in enumerate(self.customers):
            if changed.get(name) != self.set_here.get(name):
                self.exchanges.on_quota(number, changed.get(name, self.quotas[number]))
        self.set_here = changed

    def sick(self) -> list[str]:
        return claimed(self.exchanges.node.backends.values(), now())

    def listed(self) -> int:
        return len(self.exchanges.node.backends)

    def keep(self, held: Held) -> None:
        self.to_write = held
        self.write()

    def member(self, name: str, state: int) -> None:
        pass  # who is there is for operators; the author goes by touches

    def answered(self, ident: int, text: str) -> None:
        caller = self.callers.pop(ident, None)
        if caller is not None:
            caller(text)

    # Operators.

    def call(self, kinds: tuple[str, ...], on: bool, subject: str, answer: Callable[[str], None],
             figure: float = 0.0) -> None:  # fmt: skip
        self.ask([Verdict(kind, subject, on, figure, self.me, "operator") for kind in kinds], answer)

    def status(self, answer: Callable[[str], None]) -> None:
        at = awake_or_not()
        if self.replica.author:
            self.ask([], answer)
        else:
            answer(f"FAILURE {self.replica.status(at)}")

    def who_is_there(self) -> str:
        return f"SUCCESS {self.members.line(awake_or_not())}"

    def ask(self, changes: list[Verdict], answer: Callable[[str], None]) -> None:
        self.last_call += 1
        self.callers[self.last_call] = answer
        self.replica.on_call(awake_or_not(), self.last_call, changes)

    # The hint.

    def write(self) -> None:
        """One write at a time; what is held meanwhile is in the next."""
        if self.path is None or self.writing or self.to_write is None:
            return
        held, self.to_write, self.writing = self.to_write, None, True
        hint = Hint(self.told.fleet, held.ballot, held.version, held.digest, held.data)
        data = msgspec.msgpack.encode(hint)

        def done(wrong: str) -> None:
            self.writing = False
            if wrong:
                self.log(f"fleet: hint not kept: {wrong}")
            self.write()

        data = blake2b(data, digest_size=16).digest() + data
        self.aside(partial(put_whole, self.path, data, synced=True), done)

    def read(self) -> Held | None:
        if self.path is None:
            return None
        try:
            data = self.path.read_bytes()
            if blake2b(data[16:], digest_size=16).digest() != data[:16]:
                raise ValueError("damaged")
            hint = msgspec.msgpack.decode(data[16:], type=Hint)
            held = whole(hint.ballot, hint.version, hint.digest, hint.data)
            if hint.fleet != self.told.fleet or held is None:
                raise ValueError("damaged, or of another fleet")
            return held
        except FileNotFoundError:
            return None
        except (OSError, ValueError, msgspec.DecodeError) as wrong:
            # Guards against a damaged file that would keep the node from serving: it costs time, not truth.
            self.log(f"fleet: {self.path} not read: {wrong}")
            return None

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()
