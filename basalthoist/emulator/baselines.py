"""Policies to compare with. They keep the rules in the simplest way that does; none is used by `Node`."""

from collections.abc import Callable
from random import Random

from basalthoist.decisions.host import NEVER_RAN, Outcome
from basalthoist.decisions.policy import Node


class Plain:
    """Sends to what `choose` names, tries again elsewhere where that is allowed, and sheds when it can't."""

    def __init__(self, host, seed: int, settings: dict, now: int) -> None:
        self.host, self.settings, self.chance = host, settings, Random(seed)
        self.fit: dict[str, object] = {}
        self.open: dict[int, dict] = {}
        self.out: dict[str, int] = {}
        self.turn = self.chance.randrange(1 << 30)

    def choose(self, names: list[str], now: int) -> str:
        raise NotImplementedError

    def may_repeat(self, xchg: dict) -> bool:
        ran = [one for one in xchg["ends"] if one not in NEVER_RAN]
        return not ran or xchg["semantics"] == "retriable"

    def on_exchange(self, now: int, ident: int, route: int, customer: int, grace: int, again: bool) -> None:
        semantics = self.settings[f"routes.{route}.semantics"]
        self.open[ident] = {
            "semantics": semantics,
            "until": now + grace,
            "ends": [],
            "sent": [],
            "over": False,
        }
        self.place(now, ident)
        self.host.wake(max(grace - 1, 0), f"end {ident}")

    def place(self, now: int, ident: int) -> None:
        xchg = self.open[ident]
        names = [name for name in self.fit if name not in xchg["sent"]] or list(self.fit)
        if not names or len(xchg["sent"]) >= self.settings["policy_limits.max_upstream_tries"]:
            return self.give_up(ident)
        name = self.choose(names, now)
        xchg["sent"].append(name)
        self.out[name] = self.out.get(name, 0) + 1
        self.host.send(ident, name, max(xchg["until"] - now - 1, 1))

    def give_up(self, ident: int) -> None:
        xchg = self.open[ident]
        if not xchg["over"]:
            xchg["over"] = True
            ran = len(xchg["ends"]) < len(xchg["sent"]) or any(end not in NEVER_RAN for end in xchg["ends"])
            if ran and xchg["semantics"] != "retriable":
                self.host.fail(ident)
            else:
                self.host.shed(ident, 0)
            if len(xchg["ends"]) < len(xchg["sent"]):
                self.host.cancel(ident, len(xchg["sent"]) - 1)

    def on_try_ended(
        self, now: int, ident: int, number: int, outcome: Outcome, took: int, over: bool, load
    ) -> None:
        if (xchg := self.open.get(ident)) is None:
            return
        name = xchg["sent"][number]
        self.out[name] -= 1
        xchg["ends"].append(outcome)
        if over or xchg["over"]:
            xchg["over"] = True
            if len(xchg["ends"]) == len(xchg["sent"]):
                del self.open[ident]
        elif now < xchg["until"] - 1 and self.may_repeat(xchg):
            self.place(now, ident)
        else:
            self.give_up(ident)

    def on_wake(self, now: int, tag: str) -> None:
        ident = int(tag.split()[1])
        if ident in self.open:
            self.give_up(ident)

    def on_exchange_gone(self, now: int, ident: int) -> None:
        xchg = self.open.pop(ident, None)
        if xchg is not None:
            for number in range(len(xchg["ends"]), len(xchg["sent"])):
                self.out[xchg["sent"][number]] -= 1
                self.host.cancel(ident, number)

    def on_list(self, now: int, entries, whole: bool) -> None:
        if whole:
            self.fit.clear()
        for entry in entries:
            self.fit.pop(entry.name, None)
            if entry.state == "healthy":
                self.fit[entry.name] = entry

    def on_list_failed(self, now: int) -> None: ...
    def on_probe_ended(self, now: int, name: str, outcome: Outcome, took: int, load) -> None: ...
    def on_told(self, now: int, peer: int, words) -> None: ...
    def on_answer_started(self, now: int, ident: int, number: int) -> None: ...


class RandomChoice(Plain):
    def choose(self, names: list[str], now: int) -> str:
        return self.chance.choice(names)


class RoundRobin(Plain):
    def choose(self, names: list[str], now: int) -> str:
        self.turn += 1
        return names[self.turn % len(names)]


class LeastOutstanding(Plain):
    def choose(self, names: list[str], now: int) -> str:
        least = min(self.out.get(name, 0) for name in names)
        return self.chance.choice([name for name in names if self.out.get(name, 0) == least])


class TwoChoices(Plain):
    def choose(self, names: list[str], now: int) -> str:
        return min(self.chance.sample(names, min(2, len(names))), key=lambda name: self.out.get(name, 0))


class Oracle(Plain):
    """Sees the true state of every backend and path: what no node can."""

    def choose(self, names: list[str], now: int) -> str:
        fleet = self.host.fleet

        def wait(name: str) -> float:
            server = fleet.servers[name]
            there = server.alive and not server.frozen and not server.draining
            there = there and fleet.paths.open(self.host.location, server.location)
            if not there:
                return 1e9 + self.chance.random()
            return (server.held() + self.host.fleet.under_way(name) + 1) / (server.capacity() * server.good)

        return min(names, key=wait)


class Variant(Node):
    """`Node` with a part of the design switched off, for experiments alone."""


class NoStepwise(Variant):
    def choose(self, now: int) -> None:
        super().choose(now)
        for backend in self.usable:
            backend.stage = 0


class NoSkipping(Variant):
    def pick(self, now: int, xchg):
        fit = self.turns(now, xchg)
        for backend in fit:
            backend.credit += backend.share
        if not fit:
            return None
        fit[0].credit -= sum(b.share for b in fit)
        return fit[0]


class NoFloor(Variant):
    def solve(self, now: int) -> None:
        from basalthoist.decisions import policy

        kept, policy.FLOOR_SHARE = policy.FLOOR_SHARE, 0.0
        try:
            super().solve(now)
        finally:
            policy.FLOOR_SHARE = kept


class NoPeers(Variant):
    def __init__(self, host, seed: int, settings: dict, now: int) -> None:
        super().__init__(host, seed, settings | {"policy_limits.peers": False}, now)


POLICIES: dict[str, Callable] = {
    "node": Node, "random": RandomChoice, "round-robin": RoundRobin, "least-outstanding": LeastOutstanding,
    "two-choices": TwoChoices, "oracle": Oracle, "no-floor": NoFloor, "no-stepwise": NoStepwise,
    "no-skipping": NoSkipping, "no-peers": NoPeers,
}  # fmt: skip
