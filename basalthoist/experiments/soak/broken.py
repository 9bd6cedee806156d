"""`python -m basalthoist.experiments.soak.broken NAME`: the program with one rule broken on purpose.

The soak has to find each of them: that shows that it looks.
"""

import sys
from collections.abc import Callable


def replace(owner: type, name: str, made: Callable) -> None:
    """Replaces a method. Raises AttributeError where the owner has none of that name."""
    # Guards against a renamed method: its variant would break nothing and prove nothing.
    getattr(owner, name)
    setattr(owner, name, made)


def forgets_requests() -> None:
    """One request in forty is read and never begun."""
    from basalthoist.net.clients.front_end import FrontEnd

    accept_request, count = FrontEnd.accept_request, [0]

    def forgetful(self, client, message) -> None:
        count[0] += 1
        if count[0] % 40 or message.target == b"/ready":
            accept_request(self, client, message)

    replace(FrontEnd, "accept_request", forgetful)


def closes_unread() -> None:
    """At SIGTERM every connection is closed, whatever has come on it."""
    from basalthoist.net.clients.front_end import FrontEnd

    begin_shutdown = FrontEnd.begin_shutdown

    def abrupt(self) -> None:
        begin_shutdown(self)
        for client in list(self.clients):
            client.transport.abort()

    replace(FrontEnd, "begin_shutdown", abrupt)


def keeps_connections() -> None:
    """Connections stay in use up to the kill, and nothing is answered ahead of it."""
    from basalthoist.net.clients.http_connection import HttpClientConnection
    from basalthoist.net.lifecycle.shutdown import Shutdown

    replace(HttpClientConnection, "is_last_response", lambda self: False)
    replace(HttpClientConnection, "is_idle", lambda self: False)
    replace(Shutdown, "stop_listening", lambda self: None)
    replace(Shutdown, "answer_all", lambda self: None)


def repeats() -> None:
    """What may have run is sent again, whatever its route allows."""
    from basalthoist.decisions.retry import RetryPolicy

    replace(RetryPolicy, "causes_no_duplicate", lambda self, request, attempts_before, backend, now: True)


def repeats_late() -> None:
    """A deduplicated request is sent again until its time is over, whatever the window."""
    from basalthoist.decisions.retry import RetryPolicy

    replace(
        RetryPolicy, "dedup_time_left", lambda self, request, ran, now: int(request.route.is_deduplicated)
    )


def refuses_what_ran() -> None:
    """Whatever is given up is called harmless to try again."""
    from basalthoist.decisions.retry import RetryPolicy

    replace(RetryPolicy, "safe_retry_after", lambda self, request, now: 0)


def forgets_drains() -> None:
    """A backend that drains is used as before."""
    from basalthoist.net.discovery import translation

    translation.STATES["draining"] = "healthy"


def gives_discovery_up() -> None:
    """A watch with one heartbeat late is given up, and discovery called again much later."""
    from basalthoist.net.discovery.polling import SECOND, PollSchedule

    limit = 24 * SECOND // 10
    on_watch_line, schedule_poll = PollSchedule.on_watch_line, PollSchedule.schedule_poll

    def impatient(self, now):
        on_watch_line(self, now)
        self.host.wake_at(now + limit)

    replace(PollSchedule, "on_watch_line", impatient)
    replace(PollSchedule, "silence_limit", lambda self: limit if self.is_watching else self.silence_timeout)
    replace(PollSchedule, "schedule_poll", lambda self, now, delay: schedule_poll(self, now, 10 * SECOND))


def knows_no_cold() -> None:
    """Whoever has started last is taken for warm, and gets what comes first."""
    from basalthoist.decisions.balancer import Balancer
    from basalthoist.decisions.rotation import Rotation

    candidates, on_endpoint_list = Rotation.candidates, Balancer.on_endpoint_list

    def all_warm(self, now, entries, whole):
        on_endpoint_list(self, now, entries, whole)
        for backend in self.backends.values():
            backend.slow_start.warm_at = 0

    replace(Balancer, "on_endpoint_list", all_warm)
    replace(
        Rotation,
        "candidates",
        lambda self, now, request: sorted(candidates(self, now, request), key=lambda b: -(b.started or 0)),
    )


def tells_too_much() -> None:
    """Backends are told of 0.3 s more than the client has."""
    from basalthoist.net.proxied_request import ProxiedRequest

    request_chunks = ProxiedRequest.request_chunks
    replace(
        ProxiedRequest,
        "request_chunks",
        lambda self, attempt_number, until, extra_headers=b"": request_chunks(
            self, attempt_number, until + 3000, extra_headers
        ),
    )


def sends_for_who_left() -> None:
    """A client's leaving is not looked at."""
    from basalthoist.net.dispatcher import RequestDispatcher

    replace(RequestDispatcher, "client_disconnected", lambda self, request: None)
    replace(RequestDispatcher, "is_wanted", lambda self, request, attempt_number: True)


def answers_late() -> None:
    """Given up 0.8 s after the client's time."""
    from basalthoist.net.dispatcher import RequestDispatcher

    cap_deadline = RequestDispatcher.cap_deadline
    replace(RequestDispatcher, "cap_deadline", lambda self, deadline: cap_deadline(self, deadline) + 8000)


def sends_twice_at_once() -> None:
    """Each attempt is made twice, at the same backend."""
    from basalthoist.net.dispatcher import RequestDispatcher

    send = RequestDispatcher.send

    def twice(self, number, backend, timeout):
        send(self, number, backend, timeout)
        request = self.find_open(number)
        if request is not None:
            until = request.deadline
            self.upstream.call(
                backend, lambda: request.request_chunks(1, until), timeout, lambda outcome, response: None
            )

    replace(RequestDispatcher, "send", twice)


# Each with the rule that it breaks.
VARIANTS: dict[str, tuple[str, Callable[[], None]]] = {
    "forgets_requests": ("lost", forgets_requests),
    "closes_unread": ("lost", closes_unread),
    "keeps_connections": ("lost", keeps_connections),
    "answers_late": ("lost", answers_late),
    "sends_for_who_left": ("lost", sends_for_who_left),
    "repeats": ("duplicate", repeats),
    "repeats_late": ("duplicate", repeats_late),
    "refuses_what_ran": ("duplicate", refuses_what_ran),
    "sends_twice_at_once": ("parallel", sends_twice_at_once),
    "forgets_drains": ("drain", forgets_drains),
    "gives_discovery_up": ("drain", gives_discovery_up),
    "knows_no_cold": ("failback", knows_no_cold),
    "tells_too_much": ("told", tells_too_much),
}


def main() -> int:
    from basalthoist.start import run_node

    VARIANTS[sys.argv[1]][1]()
    return run_node()


if __name__ == "__main__":
    sys.exit(main())
