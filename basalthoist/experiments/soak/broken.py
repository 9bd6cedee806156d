"""`python -m basalthoist.experiments.soak.broken NAME`: the program with one rule broken on purpose.

The soak test has to detect each variant, which shows that its checks work.
"""

import sys
from collections.abc import Callable


def replace_method(owner: type, name: str, replacement: Callable) -> None:
    """Replaces a method. Raises AttributeError where the owner has none of that name."""
    # Where the method has been renamed, setting it would break no rule, and the variant would prove nothing.
    getattr(owner, name)
    setattr(owner, name, replacement)


def forgets_requests() -> None:
    """Drops one request in forty after reading it."""
    from basalthoist.net.clients.front_end import FrontEnd

    accept_request, count = FrontEnd.accept_request, [0]

    def forgetful(self, client, message) -> None:
        count[0] += 1
        if count[0] % 40 or message.target == b"/ready":
            accept_request(self, client, message)

    replace_method(FrontEnd, "accept_request", forgetful)


def closes_unread() -> None:
    """Closes every connection at SIGTERM, with requests on it unread."""
    from basalthoist.net.clients.front_end import FrontEnd

    begin_shutdown = FrontEnd.begin_shutdown

    def abrupt(self) -> None:
        begin_shutdown(self)
        for client in list(self.clients):
            client.transport.abort()

    replace_method(FrontEnd, "begin_shutdown", abrupt)


def keeps_connections() -> None:
    """Keeps connections in use until SIGKILL, and does not answer open requests before it."""
    from basalthoist.net.clients.http_connection import HttpClientConnection
    from basalthoist.net.lifecycle.shutdown import Shutdown

    replace_method(HttpClientConnection, "is_last_response", lambda self: False)
    replace_method(HttpClientConnection, "is_idle", lambda self: False)
    replace_method(Shutdown, "stop_listening", lambda self: None)
    replace_method(Shutdown, "answer_all", lambda self: None)


def repeats() -> None:
    """Retries requests that may have run, whatever the semantics of the route."""
    from basalthoist.decisions.retry import RetryPolicy

    replace_method(
        RetryPolicy, "causes_no_duplicate", lambda self, request, attempts_before, backend, now: True
    )


def repeats_late() -> None:
    """Retries deduplicated requests until their deadline, beyond the deduplication window."""
    from basalthoist.decisions.retry import RetryPolicy

    replace_method(
        RetryPolicy, "dedup_time_left", lambda self, request, ran, now: int(request.route.is_deduplicated)
    )


def refuses_what_ran() -> None:
    """Reports every failed request as safe to retry."""
    from basalthoist.decisions.retry import RetryPolicy

    replace_method(RetryPolicy, "safe_retry_after", lambda self, request, now: 0)


def forgets_drains() -> None:
    """Treats draining backends as healthy."""
    from basalthoist.net.discovery import translation

    translation.STATES["draining"] = "healthy"


def gives_discovery_up() -> None:
    """Ends a watch whose heartbeat is late once (2.4 s), and polls discovery ten seconds later."""
    from basalthoist.net.discovery.polling import SECOND, PollSchedule

    limit = 24 * SECOND // 10
    on_watch_line, schedule_poll = PollSchedule.on_watch_line, PollSchedule.schedule_poll

    def impatient(self, now):
        on_watch_line(self, now)
        self.host.wake_at(now + limit)

    replace_method(PollSchedule, "on_watch_line", impatient)
    replace_method(
        PollSchedule, "silence_limit", lambda self: limit if self.is_watching else self.silence_timeout
    )
    replace_method(
        PollSchedule, "schedule_poll", lambda self, now, delay: schedule_poll(self, now, 10 * SECOND)
    )


def knows_no_cold() -> None:
    """Treats every backend as warmed up, and prefers the one that started last."""
    from basalthoist.decisions.balancer import Balancer
    from basalthoist.decisions.rotation import Rotation

    candidates, on_endpoint_list = Rotation.candidates, Balancer.on_endpoint_list

    def all_warm(self, now, entries, whole):
        on_endpoint_list(self, now, entries, whole)
        for backend in self.backends.values():
            backend.slow_start.warm_at = 0

    replace_method(Balancer, "on_endpoint_list", all_warm)
    replace_method(
        Rotation,
        "candidates",
        lambda self, now, request: sorted(candidates(self, now, request), key=lambda b: -(b.started or 0)),
    )


def tells_too_much() -> None:
    """Announces 0.3 s more to backends than the client has left."""
    from basalthoist.net.proxied_request import ProxiedRequest

    request_chunks = ProxiedRequest.request_chunks
    replace_method(
        ProxiedRequest,
        "request_chunks",
        lambda self, attempt_number, until, extra_headers=b"": request_chunks(
            self, attempt_number, until + 3000, extra_headers
        ),
    )


def sends_for_who_left() -> None:
    """Ignores that a client has disconnected."""
    from basalthoist.net.dispatcher import RequestDispatcher

    replace_method(RequestDispatcher, "client_disconnected", lambda self, request: None)
    replace_method(RequestDispatcher, "is_still_needed", lambda self, request, attempt_number: True)


def answers_late() -> None:
    """Gives up requests 0.8 s after the client's deadline."""
    from basalthoist.net.dispatcher import RequestDispatcher

    cap_deadline = RequestDispatcher.cap_deadline
    replace_method(
        RequestDispatcher, "cap_deadline", lambda self, deadline: cap_deadline(self, deadline) + 8000
    )


def sends_twice_at_once() -> None:
    """Sends each attempt twice to the same backend."""
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

    replace_method(RequestDispatcher, "send", twice)


# By name: the rule that the variant breaks, and the function that installs it.
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
