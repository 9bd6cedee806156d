"""A relay process on a dedicated machine: `python -m basalthoist relay FILE`. See docs/distribution.md.

It has a store, a connection to the leader and the sessions of nodes; a voter also has a replica of the
register and a publisher. The protocols' decisions are made in `distribution/` and `fleet/`; this module
carries their messages.
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

TICK = SECOND // 20  # 50 ms, in tenths of a millisecond
LOG_LINES_PER_S = 50
RESERVED_DESCRIPTORS = 48  # of the limit, for everything but the sessions: listeners, log, files, UDP socket
UNLIMITED_DESCRIPTORS = 1 << 20
ADMIN_LINE_TIMEOUT_S = 5.0
BACKLOG = 1024
BIND_TIMEOUT_S = 5.0  # A previous process of this relay may still have the address.
BIND_RETRY_S = 0.05
FINAL_WRITE_TIMEOUT_S = 2.0


class RegisterVoter(ReplicaSocket):
    """A voter's replica of the register. Calls `on_register_event` after each message and on each tick."""

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
        """Drives the replica's timers."""
        self.replica.on_tick(boot_time_now())
        self.on_register_event()

    def after_message(self, at: int) -> None:
        """Reports that a message has been delivered to the replica."""
        self.on_register_event()

    # Host of the replica.

    def apply(self, verdicts: VerdictSet) -> None:
        """Does nothing: the publisher reads the head from the replica itself."""

    def answer_call(self, call_id: int, text: str) -> None:
        """Does nothing: operators' calls go to the publisher, never to this replica."""

    def detected_outliers(self) -> list[str]:
        """Returns no outliers, because a relay process has no backends."""
        return []

    def backend_count(self) -> int:
        """Returns 0, because a relay process has no backends."""
        return 0


class LeaderLink(OutgoingConnection):
    """The connection to the leader, and host of the leader session."""

    def __init__(self, process: "RelayProcess") -> None:
        super().__init__(process.loop, process.key, process.log)
        self.process = process

    def on_commit(self, entries: list[Entry]) -> None:
        """Handles a later version of the store, with the entries that changed."""
        self.process.on_commit(entries)

    def on_proposal(self) -> None:
        """Handles a new pending change of the store."""
        self.process.on_proposal()

    def relay_state(self) -> RelayState:
        """Returns the state of this process's relay, which heartbeats report to the leader."""
        return self.process.relay.state(boot_time_now())

    def on_answer(self, call_id: int, text: str) -> None:
        """Answers a call of an operator at this process, or of a node that has passed a call on."""
        self.process.calls.answer(call_id, text)


class RelayProcess(ConfigurationCalls):
    """A relay process: host of the relay and, if this process is a voter, of the publisher."""

    def __init__(self, settings: DistributionDocument, loop: asyncio.AbstractEventLoop, folder: str) -> None:
        now, name, incarnation = boot_time_now(), settings.name, new_incarnation()
        self.settings = settings
        self.loop = loop
        self.bounds: Bounds = settings.bounds()
        self.key: bytes = key_of(settings.fleet)
        self.log = Log(name, LOG_LINES_PER_S)
        self.timers = Timers(loop, self.log)
        self.disk_worker = DiskWorker(loop)
        # Ids of calls start at a random number, so that they differ from those of an earlier process.
        self.calls = PendingCalls(int.from_bytes(os.urandom(5), "big") << 20)
        self.file = StoreFile(folder, settings.fleet, self.bounds.history_bytes, self.disk_worker, self.log)
        self.store = self.file.store
        self.relay = Relay(self, name, incarnation, self.bounds, self.store, now)
        self.leader_link = LeaderLink(self)
        self.leader_session = self.make_leader_session(incarnation, now)
        self.leader_link.session = self.leader_session
        self.register_voter: RegisterVoter | None = None
        self.publisher: Publisher | None = None
        if name in settings.voters:
            self.register_voter = self.make_voter(folder)
            self.publisher = self.make_publisher(self.register_voter, incarnation)
        self.sessions = IncomingSessions(self.relay, self.publisher, max_connections(), self.call, self.log)
        self.admin: Admin | None = self.make_admin() if settings.admin else None
        self.listener: Listener | None = None
        self.timers.every(TICK, self.tick)
        self.timers.every(int(settings.keep_s * SECOND), self.file.save)

    def make_leader_session(self, incarnation: int, now: int) -> LeaderSession:
        """Creates the session that keeps this process's store up to date with the leader."""
        settings = self.settings
        rng = Lcg(int.from_bytes(os.urandom(7), "big"))
        voters = [voter.address for voter in settings.voters.values()]
        own = settings.name, incarnation, settings.region
        return LeaderSession(self.leader_link, *own, voters, self.bounds, self.store, rng, now)

    def make_voter(self, folder: str) -> RegisterVoter:
        """Creates the replica of the register, for a process that is a voter."""
        common = self.timers, self.log, self.disk_worker
        return RegisterVoter(self.settings, folder, *common, self.on_register_event)

    def make_publisher(self, register_voter: RegisterVoter, incarnation: int) -> Publisher:
        """Creates the publisher, for a process that is a voter."""
        voters = {name: voter.address for name, voter in self.settings.voters.items()}
        own = self.settings.name, incarnation
        head = RegisterHead(register_voter.replica)
        return Publisher(self, head, *own, voters, self.bounds, self.store, check_entries)

    def make_admin(self) -> Admin:
        """Creates the admin interface with the operators' calls."""
        admin = Admin(
            {"config-here": self.here},
            {"config-drop": self.drop},
            self.timers,
            self.log,
            ADMIN_LINE_TIMEOUT_S,
        )
        admin.deferred_calls["config-status"] = self.status
        admin.calls_with_value["config-set"] = self.set
        return admin

    # Time.

    def tick(self) -> None:
        """Drives the timers of all parts of the process."""
        now = boot_time_now()
        if self.register_voter is not None:
            self.register_voter.tick()
        run_guarded(self.leader_session.on_tick, self.log, now)
        run_guarded(self.relay.on_tick, self.log, now)
        self.sessions.end_sessions_without_handshake(self.bounds.silent)

    def on_register_event(self) -> None:
        """Lets the publisher act on a possible change in the register's replica."""
        if self.publisher is not None:
            run_guarded(self.publisher.on_register_event, self.log, boot_time_now())

    # Host of relay and publisher.

    def send(self, session: int, message: Message | EncodedMessage) -> None:
        """Sends a message on the session of a node or of another relay."""
        self.sessions.send(session, message)

    def unsent_bytes(self, session: int) -> int:
        """Returns how many bytes written to a session are still in the write buffer."""
        return self.sessions.unsent_bytes(session)

    def end_session(self, session: int, reason: str) -> None:
        """Ends a session. The role's `on_session_ended` is called later."""
        self.sessions.end(session, reason)

    def age(self, now: int) -> int:
        """Returns the age of the store's view, in tenths of a millisecond."""
        return self.leader_session.age(now)

    def max_sessions(self) -> int:
        """Returns how many sessions the leader allows here; 0 for no limit."""
        return self.leader_session.max_sessions

    def on_all_nodes_current(self, now: int) -> None:
        """Informs the leader by a heartbeat, at once, that no node here may act on an older version."""
        if self.leader_session.connection.is_established:
            self.leader_session.send_heartbeat(now)

    def on_commit(self, entries: list[Entry]) -> None:
        """Passes a later version of the store on to the relay, with the entries that changed."""
        self.relay.on_commit(boot_time_now(), entries)

    def on_proposal(self) -> None:
        """Writes the store's new pending change to its file."""
        self.file.append_pending()

    # Operators' calls.

    def call(self, entries: list[Entry], answer: Answer) -> None:
        """Sends an operator's call to the leader."""
        self.leader_session.on_call(boot_time_now(), self.calls.add(answer), entries)

    def here(self) -> str:
        """Returns the answer to `config-here`. Bytes are counted since the process started."""
        age, leader = self.leader_session.age(boot_time_now()), self.leader_session.connection.address
        bytes_in, bytes_out = self.traffic()
        view = f"{age / SECOND:.1f} s old" if age < UNCONFIRMED_AGE else "never confirmed"
        sessions = f"{len(self.relay.sessions)} sessions, {bytes_in} bytes in {bytes_out} out"
        return f"SUCCESS version {self.store.version} {view} by {leader or 'no author'}, {sessions}"

    def traffic(self) -> tuple[int, int]:
        """Returns the bytes received and sent on all connections since the process started."""
        leader_in, leader_out = self.leader_link.traffic()
        bytes_in, bytes_out = self.sessions.traffic()
        return leader_in + bytes_in, leader_out + bytes_out

    # Start and end.

    async def serve(self, until: asyncio.Future) -> None:
        """Serves until the future is done. Raises OSError if an address cannot be bound."""
        host, port = address_of(self.settings.listen)
        make_stream = partial(MessageStream, self.loop, self.key, self.sessions)
        sock = await retried_while_in_use(partial(self.open_listening_socket, (host, port)))
        self.listener = Listener(self.loop, self.timers, self.log, sock, make_stream)
        if self.register_voter is not None:
            address = self.register_voter.addresses[self.settings.name]
            await retried_while_in_use(partial(self.open_register_socket, address))
        if self.admin is not None:
            address = address_of(self.settings.admin)
            await retried_while_in_use(partial(self.admin.listen, self.loop, address))
        self.log(f"distribution: relay on {host}:{port}, version {self.store.version}")
        await until
        await self.end()

    async def end(self) -> None:
        """Closes all sockets and writes the store to its file."""
        self.listener.close()
        self.leader_link.close()
        self.sessions.end_all("relay process ends")
        if self.register_voter is not None:
            self.register_voter.close()
        if self.admin is not None:
            self.admin.close()
        self.file.save()
        await self.disk_worker.wait_until_idle(FINAL_WRITE_TIMEOUT_S)

    async def open_listening_socket(self, address: tuple[str, int]) -> socket.socket:
        """Returns the listening socket for nodes and relays."""
        return listening_socket(address, BACKLOG)

    async def open_register_socket(self, address: tuple[str, int]) -> None:
        """Opens the UDP socket of the register's replica."""
        sock = socket.socket(family_of(address), socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.bind(address)
            await self.loop.create_datagram_endpoint(lambda: self.register_voter, sock=sock)
        except OSError:
            sock.close()
            raise


def max_connections() -> int:
    """Returns how many connections the process's limit of file descriptors allows."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return allowed - RESERVED_DESCRIPTORS if allowed != resource.RLIM_INFINITY else UNLIMITED_DESCRIPTORS


async def retried_while_in_use(listen: Callable[[], Awaitable]) -> socket.socket | None:
    """Calls `listen` until the address is free, and returns its result.

    Raises OSError if the address is still in use after BIND_TIMEOUT_S, or at once for any other error.
    """
    for attempts_left in range(int(BIND_TIMEOUT_S / BIND_RETRY_S), -1, -1):
        try:
            return await listen()
        except OSError as error:
            if error.errno != errno.EADDRINUSE or not attempts_left:
                raise
        await asyncio.sleep(BIND_RETRY_S)


async def run(settings: DistributionDocument, folder: str, make: type[RelayProcess] = RelayProcess) -> None:
    """Serves until SIGTERM or SIGINT. Stores files in `folder`; stores none if `folder` is empty."""
    loop = asyncio.get_running_loop()
    until = loop.create_future()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, lambda: until.done() or until.set_result(None))
    await make(settings, loop, folder).serve(until)
