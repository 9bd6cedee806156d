"""Who is there: probes, probes through others, suspicion, and words that refute it. Sources: docs/fleet.md.

Each period one other node is asked, all in turn, in an order drawn anew each round. What is learnt rides
on probes and answers. A node that is late, or hears nobody, doubts itself before it accuses others.
Times are whole tenths of a millisecond.
"""

from math import log2
from typing import Protocol

from .wire import Ack, Ping

ALIVE, SUSPECT, GONE = 0, 1, 2
NEWS = 8  # members that a word tells of
THROUGH = 3  # others that are asked to probe
MOST_DOUBT = 8  # times a period is longer at a node that doubts itself, less one
ROUNDS = 4  # periods, times the binary logarithm of the members, that a suspect has to refute

News = tuple[str, int, int, int]


class Host(Protocol):
    def send(self, name: str, word: Ping | Ack) -> None: ...
    def member(self, name: str, state: int) -> None: ...  # its state is another now
    def log(self, line: str) -> None: ...


class Member:
    def __init__(self, name: str) -> None:
        self.name, self.life, self.incarnation = name, 0, 0
        self.state, self.since, self.told = ALIVE, 0, 1 << 30  # told: how often the last news of it went out
        self.by_me = False  # it did not answer here

    def news(self) -> News:
        return self.name, self.life, self.incarnation, self.state


class Members:
    def __init__(self, host: Host, me: str, life: int, names: list[str], period: int, chance, now: int):
        self.host, self.me, self.life, self.period, self.chance = host, me, life, period, chance
        self.members = {name: Member(name) for name in names if name != me}
        self.incarnation, self.doubt, self.own_told = 0, 0, 0
        self.round: list[str] = []
        self.number, self.asked, self.asked_at, self.step = 0, "", now, 1
        self.asked_for: dict[int, tuple[str, int, int]] = {}  # for whom, its number, when
        self.next_at = now + int(period * chance.uniform())
        self.looked_at = now

    def there(self) -> list[str]:
        return [member.name for member in self.members.values() if member.state != GONE]

    def line(self, now: int) -> str:
        """For operators."""
        words = {SUSPECT: "silent", GONE: "gone"}
        odd = [f"{m.name} {words[m.state]} for {(now - m.since) / 10_000:.1f} s"
               for m in self.members.values() if m.state != ALIVE]  # fmt: skip
        return ", ".join([f"{len(self.there()) + 1} of {len(self.members) + 1} there", *odd])

    def most_told(self) -> int:
        return int(3 * log2(len(self.members) + 2)) + 1

    def patience(self) -> int:
        return int(self.period * ROUNDS * max(log2(len(self.members) + 1), 1.0) / 2)

    # Time.

    def on_tick(self, now: int) -> None:
        late, self.looked_at = now - self.looked_at, now
        if late > self.period // 2:
            # Guards against one that stood still and takes what it missed for the silence of others.
            self.doubt = min(self.doubt + 2, MOST_DOUBT)
            self.asked, self.next_at = "", now + self.period
            for member in self.members.values():
                member.since = now if member.state == SUSPECT else member.since
            return
        if self.asked and now - self.asked_at > self.period * (1 + self.doubt) * self.step // 6:
            self.step += 1
            if self.step == 3:
                self.ask_through()
            elif self.step < 5:  # on links that lose much most silences are none
                self.probe(self.asked)
        if now >= self.next_at:
            self.next_at = now + self.period * (1 + self.doubt)
            if self.asked:
                self.doubt = min(self.doubt + 1, MOST_DOUBT)
                self.suspect(now, self.members[self.asked])
            self.ask(now)
            for member in self.members.values():
                # Guards against suspicion that travels faster than what refutes it: it may speak for itself.
                if member.state == SUSPECT and (member.by_me or now - member.since > self.patience() // 3):
                    self.probe(member.name)
        for member in self.members.values():
            if member.state == SUSPECT and now - member.since > self.patience() * (1 + self.doubt):
                self.change(now, member, GONE)

    def ask(self, now: int) -> None:
        while self.round and self.members[self.round[-1]].state == GONE and self.chance.uniform() < 0.8:
            self.round.pop()  # who is gone is asked now and then, or two halves would never meet again
        if not self.round:
            names = list(self.members)
            while names:
                self.round.append(names.pop(int(self.chance.uniform() * len(names))))
        if self.round:
            self.number += 1
            self.asked, self.asked_at, self.step = self.round.pop(), now, 1
            self.probe(self.asked)

    def probe(self, name: str) -> None:
        self.host.send(name, Ping(self.number, name, self.gossip(name)))

    def ask_through(self) -> None:
        others = [name for name in self.there() if name != self.asked]
        for _ in range(min(THROUGH, len(others))):
            other = others.pop(int(self.chance.uniform() * len(others)))
            self.host.send(other, Ping(self.number, self.asked, self.gossip(other)))

    # What comes.

    def on_ping(self, now: int, name: str, word: Ping) -> None:
        self.heard(now, name, word.news)
        if word.target == self.me:
            self.host.send(name, Ack(word.number, self.me, self.gossip(name)))
        elif word.target in self.members:
            self.number += 1
            # Guards against probes for others that nobody answers: only the latest are remembered.
            while len(self.asked_for) > 64:
                del self.asked_for[next(iter(self.asked_for))]
            self.asked_for[self.number] = name, word.number, now
            self.host.send(word.target, Ping(self.number, word.target, self.gossip(word.target)))

    def on_ack(self, now: int, name: str, word: Ack) -> None:
        self.heard(now, name, word.news)
        wanted = self.asked_for.pop(word.number, None)
        if wanted is not None and word.target == name:
            self.host.send(wanted[0], Ack(wanted[1], name, self.gossip(wanted[0])))
        if word.number == self.number and word.target == self.asked:
            self.asked, self.doubt = "", max(self.doubt - 1, 0)

    def on_life(self, now: int, name: str, life: int) -> None:
        """It has answered as this life: what was said of one before is over."""
        member = self.members[name]
        if member.life != life:
            member.life, member.incarnation = life, 0
            self.change(now, member, ALIVE)

    def heard(self, now: int, name: str, news: list[News]) -> None:
        for about, life, incarnation, state in news[:NEWS]:
            if about == self.me:
                if life == self.life and state != ALIVE:
                    # Suspected while alive, so perhaps slow: it refutes, and doubts itself. Who has not heard
                    # of an earlier refutation is told again.
                    self.own_told = 0
                    self.doubt = min(self.doubt + (incarnation >= self.incarnation), MOST_DOUBT)
                    self.incarnation = max(self.incarnation, incarnation + 1)
            elif (member := self.members.get(about)) is not None:
                self.weigh(now, member, life, incarnation, state)

    def weigh(self, now: int, member: Member, life: int, incarnation: int, state: int) -> None:
        if not member.life:
            member.life = life
        if life != member.life:
            return  # of an earlier life, or of one that has not answered here yet
        newer = incarnation > member.incarnation
        if newer or incarnation == member.incarnation and state > member.state:
            member.incarnation = incarnation
            if state != member.state:
                self.change(now, member, state)
            else:
                member.told = 0

    def suspect(self, now: int, member: Member) -> None:
        self.asked = ""
        if member.state == ALIVE:
            self.change(now, member, SUSPECT)
            member.by_me = True

    def change(self, now: int, member: Member, state: int) -> None:
        before, member.state, member.since, member.told = member.state, state, now, 0
        member.by_me = False
        if GONE in (before, state) and before != state:
            count = len(self.there()) + 1
            word = "is gone" if state == GONE else "is there again"
            self.host.log(f"fleet: {member.name} {word}, {count} of {len(self.members) + 1} there")
        self.host.member(member.name, state)

    def gossip(self, name: str) -> list[News]:
        """What is newest; whom it is sent to hears first what is said of itself, so that it can refute."""
        news, most = [], self.most_told()
        if self.own_told < most:
            news.append((self.me, self.life, self.incarnation, ALIVE))
            self.own_told += 1
        itself = self.members.get(name)
        if itself is not None and itself.state != ALIVE:
            news.append(itself.news())
        fresh = [m for m in self.members.values() if m.told < most and m is not itself and m.life]
        for member in sorted(fresh, key=lambda m: m.told)[: NEWS - len(news)]:
            member.told += 1
            news.append(member.news())
        return news
