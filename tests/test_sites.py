"""The gateway's decisions, without sockets: when spill is offered and which requests are admitted."""

import pytest
from helpers import NOW, SECOND, listed, node

from basalthoist.decisions.interface import Outcome
from basalthoist.gateway.sites import Bounds, LocalState, Report, Sites, local_state

HEARTBEAT_INTERVAL = SECOND // 2
NOT_HOT = Report(6, False)


class TwoSites:
    """Site a, which reaches site b through two gateways. `run` simulates a number of heartbeats."""

    def __init__(self, **bounds):
        self.lines, self.now, self.sheds = [], NOW, 0
        self.sites = Sites({"b": ["b0", "b1"]}, Bounds(**bounds), self.lines.append)

    def run(self, count=1, usable=10, listed=10, demand=50.0, shed=0.0, b=NOT_HOT, heard=("b0", "b1")):
        for _ in range(count):
            self.now += HEARTBEAT_INTERVAL
            for name in heard if b is not None else ():
                self.sites.on_heard(self.now, name, b, 100)
            self.sheds += shed * HEARTBEAT_INTERVAL / SECOND
            self.sites.on_local(self.now, LocalState(usable, listed, demand, self.sheds))
        return self

    def links(self):
        return self.sites.links(self.now)


@pytest.mark.parametrize(
    ("fault", "offers"),
    [
        ({}, False), ({"usable": 8}, False), ({"usable": 6}, True), ({"usable": 0}, True),
        ({"shed": 2.0}, False), ({"shed": 9.0}, True), ({"usable": 3, "listed": 3}, True),
        ({"demand": 0.0, "usable": 9}, False),
    ],
)  # fmt: skip
def test_spill_is_offered_only_with_too_few_backends_or_too_much_shedding(fault, offers):
    site = TwoSites().run(10).run(**fault)
    assert bool(site.links()) == site.sites.offering == offers


def test_links_equal_the_usable_backends_of_the_other_site_spread_over_its_gateways():
    links = TwoSites().run(10).run(usable=0).links()
    assert [link for link, _ in links] == [f"site:b:{i}" for i in range(6)]
    assert [gateway for _, gateway in links] == ["b0", "b1"] * 3


def test_spill_ends_after_calm_time_and_not_at_first_recovered_heartbeat():
    site = TwoSites().run(10).run(usable=0)
    assert site.run(5).links()
    assert not site.run(3).links()
    assert [line.split(":")[0] for line in site.lines] == ["spill offered", "spill ended"]


@pytest.mark.parametrize(
    "b", [Report(6, True), Report(0, False), None],
    ids=["a hot site", "a site without backends", "a silent site"],
)  # fmt: skip
def test_no_link_to_unusable_site(b):
    assert not TwoSites().run(10).run(6, usable=0, b=b).links()


def test_all_links_use_the_other_gateway_if_one_is_silent():
    links = TwoSites().run(10).run(6, usable=0, heard=("b1",)).links()
    assert {gateway for _, gateway in links} == {"b1"}


def test_failed_gateway_is_used_again_only_after_stable_time():
    site = TwoSites().run(10).run(usable=0)
    for name in ("b0", "b1"):
        site.sites.on_failed(site.now, name)
    assert not site.links()
    assert not site.run(2, usable=0).links()
    assert site.run(4, usable=0).links()


@pytest.mark.parametrize(
    ("hops", "local", "in_progress", "accepted"),
    [
        (1, {}, 0, True), (2, {}, 0, False), (0, {}, 0, False), (1, {"usable": 2}, 0, False),
        (1, {"shed": 9.0}, 0, False), (1, {}, 9, True), (1, {}, 10, False),
    ],
)  # fmt: skip
def test_spilled_request_accepted_only_at_first_hop_within_capacity_and_not_at_a_hot_site(
    hops, local, in_progress, accepted
):
    site = TwoSites().run(10).run(**local)
    site.sites.in_progress = in_progress
    assert site.sites.accepts(hops) == accepted


def test_two_hot_sites_neither_send_nor_accept_spill():
    a, b = TwoSites().run(10).run(shed=9.0), TwoSites().run(10).run(shed=9.0)
    a.run(shed=9.0, b=Report(10, b.sites.hot()))
    assert a.sites.hot() and b.sites.hot() and not a.links() and not a.sites.accepts(1)


def test_spilled_request_is_not_forwarded_to_another_site():
    balancer, host = node([listed("s-0"), listed("site:b:0", zone=1, is_link=True)], zones=["a"])
    balancer.on_request(NOW, 1, 0, 0, 8000, False, True)
    [sent] = host.take("send")
    assert sent[2] == "s-0"
    balancer.on_attempt_ended(NOW, 1, 0, Outcome.REJECTED, 10, False, None)
    assert all(call[2] == "s-0" for call in host.take("send"))


def test_with_links_alone_spilled_request_is_shed_and_local_request_is_spilled():
    balancer, host = node([listed("site:b:0", zone=1, is_link=True)], zones=["a"])
    balancer.on_request(NOW, 1, 0, 0, 8000, False, True)
    balancer.on_request(NOW, 2, 0, 0, 8000, False)
    assert [call[1] for call in host.take("send")] == [2]
    balancer.on_wake(NOW + 3000, "due")
    assert ("shed", 1, 0) in host.take("shed")


def test_local_state_does_not_count_links():
    balancer, _ = node([listed("s-0"), listed("s-1"), listed("site:b:0", zone=1, is_link=True)], zones=["a"])
    balancer.backends["s-1"].outlier.ejected_until = NOW + SECOND
    assert local_state(balancer, NOW)[:2] == (1, 2)


def test_backend_of_a_zone_that_is_not_in_the_settings_is_no_link():
    """Guards against a site that takes its own backends for links, and offers spill for want of any."""
    balancer, host = node([listed("s-0", zone=1)], zones=["a"])
    assert local_state(balancer, NOW)[:2] == (1, 1)
    balancer.on_request(NOW, 1, 0, 0, 8000, False, True)
    assert [call[2] for call in host.take("send")] == ["s-0"]


def test_no_spill_before_first_endpoint_list_and_spill_throughout_a_long_outage():
    assert not TwoSites().run(10, usable=0, listed=0).links()
    assert TwoSites().run(10).run(200, usable=0, listed=0).links()


LINKS = [listed(f"site:b:{number}", zone=1, cell=-1, is_link=True) for number in range(2)]
# Backends of this site that have the zone or the cell of the links: a zone that the settings do not name.
LOCAL = [listed(f"s-{number}", zone=1, cell=-1) for number in range(2)]


def fate_of_request(entries, scope, outcome, semantics="deduplicated"):
    """Adds links and ends the first attempt with the outcome.

    Returns the names of the backends that were sent the request, and the final answers.
    """
    balancer, host = node(entries, semantics=semantics, zones=["a"], **{"routes.0.group": scope})
    balancer.on_request(NOW, 1, 0, 0, 8000, False)
    [first] = host.take("send")
    balancer.on_endpoint_list(NOW, LINKS, False)
    balancer.on_attempt_ended(NOW + 10, 1, 0, outcome, 10, False, None)
    balancer.on_wake(NOW + 10, "due")
    calls = host.take("send", "shed", "fail")
    sent = [first, *(call for call in calls if call[0] == "send")]
    return [call[2] for call in sent], [call[0] for call in calls if call[0] != "send"]


@pytest.mark.parametrize("scope", ["cell", "zone", "all"])
@pytest.mark.parametrize("entries", [LINKS, LOCAL[:1]], ids=["link, then link", "own backend, then link"])
@pytest.mark.parametrize("outcome", [Outcome.RESET, Outcome.ERROR, Outcome.TIMED_OUT])
def test_deduplicated_request_that_may_have_run_is_not_sent_over_a_link(entries, scope, outcome):
    """Guards against a second run: behind a link stand backends of groups that do not know the first one."""
    backends, answers = fate_of_request(entries, scope, outcome)
    assert not any(name.startswith("site:") for name in backends[1:])
    if entries is LINKS:
        assert (len(backends), answers) == (1, ["fail"])  # nor is the client told that a retry is safe


@pytest.mark.parametrize("scope", ["cell", "zone", "all"])
def test_deduplicated_request_is_retried_over_links_if_it_never_ran_and_at_home_within_its_group(scope):
    assert len(fate_of_request(LINKS, scope, Outcome.REJECTED)[0]) == 2
    assert len(fate_of_request(LINKS, scope, Outcome.RESET, "idempotent")[0]) == 2
    backends, _ = fate_of_request(LOCAL, scope, Outcome.RESET)
    assert sorted(backends) == ["s-0", "s-1"]


def test_attempt_beside_an_open_one_is_not_sent_over_a_link():
    """Guards against two concurrent runs in two groups where parallel attempts are allowed."""
    more = {"routes.0.group": "all", "policy_limits.parallel_tries": True, "zones": ["a"]}
    balancer, host = node(LINKS, semantics="deduplicated", **more)
    balancer.on_request(NOW, 1, 0, 0, 8000, False)
    request, (first,) = balancer.requests[1], host.take("send")
    assert not any(balancer.retry.may_attempt(request, b, NOW + 10) for b in balancer.subset.backends)
    balancer.on_attempt_ended(NOW + 10, 1, 0, Outcome.CONNECT_FAILED, 10, False, None)
    assert [call[2] for call in host.take("send")] not in ([], [first[2]])
