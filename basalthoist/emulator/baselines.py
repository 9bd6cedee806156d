"""Policies to compare with. They keep the rules in the simplest way that does; none is used by `Balancer`."""

from collections.abc import Callable
from random import Random

from basalthoist.decisions.backend import Backend
from basalthoist.decisions.balancer import Balancer
from basalthoist.decisions.interface import NEVER_RAN, BalancerHost, Outcome
from basalthoist.decisions.request import Request
from basalthoist.decisions.rotation import Rotation


class Plain:
    """Sends to what `choose` names, tries again elsewhere where that is allowed, and sheds when it can't."""

    def __init__(self, host, seed: int, settings: dict, now: int) -> None:
        self.host, self.settings, self.rng = host, settings, Random(seed)
        self.fit: dict[str, object] = {}
        self.open: dict[int, dict] = {}
        self.out: dict[str, int] = {}
        self.turn = self.rng.randrange(1 << 30)

    def choose(self, names: list[str], now: int) -> str:
        raise NotImplementedError

    def causes_no_duplicate(self, request: dict) -> bool:
        ran = [one for one in request["ends"] if one not in NEVER_RAN]
        return not ran or request["semantics"] == "idempotent"

    def on_request(self, now: int, ident: int, route: int, customer: int, grace: int, again: bool) -> None:
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
        request = self.open[ident]
        names = [name for name in self.fit if name not in request["sent"]] or list(self.fit)
        if not names or len(request["sent"]) >= self.settings["policy_limits.max_upstream_tries"]:
            return self.give_up(ident)
        name = self.choose(names, now)
        request["sent"].append(name)
        self.out[name] = self.out.get(name, 0) + 1
        self.host.send(ident, name, max(request["until"] - now - 1, 1))

    def give_up(self, ident: int) -> None:
        request = self.open[ident]
        if not request["over"]:
            request["over"] = True
            ran = len(request["ends"]) < len(request["sent"]) or any(
                end not in NEVER_RAN for end in request["ends"]
            )
            if ran and request["semantics"] != "idempotent":
                self.host.fail(ident)
            else:
                self.host.shed(ident, 0)
            if len(request["ends"]) < len(request["sent"]):
                self.host.cancel(ident, len(request["sent"]) - 1)

    def on_attempt_ended(
        self, now: int, ident: int, number: int, outcome: Outcome, took: int, over: bool, load
    ) -> None:
        if (request := self.open.get(ident)) is None:
            return
        name = request["sent"][number]
        self.out[name] -= 1
        request["ends"].append(outcome)
        if over or request["over"]:
            request["over"] = True
            if len(request["ends"]) == len(request["sent"]):
                del self.open[ident]
        elif now < request["until"] - 1 and self.causes_no_duplicate(request):
            self.place(now, ident)
        else:
            self.give_up(ident)

    def on_wake(self, now: int, tag: str) -> None:
        ident = int(tag.split()[1])
        if ident in self.open:
            self.give_up(ident)

    def on_client_gone(self, now: int, ident: int) -> None:
        request = self.open.pop(ident, None)
        if request is not None:
            for number in range(len(request["ends"]), len(request["sent"])):
                self.out[request["sent"][number]] -= 1
                self.host.cancel(ident, number)

    def on_endpoint_list(self, now: int, entries, whole: bool) -> None:
        if whole:
            self.fit.clear()
        for entry in entries:
            self.fit.pop(entry.name, None)
            if entry.state == "healthy":
                self.fit[entry.name] = entry

    def on_endpoint_list_failed(self, now: int) -> None: ...
    def on_health_check_ended(self, now: int, name: str, outcome: Outcome, took: int, load) -> None: ...
    def on_gossip(self, now: int, peer: int, words) -> None: ...
    def on_response_started(self, now: int, ident: int, number: int) -> None: ...


class RandomChoice(Plain):
    def choose(self, names: list[str], now: int) -> str:
        return self.rng.choice(names)


class RoundRobin(Plain):
    def choose(self, names: list[str], now: int) -> str:
        self.turn += 1
        return names[self.turn % len(names)]


class LeastOutstanding(Plain):
    def choose(self, names: list[str], now: int) -> str:
        least = min(self.out.get(name, 0) for name in names)
        return self.rng.choice([name for name in names if self.out.get(name, 0) == least])


class TwoChoices(Plain):
    def choose(self, names: list[str], now: int) -> str:
        return min(self.rng.sample(names, min(2, len(names))), key=lambda name: self.out.get(name, 0))


class Oracle(Plain):
    """Sees the true state of every backend and path: what no node can."""

    def choose(self, names: list[str], now: int) -> str:
        fleet = self.host.fleet

        def wait(name: str) -> float:
            server = fleet.servers[name]
            there = server.alive and not server.frozen and not server.draining
            there = there and fleet.paths.open(self.host.location, server.location)
            if not there:
                return 1e9 + self.rng.random()
            return (server.held() + self.host.fleet.under_way(name) + 1) / (server.capacity() * server.good)

        return min(names, key=wait)


class Variant(Balancer):
    """`Balancer` with a part of the design switched off, for experiments alone."""


class NoStepwise(Variant):
    """New backends stand as their kind's mean from the start."""

    def choose(self, now: int) -> None:
        super().choose(now)
        for backend in self.subset.backends:
            backend.profiling_stage = 0


class NoSkippingRotation(Rotation):
    """Sends to whose turn it is, whatever it holds."""

    def pick(self, now: int, request: Request) -> Backend | None:
        fit = self.candidates(now, request)
        for backend in fit:
            backend.credit += backend.target_rate
        if not fit:
            return None
        fit[0].credit -= sum(backend.target_rate for backend in fit)
        return fit[0]


class NoSkipping(Variant):
    """Rotation without the rules that pass a backend over."""

    def build_rules(self, host: BalancerHost) -> None:
        super().build_rules(host)
        self.rotation = NoSkippingRotation(
            self.settings,
            self.route_bounds,
            self.subset,
            self.solver,
            self.loads,
            self.slow_start,
            self.retry,
            self.gossip,
        )


class NoFloor(Variant):
    """No backend keeps a floor share."""

    def build_rules(self, host: BalancerHost) -> None:
        super().build_rules(host)
        self.solver.floor_share = 0.0


class NoPeers(Variant):
    def __init__(self, host, seed: int, settings: dict, now: int) -> None:
        super().__init__(host, seed, settings | {"policy_limits.peers": False}, now)


POLICIES: dict[str, Callable] = {
    "node": Balancer,
    "random": RandomChoice,
    "round-robin": RoundRobin,
    "least-outstanding": LeastOutstanding,
    "two-choices": TwoChoices,
    "oracle": Oracle,
    "no-floor": NoFloor,
    "no-stepwise": NoStepwise,
    "no-skipping": NoSkipping,
    "no-peers": NoPeers,
}
