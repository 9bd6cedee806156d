"""Shadow balancer: decisions under other settings are counted and never carried out."""

import json
import re
import threading

import pytest
from helpers import (
    NOW,
    SECOND,
    DiscoveryStandIn,
    Program,
    RecordingHost,
    StandIn,
    document,
    listed,
    member,
    reply,
    request,
    settings,
    silent,
    wait_for,
)

from basalthoist.configuration import ConfigurationError, decode
from basalthoist.decisions.balancer import Balancer
from basalthoist.decisions.interface import Outcome
from basalthoist.shadow import KINDS, Shadow


def balancer_with_shadow(shadow_settings, entries):
    host = RecordingHost()
    real = Balancer(host, 7, settings(), NOW)
    shadow = Shadow(real, 7, settings() | shadow_settings, NOW)

    def event(name, now, *arguments):
        getattr(real, name)(now, *arguments)
        shadow.on_event(name, now, *arguments)

    event("on_endpoint_list", NOW, entries, True)
    return host, event, shadow


def test_followed_request_copies_the_state_of_its_attempts():
    host, event, shadow = balancer_with_shadow({}, FLEET)
    for ident in (1, 2):
        event("on_request", NOW + 1, ident, 0, 0, 8000, False)
    lost, in_flight = shadow.real.requests[1], shadow.real.requests[2]
    lost.attempts[0].overtaken, lost.body_consumed = 2, True
    lost.attempts[0].backend.open_attempts.remove(lost.attempts[0])
    for real in (lost, in_flight):
        shadow.follow(real.id, NOW + 2)
        copy = shadow.balancer.requests[real.id]
        assert (copy.body_consumed, copy.attempts[0].overtaken) == (
            real.body_consumed,
            real.attempts[0].overtaken,
        )
        assert (copy.attempts[0] in copy.attempts[0].backend.open_attempts) is (real is in_flight)


def run_mixed_outcomes(host, event):
    """Runs requests that complete, some whose backend resets, and one whose client disconnects."""
    now = NOW
    for ident in range(60):
        now += 100
        event("on_request", now, ident, 0, 0, 8000, False)
        for _ in host.take("send"):
            outcome = Outcome.RESET if ident % 10 == 3 else Outcome.COMPLETED
            event("on_attempt_ended", now + 30, ident, 0, outcome, 30, outcome == Outcome.COMPLETED, None)
            for _ in host.take("send"):
                event("on_attempt_ended", now + 60, ident, 1, Outcome.COMPLETED, 30, True, None)
        if ident % 20 == 7:
            event("on_wake", now + 70, "tick")
    event("on_request", now + SECOND, 99, 0, 0, 8000, False)
    event("on_client_gone", now + SECOND + 5, 99)


FLEET = [listed("a"), listed("b", zone=1), listed("c", weight=5.0)]


@pytest.mark.parametrize(
    ("shadow_settings", "kind"),
    [
        ({}, None),
        ({"prices.cross_zone": 0.5}, "another backend"),
        ({"policy_limits.max_upstream_tries": 1}, "retry"),
    ],
)
def test_difference_is_counted_as_its_kind_only(shadow_settings, kind):
    host, event, shadow = balancer_with_shadow(shadow_settings, FLEET)
    run_mixed_outcomes(host, event)
    counts = shadow.counts
    assert {k for k in KINDS if counts[k]} == ({kind} if kind else set())
    assert shadow.requests_seen == 61


def test_shadow_drops_finished_requests_and_their_attempts():
    host, event, shadow = balancer_with_shadow(
        {"prices.cross_zone": 0.5, "policy_limits.max_upstream_tries": 1}, FLEET
    )
    run_mixed_outcomes(host, event)
    assert set(shadow.balancer.requests) == set(shadow.real.requests)
    assert not shadow.counted_kinds.keys() - shadow.real.requests.keys()
    for name, backend in shadow.balancer.backends.items():
        assert len(backend.open_attempts) == len(shadow.real.backends[name].open_attempts)


@pytest.fixture
def fleet(tmp_path):
    """Starts the program with a shadow and stand-in backends. Ends all afterwards."""
    running = []

    def begin(shadow, *behaviours):
        backends = [StandIn(b) for b in behaviours]
        entries = [member(f"s-{i}", b) for i, b in enumerate(backends)]
        discovery = DiscoveryStandIn(entries)
        more = {} if shadow is None else {"shadow": shadow}
        program = Program(tmp_path, document(discovery.address, entries, **more))
        running.extend([*backends, discovery])
        running.append(program)
        return program.wait_ready(), backends

    yield begin
    for started in running:
        started.close()


def counts_in(log):
    (line,) = re.findall(r"shadow: \d+ requests, otherwise decided: (.*)", log)[-1:]
    return {kind: int(count) for kind, count in re.findall(r"([a-z ]+) (\d+)", line.replace(", ", "\n"))}


OTHER = {"settings": {"policy_limits": {"cancel": False}}}


@pytest.mark.parametrize("shadow", [None, {"settings": {}}, OTHER])
def test_responses_do_not_change_with_a_shadow(fleet, shadow):
    program, backends = fleet(shadow, reply(200, b"1"), reply(200, b"1"))
    answers = [program.ask(request("read", ident=str(i))) for i in range(20)]
    assert [(a.status, a.body) for a in answers] == [("200", b"1")] * 20
    assert sum(len(b.seen) for b in backends) == 20  # The shadow sent nothing.
    program.process.terminate()
    assert program.process.wait(10) == 0
    if shadow == {"settings": {}}:
        assert set(counts_in(program.log()).values()) == {0}


def test_failing_shadow_is_switched_off_and_no_request_is_lost(fleet):
    # A text instead of a number passes the check of settings and raises at its first use in a calculation.
    shadow = {"settings": {"rules": {"fall_multiple": "much"}}}
    program, backends = fleet(shadow, reply(200, b"1"), silent)
    threads = [threading.Thread(target=program.ask, args=(request("read", ident=str(i)),)) for i in range(5)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(10)
    wait_for(lambda: "shadow off" in program.log())
    assert program.log().count("shadow off") == 1
    assert program.ask(request("read", ident="last")).status in ("200", "503", "504")


@pytest.mark.parametrize(
    ("shadow", "key"),
    [
        ({"settings": {}, "reports_s": 5}, "reports_s"),
        ({"settings": {}, "report_s": 0}, "report_s"),
        ({"settings": {"routes": [{"name": "other"}]}}, "shadow.settings.routes"),
        ({"settings": {"rules": {"warm_within": "soon"}}}, "shadow.settings.rules.warm_within"),
        ({"settings": {"policy_limits": {"probes": 7}}}, "shadow.settings.policy_limits.probes"),
    ],
)
def test_error_names_faulty_key_of_shadow_settings(shadow, key):
    with pytest.raises(ConfigurationError, match=re.escape(key)):
        decode(json.dumps(document("127.0.0.1:1", shadow=shadow)).encode(), {})
