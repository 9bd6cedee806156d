"""Operators' calls that concern this node alone, or that it checks before its fleet decides on them."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from basalthoist.net.clients.front_end import DrainReason
from basalthoist.net.control.admin import Answer, CallError

if TYPE_CHECKING:
    from basalthoist.net.service import Service

MAX_QUOTA_PER_S = 1e9
DRAIN_REASON_TEXTS = {
    DrainReason.OPERATOR: "standby",
    DrainReason.FLEET: "view of the fleet stale",
    DrainReason.CONFIGURATION: "view of the configuration stale",
}


class OperatorCalls:
    """The calls as methods.

    A call without an `answer` parameter returns an empty text, or raises CallError with the reason of the
    failure. The others call `answer` with an empty text or the reason.
    """

    def __init__(self, service: "Service") -> None:
        self.service: Service = service

    def status(self) -> str:
        """Handles `status`: succeeds if the node serves, and otherwise fails with the reasons."""
        front_end = self.service.front_end
        if front_end.serving() and front_end.listener is not None:
            return ""
        if front_end.shutting_down:
            raise CallError("leaving")
        reasons = sorted(front_end.drain_reasons, reverse=True)
        raise CallError(" and ".join(DRAIN_REASON_TEXTS[reason] for reason in reasons) or "not ready yet")

    def standby(self) -> str:
        """Handles `standby`: drains the node until `active` is called."""
        front_end = self.service.front_end
        if DrainReason.OPERATOR not in front_end.drain_reasons:
            requests = len(self.service.dispatcher.in_progress)
            self.service.log(f"standby, {len(front_end.clients)} clients, {requests} requests in progress")
        front_end.start_draining()
        return ""

    def activate(self) -> str:
        """Handles `active`: ends the standby."""
        front_end = self.service.front_end
        if front_end.shutting_down:
            raise CallError("leaving")
        if DrainReason.OPERATOR in front_end.drain_reasons:
            self.service.log("active again")
        front_end.stop_draining()
        return ""

    def propose_verdict(
        self, kinds: tuple[str, ...], on: bool, subject: str, answer: Answer, figure: float = 0.0
    ) -> None:
        """Proposes to the fleet to set, or to lift, verdicts of these kinds on a backend or tenant."""
        # A mistyped name must be refused: a verdict on it would have no effect.
        service = self.service
        is_ban = kinds[0] == "ban"
        if on and subject not in (service.maintenance.listed if is_ban else service.configuration.customers):
            return answer(f"{subject} was never listed" if is_ban else f"no customer {subject}")
        service.fleet.call(kinds, on, subject, answer, figure)

    def set_quota(self, tenant: str, text: str, answer: Answer) -> None:
        """Handles `fleet-set-quota`: proposes a tenant's quota, in requests per second, to the fleet."""
        try:
            quota = float(text)
        except ValueError:
            quota = -1.0
        # Refuses typing errors and values so large that sums of quotas would lose precision.
        if not 0.0 <= quota <= MAX_QUOTA_PER_S:
            return answer(f"expected requests a second, 0 to 1e9, got {text}")
        self.propose_verdict(("quota",), True, tenant, answer, quota)

    def maintenance_call(self, banned: bool) -> Callable[[str, Answer], None]:
        """Returns the call that bans a backend at this node, or the call that ends such a ban."""
        return lambda name, answer: self.service.maintenance.call(name, banned, answer)
