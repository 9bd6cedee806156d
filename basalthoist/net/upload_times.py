"""The times of requests whose body is streamed: they count from the body's last byte."""

from functools import partial
from typing import TYPE_CHECKING

from basalthoist.net.proxied_request import ProxiedRequest
from basalthoist.net.runtime.timers import SECOND, now
from basalthoist.net.uploads import Upload

if TYPE_CHECKING:
    from basalthoist.net.dispatcher import RequestDispatcher

# By how much an attempt may outlast its request, in tenths of a millisecond, so that the balancer, which may
# have less than a tick left, ends the request first.
ATTEMPT_MARGIN = 20


class UploadTimes:
    """Sets the deadlines of streamed requests and reports them to the balancer."""

    def __init__(self, dispatcher: "RequestDispatcher") -> None:
        self.dispatcher: RequestDispatcher = dispatcher

    def start(self, request: ProxiedRequest, upload: Upload, timeout: int) -> None:
        """Has the timeout, in tenths of a millisecond, count from the last byte of the body.

        Until then the deadline allows for the minimum rate at which a client has to send.
        """
        limits = self.dispatcher.limits
        remaining_bytes = (upload.length or limits.long_bytes) - len(upload.buffer)
        request.upload = upload
        request.deadline += int(remaining_bytes / limits.client_bytes_per_s * SECOND) + SECOND
        upload.timeout = max(timeout, 1)
        upload.on_forwarding_started = partial(self.on_forwarding_started, request)
        upload.on_arrived = partial(self.on_arrived, request)

    def on_forwarding_started(self, request: ProxiedRequest) -> None:
        """Reports the body to the balancer, after the decision that started the attempt has returned."""
        self.dispatcher.loop.call_soon(self.report, request)

    def on_arrived(self, request: ProxiedRequest, arrived_at: int) -> None:
        """Sets the deadline, counted from the arrival of the body's last byte, and reports the time left."""
        request.deadline = self.dispatcher.cap_deadline(arrived_at + request.upload.timeout)
        # Guards against an error that is written into a response: one that has started has no deadline.
        if request.open and request.stream is None:
            self.limit_to_deadline(request)
        self.dispatcher.loop.call_soon(self.report, request)

    def limit_to_deadline(self, request: ProxiedRequest) -> None:
        """Has the request and its open attempts end at its deadline."""
        left = time_left(request)
        self.dispatcher.set_guard_timer(request, left)
        for call in request.calls:
            if call is not None and not call.finished:
                call.end_within(left + ATTEMPT_MARGIN)

    def report(self, request: ProxiedRequest) -> None:
        """Reports to the balancer the time left, and what has become of the body."""
        if not request.open:
            return
        upload, guard, balancer = request.upload, self.dispatcher.guard, self.dispatcher.balancer
        if not upload.consumed:
            guard.call(balancer.on_body_received, request.id, time_left(request))
            return
        has_arrived = upload.arrived_at is not None
        age = now() - upload.arrived_at if has_arrived else 0
        guard.call(balancer.on_body_forwarded, request.id, time_left(request), has_arrived, age)


def time_left(request: ProxiedRequest) -> int:
    """Returns the time until the request's deadline in tenths of a millisecond, at least one."""
    return max(request.deadline - now(), 1)
