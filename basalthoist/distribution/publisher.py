"""At the register's leader: changes get a version, are committed, and are known to be in force.

One change is in progress at a time. It goes to the stores; when a majority of the voters' has it, its head is
proposed to the register; when the register has committed that, the change is committed and the stores are
told. docs/distribution.md.
"""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from .bounds import Bounds, ConfirmedViews
from .catalogue import Call, Catalogue, Change, Entry, EntryError, Key
from .sessions import SessionHost, redirect
from .store import Store
from .wire import (
    CommitNotice,
    Delta,
    EncodedMessage,
    HandshakeReply,
    HandshakeRequest,
    Heartbeat,
    HeartbeatReply,
    Message,
    OperatorCall,
    OperatorReply,
    Proposal,
    ResyncRequest,
    Snapshot,
)

SECOND = 10_000  # tenths of a millisecond
MAX_NAMED_RELAYS = 8  # in an answer
NOT_PROPOSED = -1  # in place of a call's version
REMEMBERED_CALLS = 4  # times as many as may be in progress

Check = Callable[[list[Entry], Callable[[Key], Entry | None], Catalogue], None]


class PublisherHost(SessionHost, Protocol):
    """What a publisher makes happen on its machine."""

    def on_commit(self, entries: list[Entry]) -> None:
        """The store here has a later version, by these entries."""

    def on_proposal(self) -> None:
        """The store has another pending change: `Store.pending_record` goes to its file."""


class Register(Protocol):
    """The fleet's register, where `head` is what it has committed last."""

    def leads(self, now: int) -> bool:
        """Whether this process has the lease."""

    def term(self) -> int:
        """The latest that is known here."""

    def leader(self) -> str:
        """Its name, as far as it is known here; "" for none."""

    def head(self) -> tuple[int, bytes]:
        """Version and digest; asked only where this one leads; version 0 where there is none."""

    def propose_head(self, now: int, version: int, digest: bytes) -> None:
        """The register is to commit this head."""


class QueuedCall(NamedTuple):
    """A change that an operator asks for, not proposed yet."""

    call: Call
    entries: list[Entry]


class WaitingCall(NamedTuple):
    """An operator's call that has no answer: whose, and from which version on it is in force."""

    session: int
    call: Call
    version: int  # NOT_PROPOSED while it is queued
    deadline: int


class Follower:
    """What the leader knows of a relay's process: also of one that was lost, until nobody acts by it."""

    def __init__(self, name: str, incarnation: int, session: int, now: int) -> None:
        self.name = name
        self.incarnation = incarnation
        self.session = session
        self.heard_at = now
        self.views = ConfirmedViews()
        self.version = -1
        self.pending_version = -1
        self.term = 0  # of the pending change
        self.nodes = 0
        self.inactive_nodes = 0
        self.redirected_nodes = 0

    def on_heartbeat(self, now: int, message: Heartbeat) -> None:
        """What the relay tells of itself."""
        self.heard_at = now
        self.version = max(self.version, message.version)
        self.pending_version = message.pending_version
        self.term = message.term
        self.nodes = message.nodes
        self.inactive_nodes = message.inactive_nodes
        self.redirected_nodes = message.redirected_nodes
        self.views.acknowledge(message.oldest_version)


class Publisher:
    """Gives changes a version and commits them, while this process leads.

    `voters`: names to addresses. `check` raises EntryError for a change that can't be distributed.
    """

    def __init__(
        self,
        host: PublisherHost,
        register: Register,
        name: str,
        incarnation: int,
        voters: dict[str, str],
        bounds: Bounds,
        store: Store,
        check: Check,
    ) -> None:
        self.host = host
        self.register = register
        self.name = name
        self.incarnation = incarnation
        self.voters = voters
        self.bounds = bounds
        self.store = store
        self.check = check
        self.term = 0  # in which this one leads; 0: it does not
        self.term_began_at = 0
        self.is_ready = False  # the store here has what the head names
        self.in_progress: Change | None = None
        self.head_proposed = False  # that of the change in progress
        self.last_change_at = 0
        self.followers: dict[int, Follower] = {}  # by session
        self.lost_followers: list[Follower] = []
        self.queue: list[QueuedCall] = []
        self.pending_entries: dict[Key, Entry] = {}  # in progress or queued, over the catalogue
        self.waiting: list[WaitingCall] = []
        self.call_versions: dict[Call, int] = {}  # of the calls of this term
        self.asked_at: dict[int, int] = {}  # sessions, when they were asked for what is missing here

    # Terms.

    def leads(self, now: int) -> bool:
        """Whether it has the lease and knows what is committed."""
        return bool(self.is_ready and self.register.leads(now) and self.register.term() == self.term)

    def on_register_event(self, now: int) -> None:
        """Whenever something came to the register's replica here, and on each tick."""
        if not self.register.leads(now):
            if self.term:
                self.step_down()
            return
        if self.register.term() != self.term:
            if self.term:
                self.step_down()
            self.start_term(now)
        if not self.is_ready:
            self.recover(now)
        elif self.in_progress is not None and self.register.head() != self.store.head:
            self.commit(now)
        if self.is_ready:
            self.advance(now)
            self.answer_calls(now)

    def step_down(self) -> None:
        """Another process leads, or may soon. Operators' calls go on at the next leader."""
        self.term, self.is_ready, self.in_progress = 0, False, None
        for session in list(self.followers):
            self.host.end_session(session, "author no more")
        self.followers, self.lost_followers = {}, []
        self.queue, self.pending_entries, self.waiting = [], {}, []

    def start_term(self, now: int) -> None:
        """This process has the lease."""
        self.term, self.term_began_at = self.register.term(), now
        self.last_change_at = now - self.bounds.batch_interval
        self.is_ready, self.call_versions, self.asked_at = False, {}, {}
        self.recover(now)

    def recover(self, now: int) -> None:
        """Gets the head's content, from here or from any store that has it: its digest tells."""
        head, store = self.register.head(), self.store
        if store.head != head and (entries := store.commit(*head)) is not None:
            self.host.on_commit(entries)
        if store.head == head:
            return self.become_ready()
        for session, follower in self.followers.items():
            is_ahead = follower.version > store.version or follower.pending_version > store.version
            asked_at = self.asked_at.get(session, -self.bounds.heartbeat)
            if is_ahead and now - asked_at >= self.bounds.heartbeat:
                self.asked_at[session] = now
                self.host.send(session, ResyncRequest(store.version))

    def become_ready(self) -> None:
        """The store here is at the head."""
        store, self.is_ready = self.store, True
        # Guards against a change that no head names: it was never committed, and never will be.
        store.pending, store.term = None, max(store.term, self.term)
        self.host.log(f"distribution: author by ballot {self.term}, version {store.version}")
        for follower in self.followers.values():
            self.bring_up_to_date(follower)

    # Sessions of stores: relays, and voters' own.

    def on_handshake(self, now: int, session: int, message: HandshakeRequest) -> None:
        """A store wants to follow."""
        if not self.register.leads(now) or not self.term:
            address = self.voters.get(self.register.leader(), "")
            relays = [address] if address else []
            return redirect(self.host, session, "not the author", self.bounds.backoff, relays)
        if not self.replace_sessions_of(now, session, message):
            return
        follower = self.followers[session] = Follower(message.name, message.incarnation, session, now)
        follower.version = message.version
        self.adopt_views(follower)
        self.host.send(session, HandshakeReply(self.name, self.incarnation))
        if not self.is_ready:
            return self.recover(now)
        if message.version == self.store.version and message.digest != self.store.digest:
            self.host.send(session, self.store.snapshot(None))
        self.bring_up_to_date(follower)

    def replace_sessions_of(self, now: int, session: int, message: HandshakeRequest) -> bool:
        """Ends other sessions of that name; False where one of them is of a later incarnation."""
        for follower in list(self.followers.values()):
            if follower.name != message.name:
                continue
            if follower.incarnation > message.incarnation:
                redirect(self.host, session, "an older incarnation", self.bounds.max_backoff)
                return False
            self.host.end_session(follower.session, "another session of it")
            self.on_session_ended(now, follower.session)
        return True

    def adopt_views(self, follower: Follower) -> None:
        """Takes over what was confirmed to the same process in sessions that were lost."""
        own = follower.name, follower.incarnation
        for lost in [lost for lost in self.lost_followers if (lost.name, lost.incarnation) == own]:
            follower.views = lost.views
            self.lost_followers.remove(lost)

    def bring_up_to_date(self, follower: Follower) -> None:
        """Sends what leads on from its version, and the change in progress."""
        update = self.store.update_for(None, follower.version)
        if update is not None:
            self.host.send(follower.session, update)
            follower.version = self.store.version
        if self.in_progress is not None:
            self.host.send(follower.session, Proposal(self.term, self.in_progress))

    def on_session_ended(self, now: int, session: int) -> None:
        """The carrier has no such session any more."""
        follower = self.followers.pop(session, None)
        if follower is not None and follower.views.oldest(now) is not None:
            self.lost_followers.append(follower)
        self.waiting = [call for call in self.waiting if call.session != session]

    def on_message(self, now: int, session: int, message: Message) -> None:
        """One of a follower's."""
        follower = self.followers.get(session)
        if follower is None:
            return
        match message:
            case Heartbeat():
                self.on_heartbeat(now, follower, message)
            case OperatorCall():
                self.on_call(now, session, follower.name, message)
            case ResyncRequest() if self.is_ready:
                self.on_resync_request(follower, message)
            case Delta() | Snapshot() if not self.is_ready:
                self.on_missing_content(now, message)
            case Proposal() if not self.is_ready and self.term:
                self.on_pending_elsewhere(now, message)

    def on_resync_request(self, follower: Follower, message: ResyncRequest) -> None:
        """The follower misses something, or all."""
        follower.version = message.version
        if message.version < 0:
            self.host.send(follower.session, self.store.snapshot(None))
            follower.version = self.store.version
        self.bring_up_to_date(follower)

    def on_missing_content(self, now: int, message: Delta | Snapshot) -> None:
        """What this store lacks of the head, perhaps."""
        # Guards against content that is not of this history: nothing committed is beyond the head.
        if self.term and message.version <= self.register.head()[0]:
            entries = self.store.take_update(message)
            if entries is not None:
                self.host.on_commit(entries)
            self.on_register_event(now)

    def on_pending_elsewhere(self, now: int, message: Proposal) -> None:
        """What is pending in another store may be what the head names; otherwise it is dropped again."""
        change = message.change
        if (change.version, change.digest_after) == self.register.head():
            self.store.propose(max(message.term, self.store.term), change)
        self.on_register_event(now)

    def on_heartbeat(self, now: int, follower: Follower, message: Heartbeat) -> None:
        """What a relay tells of itself may be what a change or a call waits for."""
        follower.on_heartbeat(now, message)
        if self.leads(now):
            self.confirm(now, follower, message)
            self.advance(now)
            self.answer_calls(now)
        elif self.term:
            self.on_register_event(now)

    def confirm(self, now: int, follower: Follower, message: Heartbeat) -> None:
        """Only under the lease; it has effect only at a store that is at just this version."""
        head = self.store.head
        follower.views.confirm(head[0], now + self.bounds.max_view_lifetime())
        reply = HeartbeatReply(
            message.sent_at, *head, age=0, term=self.term, max_sessions=self.max_sessions()
        )
        self.host.send(follower.session, reply)

    def max_sessions(self) -> int:
        """How many each relay may have: its even part and some more."""
        nodes = sum(one.nodes + one.inactive_nodes + one.redirected_nodes for one in self.followers.values())
        even_part = int(self.bounds.load_factor * nodes / max(len(self.followers), 1)) + 1
        return max(even_part, self.bounds.min_sessions)

    # Changes.

    def on_call(self, now: int, session: int, name: str, message: OperatorCall) -> None:
        """The same call may come several times: it is one change."""
        call = name, message.call_id
        if not self.leads(now):
            return  # it comes again, or its caller's time runs out
        if not message.entries:
            return self.reply(session, message.call_id, f"SUCCESS {self.status()}")
        if any(waiting.call == call for waiting in self.waiting):
            return
        if len(self.waiting) >= self.bounds.max_calls:
            return self.reply(session, message.call_id, "FAILURE too many calls under way")
        if call not in self.call_versions and call in self.store.calls:
            self.call_versions[call] = self.store.calls[call]  # its answer was lost, perhaps with a leader
        if call not in self.call_versions:
            try:
                self.enqueue(call, message.entries)
            except EntryError as error:
                return self.reply(session, message.call_id, f"FAILURE {error}")
        version, deadline = self.call_versions[call], now + message.timeout
        self.waiting.append(WaitingCall(session, call, version, deadline))
        self.advance(now)
        self.answer_calls(now)

    def enqueue(self, call: Call, entries: list[Entry]) -> None:
        """Raises EntryError for a change that can't be distributed."""
        self.check(entries, self.entry_to_be, self.store.catalogue)
        self.queue.append(QueuedCall(call, entries))
        self.pending_entries |= {entry.key: entry for entry in entries}
        self.call_versions[call] = NOT_PROPOSED
        while len(self.call_versions) > REMEMBERED_CALLS * self.bounds.max_calls:
            del self.call_versions[next(iter(self.call_versions))]

    def entry_to_be(self, key: Key) -> Entry | None:
        """The entry of that key, once all that was accepted is committed."""
        if key in self.pending_entries:
            return self.pending_entries[key] if self.pending_entries[key].on else None
        return self.store.catalogue.get(key)

    def advance(self, now: int) -> None:
        """Proposes the next change, or its head once a majority of the voters has the change."""
        if (
            self.in_progress is None
            and self.queue
            and now - self.last_change_at >= self.bounds.batch_interval
        ):
            self.propose(now)
        change = self.in_progress
        if change is None or self.head_proposed or not self.leads(now):
            return
        if self.is_at_majority(change):
            self.head_proposed = True
            self.register.propose_head(now, change.version, change.digest_after)
            if self.register.head() == (change.version, change.digest_after):  # this is the only voter
                self.commit(now)

    def is_at_majority(self, change: Change) -> bool:
        """Whether the change is pending at a majority of the voters, of which this is one."""
        own = change.version, self.term
        at = {one.name for one in self.followers.values() if (one.pending_version, one.term) == own}
        return len((at | {self.name}) & self.voters.keys()) > len(self.voters) // 2

    def propose(self, now: int) -> None:
        """All that is queued becomes one change, which goes to the stores."""
        queued, self.queue = self.queue, []
        calls = [one.call for one in queued]
        entries = [entry for one in queued for entry in one.entries]
        change = self.store.catalogue.make_change(entries, calls)
        # What changes nothing is in force with what is committed already.
        self.set_version(calls, change.version if change is not None else self.store.version)
        self.last_change_at, self.in_progress, self.head_proposed = now, change, False
        if change is None:
            self.pending_entries = {}
            return
        self.store.propose(self.term, change)
        self.host.on_proposal()
        self.send_to_all(Proposal(self.term, change))

    def set_version(self, calls: list[Call], version: int) -> None:
        """The version in which these calls are carried out."""
        for call in calls:
            self.call_versions[call] = version
        self.waiting = [one._replace(version=version) if one.call in calls else one for one in self.waiting]

    def commit(self, now: int) -> None:
        """The register has committed the head of the change in progress."""
        version, digest = self.register.head()
        entries = self.store.commit(version, digest)
        if entries is None:
            return
        self.in_progress = None
        self.pending_entries = {entry.key: entry for one in self.queue for entry in one.entries}
        self.send_to_all(CommitNotice(self.term, version, digest))
        self.host.on_commit(entries)

    def send_to_all(self, message: Message) -> None:
        """To all followers, encoded once."""
        encoded = EncodedMessage(message)
        for session in self.followers:
            self.host.send(session, encoded)

    # What has become of calls.

    def answer_calls(self, now: int) -> None:
        """Answers the calls whose change is in force, or whose time has run out."""
        if not self.waiting or not self.leads(now):
            return
        by_version: dict[int, dict[str, int]] = {}  # many calls wait for one
        outcomes = [(call, text) for call in self.waiting if (text := self.outcome_of(now, call, by_version))]
        answered = {waiting.call for waiting, _ in outcomes}
        self.waiting = [waiting for waiting in self.waiting if waiting.call not in answered]
        for waiting, text in outcomes:
            self.reply(waiting.session, waiting.call[1], text)

    def may_act_on_older(self, now: int, version: int) -> dict[str, int]:
        """By whose confirmations a node may still act on an older version, and for how long yet.

        Ages add up, so whoever acts by a leader's confirmation can't once a view has run out since.
        """
        found = {}
        self.lost_followers = [one for one in self.lost_followers if one.views.oldest(now) is not None]
        for follower in [*self.followers.values(), *self.lost_followers]:
            oldest = follower.views.oldest(now)
            if oldest is not None and oldest < version:
                found[follower.name] = follower.views.until() - now
        remaining = self.term_began_at + self.bounds.max_view_lifetime() - now
        if remaining > 0:  # relays of the leader before, which may not have been heard here
            found["the author before"] = remaining
        return found

    def outcome_of(self, now: int, call: WaitingCall, by_version: dict[int, dict[str, int]]) -> str:
        """The answer to a call, or nothing yet. `by_version`: `may_act_on_older`, as far as it was asked."""
        version, is_late = call.version, now >= call.deadline
        if 0 <= version <= self.store.version:
            if version not in by_version:
                by_version[version] = self.may_act_on_older(now, version)
            confirmers = by_version[version]
            if not confirmers:
                return self.in_force(version)
            return self.not_in_force(version, confirmers) if is_late else ""
        if not is_late:
            return ""
        if version < 0:
            return "FAILURE not proposed yet, not known whether it will be kept"
        return f"FAILURE version {version} proposed, not known whether it is kept"

    def in_force(self, version: int) -> str:
        """Nobody may act on an older version, or none that is in touch does."""
        followers = self.followers.values()
        nodes, inactive_nodes = (
            sum(one.nodes for one in followers),
            sum(one.inactive_nodes for one in followers),
        )
        where = f"{nodes} nodes in touch by {len(followers)} relays"
        if not self.bounds.strict:
            return f"SUCCESS version {version} in force at {where}; others serve on by older ones"
        return f"SUCCESS version {version} in force at {where}, {inactive_nodes} shut out"

    @staticmethod
    def not_in_force(version: int, confirmers: dict[str, int]) -> str:
        """By whom nodes may act on an older version, and for how long at most."""
        by = " ".join(sorted(confirmers)[:MAX_NAMED_RELAYS])
        remaining = f"for {max(confirmers.values()) / SECOND:.1f} s more"
        return f"FAILURE version {version} kept, nodes by {by} may act on {version - 1} {remaining}"

    def reply(self, session: int, call_id: int, text: str) -> None:
        """To whoever passed the call on."""
        self.host.send(session, OperatorReply(call_id, text))

    def status(self) -> str:
        """Of the catalogue and each relay, as operators read it."""
        followers = sorted(self.followers.values(), key=lambda one: one.name)
        rows = [f"{one.name} {one.version} {one.nodes} nodes {one.inactive_nodes} out" for one in followers]
        head, catalogue = f"author {self.name} ballot {self.term}", self.store.catalogue
        size = f"{len(catalogue.entries)} entries {len(catalogue.tenants)} tenants"
        return f"{head} version {self.store.version} {size}: {', '.join(rows)}"
