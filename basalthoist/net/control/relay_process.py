"""A machine set aside for control: `python -m basalthoist relay FILE`. A store, its connection to the leader,
the sessions of nodes; where it votes, the register's replica and a publisher as well. docs/distribution.md.

What is decided is decided in `distribution/` and `fleet/`; here messages are carried.
"""

import asyncio
import errno
import os
import resource
import signal
import socket
from collections.abc import Awaitable, Callable
from functools import partial

from basalthoist.addresses import family_of
from basalthoist.configuration import DistributionDocument, address_of, check_entries
from basalthoist.decisions.random_numbers import Lcg
from basalthoist.distribution.bounds import UNCONFIRMED_AGE, Bounds
from basalthoist.distribution.catalogue import Entry
from basalthoist.distribution.leader_session import LeaderSession
from basalthoist.distribution.publisher import Publisher
from basalthoist.distribution.register_head import RegisterHead
from basalthoist.distribution.relay import Relay
from basalthoist.distribution.sessions import RelayState
from basalthoist.distribution.wire import EncodedMessage, Message, key_of
from basalthoist.fleet.replica import Replica
from basalthoist.fleet.verdicts import VerdictSet
from basalthoist.net.control.admin import Admin
from basalthoist.net.control.configuration_calls import ConfigurationCalls
from basalthoist.net.control.incoming_sessions import IncomingSessions
from basalthoist.net.control.message_stream import (
    MessageStream,
    OutgoingConnection,
    new_incarnation,
    run_guarded,
)
from basalthoist.net.control.pending_calls import Answer, PendingCalls
from basalthoist.net.control.replica_socket import ReplicaSocket
from basalthoist.net.control.store_file import StoreFile
from basalthoist.net.listener import Listener, listening_socket
from basalthoist.net.runtime.disk_worker import DiskWorker
from basalthoist.net.runtime.log import Log
from basalthoist.net.runtime.timers import SECOND, Timers, boot_time_now

TICK = SECOND // 20
LOG_LINES_PER_S = 50
RESERVED_DESCRIPTORS = 48
UNLIMITED_DESCRIPTORS = 1 << 20
ADMIN_LINE_S = 5.0  # a caller at the admin interface has to end its line
BACKLOG = 1024
BIND_S = 5.0  # how long an address may still be in use by a process before this one
BIND_RETRY_S = 0.05
LAST_WRITE_S = 2.0  # for the file, at the end


class RegisterVoter(ReplicaSocket):
    """The register's replica. `on_register_event` is called after whatever came to it, and on each tick."""

    def __init__(
        self,
        settings: DistributionDocument,
        folder: str,
        timers: Timers,
        log: Log,
        disk_worker: DiskWorker,
        on_register_event: Callable[[], None],
    ) -> None:
        register = settings.register()
        bounds, now = register.bounds(), boot_time_now()
        super().__init__(register, settings.name, folder, bounds, timers, log, disk_worker)
        self.on_register_event = on_register_event
        voters = sorted(register.voters)
        self.replica = Replica(
            self, settings.name, voters, voters, bounds, self.rng, now, self.hint_file.read()
        )

    def tick(self) -> None:
        """The replica's time."""
        self.replica.on_tick(boot_time_now())
        self.on_register_event()

    def after_message(self, at: int) -> None:
        """A datagram has come."""
        self.on_register_event()

    # As host of the replica.

    def apply(self, verdicts: VerdictSet) -> None:
        """The publisher reads the head where it stands."""

    def answer_call(self, call_id: int, text: str) -> None:
        """Operators call the publisher."""

    def detected_outliers(self) -> list[str]:
        """No backends are known here."""
        return []

    def backend_count(self) -> int:
        """No backends are known here."""
        return 0


class LeaderLink(OutgoingConnection):
    """The connection to the leader: host of the leader session."""

    def __init__(self, process: "RelayProcess") -> None:
        super().__init__(process.loop, process.key, process.log)
        self.process = process

    def on_commit(self, entries: list[Entry]) -> None:
        """The store has a later version."""
        self.process.on_commit(entries)

    def on_proposal(self) -> None:
        """The store has another pending change."""
        self.process.on_proposal()

    def relay_state(self) -> RelayState:
        """Of the relay here."""
        return self.process.relay.state(boot_time_now())

    def on_answer(self, call_id: int, text: str) -> None:
        """To an operator here, or a node that passed a call on."""
        self.process.calls.answer(call_id, text)


class RelayProcess(ConfigurationCalls):
    """Host of relay and publisher."""

    def __init__(self, settings: DistributionDocument, loop: asyncio.AbstractEventLoop, folder: str) -> None:
        now, name, incarnation = boot_time_now(), settings.name, new_incarnation()
        self.settings = settings
        self.loop = loop
        self.bounds: Bounds = settings.bounds()
        self.key: bytes = key_of(settings.fleet)
        self.log = Log(name, LOG_LINES_PER_S)
        self.timers = Timers(loop, self.log)
        self.disk_worker = DiskWorker(loop)
        self.calls = PendingCalls(int.from_bytes(os.urandom(5), "big") << 20)
        self.file = StoreFile(folder, settings.fleet, self.bounds.history_bytes, self.disk_worker, self.log)
        self.store = self.file.store
        self.relay = Relay(self, name, incarnation, self.bounds, self.store, now)
        self.leader_link = LeaderLink(self)
        self.leader_session = self.make_leader_session(incarnation, now)
        self.leader_link.session = self.leader_session
        self.voting: RegisterVoter | None = None
        self.publisher: Publisher | None = None
        if name in settings.voters:
            self.voting = self.make_voter(folder)
            self.publisher = self.make_publisher(self.voting, incarnation)
        self.sessions = IncomingSessions(self.relay, self.publisher, max_open(), self.call, self.log)
        self.admin: Admin | None = self.make_admin() if settings.admin else None
        self.listener: Listener | None = None
        self.timers.every(TICK, self.tick)
        self.timers.every(int(settings.keep_s * SECOND), self.file.save)

    def make_leader_session(self, incarnation: int, now: int) -> LeaderSession:
        """Of this process's store."""
        settings = self.settings
        random = Lcg(int.from_bytes(os.urandom(7), "big"))
        voters = [voter.address for voter in settings.voters.values()]
        own = settings.name, incarnation, settings.region
        return LeaderSession(self.leader_link, *own, voters, self.bounds, self.store, random, now)

    def make_voter(self, folder: str) -> RegisterVoter:
        """For a process that is among the voters."""
        common = self.timers, self.log, self.disk_worker
        return RegisterVoter(self.settings, folder, *common, self.on_register_event)

    def make_publisher(self, voter: RegisterVoter, incarnation: int) -> Publisher:
        """For a process that is among the voters."""
        voters = {name: one.address for name, one in self.settings.voters.items()}
        own = self.settings.name, incarnation
        head = RegisterHead(voter.replica)
        return Publisher(self, head, *own, voters, self.bounds, self.store, check_entries)

    def make_admin(self) -> Admin:
        """The operators' calls."""
        admin = Admin(
            {"config-here": self.here}, {"config-drop": self.drop}, self.timers, self.log, ADMIN_LINE_S
        )
        admin.deferred_calls["config-status"] = self.status
        admin.calls_with_figure["config-set"] = self.set
        return admin

    # Time.

    def tick(self) -> None:
        """Of everything here."""
        now = boot_time_now()
        if self.voting is not None:
            self.voting.tick()
        run_guarded(self.leader_session.on_tick, self.log, now)
        run_guarded(self.relay.on_tick, self.log, now)
        self.sessions.end_unidentified(self.bounds.silent)

    def on_register_event(self) -> None:
        """Something came to the register's replica."""
        if self.publisher is not None:
            run_guarded(self.publisher.on_register_event, self.log, boot_time_now())

    # As host of relay and publisher.

    def send(self, session: int, message: Message | EncodedMessage) -> None:
        """To a node or another relay."""
        self.sessions.send(session, message)

    def unsent_bytes(self, session: int) -> int:
        """Written, and not taken by the peer."""
        return self.sessions.unsent_bytes(session)

    def end_session(self, session: int, reason: str) -> None:
        """The role learns of it later."""
        self.sessions.end(session, reason)

    def age(self, now: int) -> int:
        """Of the store's view."""
        return self.leader_session.age(now)

    def max_sessions(self) -> int:
        """As the leader allows."""
        return self.leader_session.max_sessions

    def on_all_nodes_current(self, now: int) -> None:
        """The leader hears of it at once."""
        if self.leader_session.connection.is_established:
            self.leader_session.send_heartbeat(now)

    def on_commit(self, entries: list[Entry]) -> None:
        """The store has a later version."""
        self.relay.on_commit(boot_time_now(), entries)

    def on_proposal(self) -> None:
        """The store has another pending change."""
        self.file.append_pending()

    # Operators.

    def call(self, entries: list[Entry], answer: Answer) -> None:
        """To the leader."""
        self.leader_session.on_call(boot_time_now(), self.calls.add(answer), entries)

    def here(self) -> str:
        """`config-here`. Bytes are since the process began."""
        age, leader = self.leader_session.age(boot_time_now()), self.leader_session.connection.address
        bytes_in, bytes_out = self.traffic()
        view = f"{age / SECOND:.1f} s old" if age < UNCONFIRMED_AGE else "never confirmed"
        sessions = f"{len(self.relay.sessions)} sessions, {bytes_in} bytes in {bytes_out} out"
        return f"SUCCESS version {self.store.version} {view} by {leader or 'no author'}, {sessions}"

    def traffic(self) -> tuple[int, int]:
        """Bytes in and out on connections so far."""
        leader_in, leader_out = self.leader_link.traffic()
        bytes_in, bytes_out = self.sessions.traffic()
        return leader_in + bytes_in, leader_out + bytes_out

    # Beginning and end.

    async def serve(self, until: asyncio.Future) -> None:
        """Until that future is done. Raises OSError where an address can't be listened on."""
        host, port = address_of(self.settings.listen)
        make_stream = partial(MessageStream, self.loop, self.key, self.sessions)
        sock = await retried_while_in_use(partial(self.listening, (host, port)))
        self.listener = Listener(self.loop, self.timers, self.log, sock, make_stream)
        if self.voting is not None:
            address = self.voting.addresses[self.settings.name]
            await retried_while_in_use(partial(self.open_datagrams, address))
        if self.admin is not None:
            address = address_of(self.settings.admin)
            await retried_while_in_use(partial(self.admin.listen, self.loop, address))
        self.log(f"distribution: relay on {host}:{port}, version {self.store.version}")
        await until
        await self.end()

    async def end(self) -> None:
        """Closes all that was opened, and keeps the store."""
        self.listener.close()
        self.leader_link.close()
        self.sessions.end_all("the relay ends")
        if self.voting is not None:
            self.voting.close()
        if self.admin is not None:
            self.admin.close()
        self.file.save()
        await self.disk_worker.settle(LAST_WRITE_S)

    async def listening(self, address: tuple[str, int]) -> socket.socket:
        """For nodes and relays."""
        return listening_socket(address, BACKLOG)

    async def open_datagrams(self, address: tuple[str, int]) -> None:
        """Of the register."""
        sock = socket.socket(family_of(address), socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.bind(address)
            await self.loop.create_datagram_endpoint(lambda: self.voting, sock=sock)
        except OSError:
            sock.close()
            raise


def max_open() -> int:
    """Connections, by the limit of the process's file descriptors."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return allowed - RESERVED_DESCRIPTORS if allowed != resource.RLIM_INFINITY else UNLIMITED_DESCRIPTORS


async def retried_while_in_use(listen: Callable[[], Awaitable]) -> socket.socket | None:
    """What `listen` returns. Raises OSError where the address stays in use, or for any other reason."""
    for attempts_left in range(int(BIND_S / BIND_RETRY_S), -1, -1):
        try:
            return await listen()
        except OSError as error:
            # Guards against a process before this one that has not yet let go of the address.
            if error.errno != errno.EADDRINUSE or not attempts_left:
                raise
        await asyncio.sleep(BIND_RETRY_S)


async def run(settings: DistributionDocument, folder: str, make: type[RelayProcess] = RelayProcess) -> None:
    """Serves until SIGTERM or SIGINT. `folder`: for files; empty for none."""
    loop = asyncio.get_running_loop()
    until = loop.create_future()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, lambda: until.done() or until.set_result(None))
    await make(settings, loop, folder).serve(until)
