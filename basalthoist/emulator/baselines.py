"""Baseline policies for comparison. They follow the four rules in the simplest way."""

from collections.abc import Callable
from random import Random

from basalthoist.decisions.backend import Backend
from basalthoist.decisions.balancer import Balancer
from basalthoist.decisions.interface import NEVER_RAN, BalancerHost, Outcome
from basalthoist.decisions.request import Request
from basalthoist.decisions.rotation import Rotation


class SimplePolicy:
    """Sends to the backend that `choose` returns; retries elsewhere where that is safe, otherwise sheds."""

    def __init__(self, host, seed: int, settings: dict, now: int) -> None:
        self.host, self.settings, self.rng = host, settings, Random(seed)
        self.healthy: dict[str, object] = {}
        self.requests: dict[int, dict] = {}
        self.in_flight: dict[str, int] = {}
        self.turn = self.rng.randrange(1 << 30)

    def choose(self, names: list[str], now: int) -> str:
        raise NotImplementedError

    def may_retry(self, request: dict) -> bool:
        may_have_run = [outcome for outcome in request["outcomes"] if outcome not in NEVER_RAN]
        return not may_have_run or request["semantics"] == "idempotent"

    def on_request(
        self, now: int, ident: int, route: int, tenant: int, time_left: int, is_retry: bool
    ) -> None:
        semantics = self.settings[f"routes.{route}.semantics"]
        self.requests[ident] = {
            "semantics": semantics,
            "deadline": now + time_left,
            "outcomes": [],
            "sent": [],
            "answered": False,
        }
        self.send_next(now, ident)
        self.host.wake(max(time_left - 1, 0), f"end {ident}")

    def send_next(self, now: int, ident: int) -> None:
        request = self.requests[ident]
        names = [name for name in self.healthy if name not in request["sent"]] or list(self.healthy)
        if not names or len(request["sent"]) >= self.settings["policy_limits.max_upstream_tries"]:
            return self.give_up(ident)
        name = self.choose(names, now)
        request["sent"].append(name)
        self.in_flight[name] = self.in_flight.get(name, 0) + 1
        self.host.send(ident, name, max(request["deadline"] - now - 1, 1))

    def give_up(self, ident: int) -> None:
        request = self.requests[ident]
        if not request["answered"]:
            request["answered"] = True
            may_have_run = len(request["outcomes"]) < len(request["sent"]) or any(
                outcome not in NEVER_RAN for outcome in request["outcomes"]
            )
            if may_have_run and request["semantics"] != "idempotent":
                self.host.fail(ident)
            else:
                self.host.shed(ident, 0)
            if len(request["outcomes"]) < len(request["sent"]):
                self.host.cancel(ident, len(request["sent"]) - 1)

    def on_attempt_ended(
        self, now: int, ident: int, number: int, outcome: Outcome, duration: int, over: bool, load
    ) -> None:
        if (request := self.requests.get(ident)) is None:
            return
        name = request["sent"][number]
        self.in_flight[name] -= 1
        request["outcomes"].append(outcome)
        if over or request["answered"]:
            request["answered"] = True
            if len(request["outcomes"]) == len(request["sent"]):
                del self.requests[ident]
        elif now < request["deadline"] - 1 and self.may_retry(request):
            self.send_next(now, ident)
        else:
            self.give_up(ident)

    def on_wake(self, now: int, tag: str) -> None:
        ident = int(tag.split()[1])
        if ident in self.requests:
            self.give_up(ident)

    def on_client_gone(self, now: int, ident: int) -> None:
        request = self.requests.pop(ident, None)
        if request is not None:
            for number in range(len(request["outcomes"]), len(request["sent"])):
                self.in_flight[request["sent"][number]] -= 1
                self.host.cancel(ident, number)

    def on_endpoint_list(self, now: int, entries, complete: bool) -> None:
        if complete:
            self.healthy.clear()
        for entry in entries:
            self.healthy.pop(entry.name, None)
            if entry.state == "healthy":
                self.healthy[entry.name] = entry

    def on_endpoint_list_failed(self, now: int) -> None: ...
    def on_health_check_ended(self, now: int, name: str, outcome: Outcome, duration: int, load) -> None: ...
    def on_gossip(self, now: int, peer: int, reports) -> None: ...
    def on_response_started(self, now: int, ident: int, number: int) -> None: ...


class RandomChoice(SimplePolicy):
    def choose(self, names: list[str], now: int) -> str:
        return self.rng.choice(names)


class RoundRobin(SimplePolicy):
    def choose(self, names: list[str], now: int) -> str:
        self.turn += 1
        return names[self.turn % len(names)]


class LeastOutstanding(SimplePolicy):
    def choose(self, names: list[str], now: int) -> str:
        least = min(self.in_flight.get(name, 0) for name in names)
        return self.rng.choice([name for name in names if self.in_flight.get(name, 0) == least])


class TwoChoices(SimplePolicy):
    def choose(self, names: list[str], now: int) -> str:
        return min(self.rng.sample(names, min(2, len(names))), key=lambda name: self.in_flight.get(name, 0))


class Oracle(SimplePolicy):
    """Uses the true state of every backend and path, which no real node can see."""

    def choose(self, names: list[str], now: int) -> str:
        fleet = self.host.fleet

        def expected_wait(name: str) -> float:
            server = fleet.servers[name]
            reachable = server.alive and not server.frozen and not server.draining
            reachable = reachable and fleet.paths.is_open(self.host.location, server.location)
            if not reachable:
                return 1e9 + self.rng.random()
            return (server.in_flight() + self.host.fleet.in_transit_to(name) + 1) / (
                server.capacity() * server.success_rate
            )

        return min(names, key=expected_wait)


class Variant(Balancer):
    """`Balancer` with one mechanism switched off, for experiments only."""


class NoStepwise(Variant):
    """Skips stepwise profiling: new backends start with the mean profile of their kind."""

    def choose(self, now: int) -> None:
        super().choose(now)
        for backend in self.subset.backends:
            backend.profiling_stage = 0


class NoSkippingRotation(Rotation):
    """Sends to the backend whose turn it is, regardless of its load."""

    def pick(self, now: int, request: Request) -> Backend | None:
        candidates = self.candidates(now, request)
        for backend in candidates:
            backend.credit += backend.target_rate
        if not candidates:
            return None
        candidates[0].credit -= sum(backend.target_rate for backend in candidates)
        return candidates[0]


class NoSkipping(Variant):
    """Uses a rotation that never skips a loaded backend."""

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
    """Solves target rates without a floor share for each backend."""

    def build_rules(self, host: BalancerHost) -> None:
        super().build_rules(host)
        self.solver.floor_share = 0.0


class NoPeers(Variant):
    """Runs without gossip between peers."""

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
