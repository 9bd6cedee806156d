"""Two sites on loopback: real nodes, cut links, lost backends. At-most-once requests run at most once."""

import contextlib
import json
import signal
import socket
import threading
import time

import pytest
from helpers import (
    DiscoveryStandIn,
    Program,
    StandIn,
    document,
    member,
    own_address,
    read_message,
    reply,
    reply_once_open,
    request,
    reset_on_close,
    route,
    silent,
    wait_for,
)  # fmt: skip
from test_shutdown import DEADLINE_S, assert_shutdown_answers_all_requests, reply_after_30_ms

SHORT_TIMES = "beat_s = 0.1\nsilent_s = 0.5\nsteady_s = 0.1\ncalm_s = 0.4\n"


class Site:
    """A node with its own backends, and the gateway file that names the other site."""

    def __init__(self, folder, name, behaviours):
        self.folder, self.name, self.listen = folder / name, name, own_address()
        self.folder.mkdir()
        self.backends = [b if isinstance(b, StandIn) else StandIn(b) for b in behaviours]
        self.members = [member(f"{name}-{i}", b) for i, b in enumerate(self.backends)]
        self.discovery = DiscoveryStandIn(self.members)
        self.program = None

    def start(self, *others, more=SHORT_TIMES, settings=None, gateways=None):
        text = f"site = '{self.name}'\n{more}"
        for other in others:
            text += f"[[sites]]\nname = '{other.name}'\ngateways = {gateways or [other.listen]}\n"
        path = self.folder / "gateway.toml"
        path.write_text(text)
        node_file = document(self.discovery.address, self.members, listen=self.listen, settings_more=settings)
        node_file["settings"]["policy_limits"] |= {"probes": True}
        node_file["settings"]["feedback"] = {"how": "inline", "fields": ["rif"]}
        self.program = Program(self.folder, node_file, PROXY_GATEWAY=str(path)).wait_ready()
        return self

    def lose(self, *numbers):
        self.discovery.tell(
            *[self.members[n] | {"phase": "gone"} for n in numbers or range(len(self.members))]
        )

    def restore_backends(self):
        self.discovery.tell(*self.members)

    def says(self):
        return json.loads(self.program.ask(b"GET /site HTTP/1.1\r\n\r\n").body)

    def run_ids(self):
        ids = [
            r.headers.get("request-id") for b in self.backends for r in b.seen if r.path.startswith("/pay")
        ]
        return [ident for ident in ids if ident]

    def close(self):
        if self.program is not None:
            self.program.process.send_signal(signal.SIGCONT)
            self.program.close()
        for server in [*self.backends, self.discovery]:
            server.close()


@pytest.fixture
def sites(tmp_path):
    started = []

    def start_two(a, b):
        started.extend([Site(tmp_path, "a", a), Site(tmp_path, "b", b)])
        started[0].start(started[1])
        started[1].start(started[0])
        for site in started:
            wait_for(lambda site=site: site.discovery.watches and not site.says()["hot"])
        return started

    yield start_two
    for site in started:
        site.close()


def pay(site, ident, timeout=800):
    return site.program.ask(request("pay", timeout, ident=ident))


def wait_for_spill_offer(site):
    wait_for(lambda: "spill offered" in site.program.log())


def test_requests_of_site_without_backends_are_served_by_the_other_and_run_once(sites):
    a, b = sites([reply(200, b"a")] * 2, [reply(200, b"b")] * 2)
    assert pay(a, "before").body == b"a"
    a.lose()
    wait_for(lambda: pay(a, f"try-{time.monotonic()}").body == b"b")
    for number in range(20):
        assert pay(a, f"x{number}").body == b"b"
    assert pay(b, "own").body == b"b"
    ran = a.run_ids() + b.run_ids()
    assert len(ran) == len(set(ran))


def test_spill_ends_when_own_backends_return(sites):
    a, _ = sites([reply(200, b"a")] * 2, [reply(200, b"b")] * 2)
    a.lose()
    wait_for(lambda: pay(a, f"there-{time.monotonic()}").body == b"b")
    a.restore_backends()
    # Requests continue meanwhile: the shed rate is compared with the demand, which would decay without them.
    wait_for(lambda: pay(a, f"on-{time.monotonic()}") and "spill ended" in a.program.log())
    wait_for(lambda: {pay(a, f"home-{time.monotonic()}").body for _ in range(10)} == {b"a"})


def test_request_is_shed_at_once_and_not_forwarded_if_both_sites_have_no_backends(sites):
    a, b = sites([reply()], [reply()])
    for site in (a, b):
        site.lose()
    for site in (a, b):
        wait_for_spill_offer(site)
    wait_for(lambda: a.says()["hot"] and b.says()["hot"])
    started_at = time.monotonic()
    assert pay(a, "lost", 8000).status == "503"
    assert time.monotonic() - started_at < 4  # half of the request's timeout
    assert not a.run_ids() + b.run_ids()


def test_link_broken_after_at_most_once_request_was_sent_gives_one_response_and_one_run(sites):
    gate = []
    a, b = sites([reply()], [reply_once_open(gate)] * 2)
    a.lose()
    wait_for_spill_offer(a)
    wait_for(lambda: a.program.log().count("spill offered"))
    answers = []
    with a.program.connect() as sock, sock.makefile("rb") as source:
        for attempt in range(50):  # Until a link is listed, requests are shed without an attempt.
            sock.sendall(request("pay", 5000, ident=f"save-{attempt}"))
            thread = threading.Thread(target=lambda: answers.append(read_message(source)))
            thread.start()
            wait_for(lambda: b.run_ids() or answers)
            if b.run_ids():
                break
            thread.join()
            assert answers.pop().status == "503"
        b.program.process.kill()
        thread.join(5)
        [answer] = answers
        assert answer.status == "502"
        sock.settimeout(0.3)
        with pytest.raises(TimeoutError):
            source.read(1)  # Nothing follows the response.
    gate.append(True)
    assert len(b.run_ids()) == len(set(b.run_ids())) == 1 and not a.run_ids()


class Link(StandIn):
    """Passes bytes between a node and another site's gateway, until it is `reset` or `silent`."""

    def __init__(self, gateway):
        host, _, port = gateway.rpartition(":")
        self.gateway, self.silent, self.far_ends = (host, int(port)), False, []
        super().__init__(None)

    def serve(self, sock):
        with contextlib.suppress(OSError), sock, socket.create_connection(self.gateway) as far_end:
            self.far_ends.append(far_end)
            back = threading.Thread(target=self.copy, args=(far_end, sock), daemon=True)
            back.start()
            self.copy(sock, far_end)
            back.join()

    def copy(self, source, target):
        with contextlib.suppress(OSError):
            while data := source.recv(1 << 16):
                if not self.silent:
                    target.sendall(data)
            target.shutdown(socket.SHUT_WR)

    def reset(self):
        for sock in [*self.open, *self.far_ends]:
            with contextlib.suppress(OSError):
                reset_on_close(sock)
                sock.shutdown(socket.SHUT_RDWR)


def reset_links(links, gateways):
    for link in links:
        link.reset()


def silence_links(links, gateways):
    for link in links:
        link.silent = True


def kill_a_gateway(links, gateways):
    gateways[0].program.process.kill()


def hold_bookings(gate):
    """Returns a behaviour that answers requests at once, those of route `book` once `gate` is not empty."""
    held, at_once = reply_once_open(gate), reply(200, b"b")

    def behave(stand_in, sock, message):
        (held if message.path.startswith("/book") else at_once)(stand_in, sock, message)

    return behave


class BookingSites:
    """Site a, whose backends are lost, and two gateways of site b with its backends, of two cells and zones.

    The backends hold requests of the deduplicated route `book` until `gate` is not empty.
    """

    def __init__(self, folder, scope):
        self.gate = []
        book = route("book", "deduplicated", group=scope, dedup_window=5_000_000)
        routes = [route(), route("pay", "at_most_once"), book]
        settings = {"routes": routes, "zones": ["a", "a2"]}
        self.a, self.b = Site(folder, "a", [reply()]), Site(folder, "b", [hold_bookings(self.gate)] * 4)
        for number, entry in enumerate(self.b.members):
            entry |= {"cell": number % 2, "locality": ["a", "a2"][number % 2]}
        self.second = Site(folder, "b-second", [])
        self.second.name, self.second.members = "b", self.b.members
        self.second.discovery.members = self.b.members
        self.gateways = [self.b, self.second]
        for gateway in self.gateways:
            gateway.start(self.a, settings=settings)
        self.links = [Link(gateway.listen) for gateway in self.gateways]
        self.a.start(self.b, settings=settings, gateways=[link.address for link in self.links])
        wait_for(lambda: self.a.discovery.watches)
        self.a.lose()
        wait_for(lambda: pay(self.a, f"there-{time.monotonic()}").body == b"b")

    def bookings(self):
        """Returns the ids of the bookings at the backends of site b, in the order of their arrival there."""
        seen = [message for backend in self.b.backends for message in backend.seen]
        return [m.headers["request-id"] for m in seen if m.path.startswith("/book")]

    def close(self):
        for part in (self.a, *self.gateways, *self.links):
            part.close()


@pytest.mark.parametrize("disrupt", [reset_links, silence_links, kill_a_gateway])
@pytest.mark.parametrize("scope", ["cell", "zone", "all"])
def test_deduplicated_requests_out_over_a_link_that_fails_are_sent_once(tmp_path, scope, disrupt):
    """Guards against a repeat over another link, at backends that do not know of the first run."""
    sites = BookingSites(tmp_path, scope)
    answers = {}

    def book(ident):
        answers[ident] = sites.a.program.ask(request("book", 900, ident=ident)).status

    threads = [threading.Thread(target=book, args=(f"booking-{number}",)) for number in range(6)]
    try:
        for thread in threads:
            thread.start()
        wait_for(lambda: len(sites.bookings()) >= 4)  # the others may wait for a link
        disrupt(sites.links, sites.gateways)
        for thread in threads:
            thread.join()
        sites.gate.append(True)
        assert len(answers) == len(threads)
        assert len(sites.bookings()) == len(set(sites.bookings()))
    finally:
        sites.close()


def test_silent_gateway_is_not_used_and_requests_are_shed_until_it_returns(sites):
    a, b = sites([reply()], [reply(200, b"b")] * 2)
    a.lose()
    wait_for(lambda: pay(a, f"there-{time.monotonic()}").body == b"b")
    b.program.process.send_signal(signal.SIGSTOP)
    wait_for(lambda: pay(a, f"gone-{time.monotonic()}", 300).status in ("503", "504"))
    time.sleep(0.8)  # longer than silent_s and a heartbeat interval
    started_at = time.monotonic()
    assert pay(a, "refused", 8000).status == "503"
    assert time.monotonic() - started_at < 4  # half of the request's timeout
    b.program.process.send_signal(signal.SIGCONT)
    wait_for(lambda: pay(a, f"again-{time.monotonic()}").body == b"b")
    ran = b.run_ids()
    assert len(ran) == len(set(ran))


@pytest.mark.parametrize(
    ("hops", "status"),
    [("1", "200"), ("2", "503"), ("0", "503"), ("x", "400"), ("-1", "400"), ("1" * 9, "400")],
)
def test_spilled_request_is_admitted_at_first_hop_only(sites, hops, status):
    a, _ = sites([reply()], [reply()])
    answer = a.program.ask(request("pay", ident="marked", extra=f"Site-Hops: {hops}\r\n"))
    assert answer.status == status
    if status == "503":
        assert answer.headers["not-started"] == "1" and not a.run_ids()


def test_headers_of_a_hop_do_not_reach_a_backend(sites):
    a, b = sites([reply()], [reply(200, b"b")])
    a.lose()
    wait_for(lambda: pay(a, f"there-{time.monotonic()}").body == b"b")
    [seen] = [r for r in b.backends[0].seen if r.path.startswith("/pay")][-1:]
    assert not {"site-hops", "site-from"} & set(seen.headers)
    assert int(seen.headers["request-timeout-ms"]) < 800


def test_without_gateway_file_site_path_is_unknown_and_hop_header_is_ignored(tmp_path):
    backend = StandIn(reply())
    discovery = DiscoveryStandIn([member("s-0", backend)])
    program = Program(tmp_path, document(discovery.address, [member("s-0", backend)])).wait_ready()
    assert program.ask(b"GET /site HTTP/1.1\r\n\r\n").status == "404"
    assert program.ask(request(extra="Site-Hops: 7\r\n")).status == "200"
    program.close()
    backend.close()
    discovery.close()


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("site = 'a'", "sites"), ("site = 'a b'\nsites = []", "site"), ("site = ", "not TOML"),
        ("site = 'a'\nbeats = 1\n[[sites]]\nname = 'b'\ngateways = ['127.0.0.1:1']", "beats"),
        ("site = 'a'\n[[sites]]\nname = 'a'\ngateways = ['127.0.0.1:1']", "a name stands twice"),
        ("site = 'a'\n[[sites]]\nname = 'b'\ngateways = ['nowhere']", "sites[0].gateways[0]"),
        ("site = 'a'\nbeat_s = 0\n[[sites]]\nname = 'b'\ngateways = ['127.0.0.1:1']", "beat_s"),
        ("site = 'a'\noffer_under = 0.95\n[[sites]]\nname = 'b'\ngateways = ['127.0.0.1:1']", "offer_under"),
    ],
)  # fmt: skip
def test_faulty_gateway_file_ends_the_start_and_error_names_the_key(tmp_path, text, key):
    path = tmp_path / "gateway.toml"
    path.write_text(text)
    program = Program(tmp_path, document("127.0.0.1:1"), PROXY_GATEWAY=str(path))
    line = program.wait_refused_start()
    assert key in line and str(path) in line


@pytest.mark.parametrize("signals", [(), (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP)])
def test_spilled_requests_are_answered_before_the_earliest_kill(tmp_path, signals):
    routes = [route("read", "at_most_once", DEADLINE_S)]
    site, other = (
        Site(tmp_path, "a", [reply_after_30_ms, silent, reply_after_30_ms]),
        Site(tmp_path, "b", [reply()]),
    )
    site.start(other, settings={"routes": routes})
    try:
        wait_for(lambda: site.discovery.watches and not site.says()["hot"])
        assert_shutdown_answers_all_requests(site.program, signals, 0.4, "Site-Hops: 1\r\nSite-From: b\r\n")
    finally:
        site.close()
        other.close()
