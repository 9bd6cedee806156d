"""Runs at the register's leader: assigns versions to changes, commits them and tracks when they take effect.

One change is in progress at a time. The leader sends it to the stores as a proposal. Once it is pending at
a majority of the voters' stores, the leader proposes its head (version and digest) to the register. Once
the register has committed the head, the change is committed and the stores get a commit notice.
docs/distribution.md describes the protocol.
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

SECOND = 10_000  # in tenths of a millisecond
MAX_NAMED_RELAYS = 8  # the relays named in an answer to an operator
NOT_PROPOSED = -1  # stands for the version of a call that is not proposed yet
REMEMBERED_CALLS_FACTOR = 4  # the versions of this multiple of `max_calls` are remembered

Check = Callable[[list[Entry], Callable[[Key], Entry | None], Catalogue], None]


class PublisherHost(SessionHost, Protocol):
    """The environment of a publisher: its sessions and its store's file."""

    def on_commit(self, entries: list[Entry]) -> None:
        """Called when the local store has committed a later version with these entries."""

    def on_proposal(self) -> None:
        """Called when another change is pending; the host appends `Store.pending_record` to its file."""


class Register(Protocol):
    """The fleet's replicated register, which holds the catalogue's committed head."""

    def leads(self, now: int) -> bool:
        """Returns whether this process holds the lease."""

    def term(self) -> int:
        """Returns the latest term known to this process."""

    def leader(self) -> str:
        """Returns the name of the leader; "" if unknown to this process."""

    def head(self) -> tuple[int, bytes]:
        """Returns the committed version and digest; version 0 if there is none.

        Called only while this process leads.
        """

    def propose_head(self, now: int, version: int, digest: bytes) -> None:
        """Proposes this head to the register."""


class QueuedCall(NamedTuple):
    """An operator's call whose entries are not proposed yet."""

    call: Call
    entries: list[Entry]


class WaitingCall(NamedTuple):
    """An operator's call that is not answered yet, and the version that carries it out."""

    session: int
    call: Call
    version: int  # NOT_PROPOSED while the call is queued
    deadline: int


class Follower:
    """The state of a relay process at the leader.

    The state of a lost one is kept until no node may act on the views that were confirmed to it.
    """

    def __init__(self, name: str, incarnation: int, session: int, now: int) -> None:
        self.name = name
        self.incarnation = incarnation
        self.session = session
        self.last_received_at = now
        self.views = ConfirmedViews()
        self.version = -1
        self.pending_version = -1
        self.term = 0  # the term in which the pending change was proposed
        self.nodes = 0
        self.inactive_nodes = 0
        self.redirected_nodes = 0

    def on_heartbeat(self, now: int, message: Heartbeat) -> None:
        """Takes in the state that the relay reports."""
        self.last_received_at = now
        self.version = max(self.version, message.version)
        self.pending_version = message.pending_version
        self.term = message.term
        self.nodes = message.nodes
        self.inactive_nodes = message.inactive_nodes
        self.redirected_nodes = message.redirected_nodes
        self.views.acknowledge(message.oldest_version)


class Publisher:
    """Assigns versions to changes and commits them while this process leads.

    `voters` maps the voters' names to their addresses. `check` raises EntryError for a change that cannot be
    distributed.
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
        self.term = 0  # the term in which this process leads; 0 while it does not
        self.term_began_at = 0
        self.is_ready = False  # the local store is at the register's head
        self.in_progress: Change | None = None
        self.head_proposed = False  # whether the head of the change in progress is proposed to the register
        self.last_change_at = 0
        self.followers: dict[int, Follower] = {}  # by session number
        self.lost_followers: list[Follower] = []
        self.queue: list[QueuedCall] = []
        self.pending_entries: dict[Key, Entry] = {}  # accepted but not committed: in progress or queued
        self.waiting: list[WaitingCall] = []
        self.call_versions: dict[Call, int] = {}  # the versions that carry out the calls of this term
        self.resync_requested_at: dict[int, int] = {}  # by session number

    # Terms.

    def leads(self, now: int) -> bool:
        """Returns whether this process holds the lease and its store is at the committed head."""
        return bool(self.is_ready and self.register.leads(now) and self.register.term() == self.term)

    def on_register_event(self, now: int) -> None:
        """Follows the register; called after each message to its local replica and on each tick."""
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
        """Ends the term and all sessions. The followers send operators' calls again to the next leader."""
        self.term, self.is_ready, self.in_progress = 0, False, None
        for session in list(self.followers):
            self.host.end_session(session, "author no more")
        self.followers, self.lost_followers = {}, []
        self.queue, self.pending_entries, self.waiting = [], {}, []

    def start_term(self, now: int) -> None:
        """Starts a term in which this process holds the lease."""
        self.term, self.term_began_at = self.register.term(), now
        self.last_change_at = now - self.bounds.batch_interval
        self.is_ready, self.call_versions, self.resync_requested_at = False, {}, {}
        self.recover(now)

    def recover(self, now: int) -> None:
        """Brings the local store to the register's head, by the pending change or followers' content."""
        head, store = self.register.head(), self.store
        if store.head != head and (entries := store.commit(*head)) is not None:
            self.host.on_commit(entries)
        if store.head == head:
            return self.become_ready()
        for session, follower in self.followers.items():
            is_ahead = follower.version > store.version or follower.pending_version > store.version
            requested_at = self.resync_requested_at.get(session, -self.bounds.heartbeat)
            if is_ahead and now - requested_at >= self.bounds.heartbeat:
                self.resync_requested_at[session] = now
                self.host.send(session, ResyncRequest(store.version))

    def become_ready(self) -> None:
        """Starts to serve, as the local store is at the head."""
        store, self.is_ready = self.store, True
        # Guards against a pending change that the head does not name: it will never be committed.
        store.pending, store.term = None, max(store.term, self.term)
        self.host.log(f"distribution: author by ballot {self.term}, version {store.version}")
        for follower in self.followers.values():
            self.bring_up_to_date(follower)

    # Sessions of followers: relays' stores, and those of voters.

    def on_handshake(self, now: int, session: int, message: HandshakeRequest) -> None:
        """Accepts the session of a follower, or redirects it to the leader."""
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
        """Ends other sessions of the same follower; False if one of them has a later incarnation."""
        for follower in list(self.followers.values()):
            if follower.name != message.name:
                continue
            if follower.incarnation > message.incarnation:
                redirect(self.host, session, "an older incarnation", self.bounds.max_backoff)
                return False
            self.host.end_session(follower.session, "replaced by a newer session")
            self.on_session_ended(now, follower.session)
        return True

    def adopt_views(self, follower: Follower) -> None:
        """Takes over the views that were confirmed to the same process in sessions that were lost."""
        identity = follower.name, follower.incarnation
        for lost in [lost for lost in self.lost_followers if (lost.name, lost.incarnation) == identity]:
            follower.views = lost.views
            self.lost_followers.remove(lost)

    def bring_up_to_date(self, follower: Follower) -> None:
        """Sends the changes after the follower's version, and the change in progress."""
        update = self.store.update_for(None, follower.version)
        if update is not None:
            self.host.send(follower.session, update)
            follower.version = self.store.version
        if self.in_progress is not None:
            self.host.send(follower.session, Proposal(self.term, self.in_progress))

    def on_session_ended(self, now: int, session: int) -> None:
        """Removes a session that the host has closed; its confirmed views stay known until they expire."""
        follower = self.followers.pop(session, None)
        if follower is not None and follower.views.oldest_version(now) is not None:
            self.lost_followers.append(follower)
        self.waiting = [call for call in self.waiting if call.session != session]

    def on_message(self, now: int, session: int, message: Message) -> None:
        """Handles a message of a follower."""
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
                self.on_follower_update(now, message)
            case Proposal() if not self.is_ready and self.term:
                self.on_follower_proposal(now, message)

    def on_resync_request(self, follower: Follower, message: ResyncRequest) -> None:
        """Sends the changes after the requested version, or a snapshot (-1)."""
        follower.version = message.version
        if message.version < 0:
            self.host.send(follower.session, self.store.snapshot(None))
            follower.version = self.store.version
        self.bring_up_to_date(follower)

    def on_follower_update(self, now: int, message: Delta | Snapshot) -> None:
        """Takes an update from a follower's store, which may bring the local store to the head."""
        # Guards against uncommitted content: no committed version is later than the head.
        if self.term and message.version <= self.register.head()[0]:
            entries = self.store.take_update(message)
            if entries is not None:
                self.host.on_commit(entries)
            self.on_register_event(now)

    def on_follower_proposal(self, now: int, message: Proposal) -> None:
        """Takes over the change that is pending in a follower's store, if the head names it."""
        change = message.change
        if (change.version, change.digest_after) == self.register.head():
            self.store.propose(max(message.term, self.store.term), change)
        self.on_register_event(now)

    def on_heartbeat(self, now: int, follower: Follower, message: Heartbeat) -> None:
        """Takes in a relay's state; a change or a call may be waiting for it."""
        follower.on_heartbeat(now, message)
        if self.leads(now):
            self.confirm(now, follower, message)
            self.advance(now)
            self.answer_calls(now)
        elif self.term:
            self.on_register_event(now)

    def confirm(self, now: int, follower: Follower, message: Heartbeat) -> None:
        """Confirms the follower's view, under the lease. A store at another version ignores this."""
        head = self.store.head
        follower.views.confirm(head[0], now + self.bounds.max_view_lifetime())
        reply = HeartbeatReply(
            message.sent_at, *head, age=0, term=self.term, max_sessions=self.max_sessions()
        )
        self.host.send(follower.session, reply)

    def max_sessions(self) -> int:
        """Returns the limit of sessions for each relay: `load_factor` times the mean, or `min_sessions`."""
        nodes = sum(
            follower.nodes + follower.inactive_nodes + follower.redirected_nodes
            for follower in self.followers.values()
        )
        limit = int(self.bounds.load_factor * nodes / max(len(self.followers), 1)) + 1
        return max(limit, self.bounds.min_sessions)

    # Changes.

    def on_call(self, now: int, session: int, name: str, message: OperatorCall) -> None:
        """Accepts an operator's call. A call that is received several times is carried out once."""
        call = name, message.call_id
        if not self.leads(now):
            return  # the follower sends the call again until it times out
        if not message.entries:
            return self.reply(session, message.call_id, f"SUCCESS {self.status()}")
        if any(waiting.call == call for waiting in self.waiting):
            return
        if len(self.waiting) >= self.bounds.max_calls:
            return self.reply(session, message.call_id, "FAILURE too many calls under way")
        if call not in self.call_versions and call in self.store.calls:
            self.call_versions[call] = self.store.calls[call]  # committed, but the answer was lost
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
        """Queues a call's entries. Raises EntryError for a change that cannot be distributed."""
        self.check(entries, self.accepted_entry, self.store.catalogue)
        self.queue.append(QueuedCall(call, entries))
        self.pending_entries |= {entry.key: entry for entry in entries}
        self.call_versions[call] = NOT_PROPOSED
        while len(self.call_versions) > REMEMBERED_CALLS_FACTOR * self.bounds.max_calls:
            del self.call_versions[next(iter(self.call_versions))]

    def accepted_entry(self, key: Key) -> Entry | None:
        """Returns the entry that `key` will have once all accepted calls are committed."""
        if key in self.pending_entries:
            return self.pending_entries[key] if self.pending_entries[key].on else None
        return self.store.catalogue.get(key)

    def advance(self, now: int) -> None:
        """Proposes the next change to the stores, or its head once a majority of voters has the change."""
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
            if self.register.head() == (change.version, change.digest_after):  # with a single voter: at once
                self.commit(now)

    def is_at_majority(self, change: Change) -> bool:
        """Returns whether the change is pending at a majority of the voters, including this process."""
        wanted = change.version, self.term
        names = {
            follower.name
            for follower in self.followers.values()
            if (follower.pending_version, follower.term) == wanted
        }
        return len((names | {self.name}) & self.voters.keys()) > len(self.voters) // 2

    def propose(self, now: int) -> None:
        """Combines all queued calls into one change and sends it to the stores."""
        queued, self.queue = self.queue, []
        calls = [queued_call.call for queued_call in queued]
        entries = [entry for queued_call in queued for entry in queued_call.entries]
        change = self.store.catalogue.make_change(entries, calls)
        # Calls that change nothing are in force with the committed version.
        self.set_version(calls, change.version if change is not None else self.store.version)
        self.last_change_at, self.in_progress, self.head_proposed = now, change, False
        if change is None:
            self.pending_entries = {}
            return
        self.store.propose(self.term, change)
        self.host.on_proposal()
        self.send_to_all(Proposal(self.term, change))

    def set_version(self, calls: list[Call], version: int) -> None:
        """Records the version that carries out these calls."""
        for call in calls:
            self.call_versions[call] = version
        self.waiting = [
            waiting._replace(version=version) if waiting.call in calls else waiting
            for waiting in self.waiting
        ]

    def commit(self, now: int) -> None:
        """Commits the change in progress, as the register has committed its head."""
        version, digest = self.register.head()
        entries = self.store.commit(version, digest)
        if entries is None:
            return
        self.in_progress = None
        self.pending_entries = {
            entry.key: entry for queued_call in self.queue for entry in queued_call.entries
        }
        self.send_to_all(CommitNotice(self.term, version, digest))
        self.host.on_commit(entries)

    def send_to_all(self, message: Message) -> None:
        """Sends a message to all followers, encoded once."""
        encoded = EncodedMessage(message)
        for session in self.followers:
            self.host.send(session, encoded)

    # Answers to calls.

    def answer_calls(self, now: int) -> None:
        """Answers the calls whose change is in force and those that have timed out."""
        if not self.waiting or not self.leads(now):
            return
        by_version: dict[int, dict[str, int]] = {}  # computed once for the calls that wait for one version
        outcomes = [(call, text) for call in self.waiting if (text := self.outcome_of(now, call, by_version))]
        answered = {waiting.call for waiting, _ in outcomes}
        self.waiting = [waiting for waiting in self.waiting if waiting.call not in answered]
        for waiting, text in outcomes:
            self.reply(waiting.session, waiting.call[1], text)

    def confirmers_of_older(self, now: int, version: int) -> dict[str, int]:
        """Returns the relays by whose confirmations nodes may act on an older version, and for how long.

        The durations are in tenths of a millisecond. Ages of views add up from the leader to the node, so no
        node acts on a confirmation by the leader for longer than `max_view_lifetime`.
        """
        confirmers = {}
        self.lost_followers = [
            lost for lost in self.lost_followers if lost.views.oldest_version(now) is not None
        ]
        for follower in [*self.followers.values(), *self.lost_followers]:
            oldest = follower.views.oldest_version(now)
            if oldest is not None and oldest < version:
                confirmers[follower.name] = follower.views.last_expiry() - now
        remaining = self.term_began_at + self.bounds.max_view_lifetime() - now
        if remaining > 0:  # relays may hold confirmations of the previous leader that are unknown here
            confirmers["the author before"] = remaining
        return confirmers

    def outcome_of(self, now: int, call: WaitingCall, by_version: dict[int, dict[str, int]]) -> str:
        """Returns the answer to a call; "" if it has to wait.

        `by_version` caches the results of `confirmers_of_older`.
        """
        version, has_timed_out = call.version, now >= call.deadline
        if 0 <= version <= self.store.version:
            if version not in by_version:
                by_version[version] = self.confirmers_of_older(now, version)
            confirmers = by_version[version]
            if not confirmers:
                return self.in_force_text(version)
            return self.not_in_force_text(version, confirmers) if has_timed_out else ""
        if not has_timed_out:
            return ""
        if version < 0:
            return "FAILURE not proposed yet, not known whether it will be kept"
        return f"FAILURE version {version} proposed, not known whether it is kept"

    def in_force_text(self, version: int) -> str:
        """Returns the answer for a version on which all nodes act; without `strict`, all connected nodes."""
        followers = self.followers.values()
        nodes, inactive_nodes = (
            sum(follower.nodes for follower in followers),
            sum(follower.inactive_nodes for follower in followers),
        )
        where = f"{nodes} nodes in touch by {len(followers)} relays"
        if not self.bounds.strict:
            return f"SUCCESS version {version} in force at {where}; others serve on by older ones"
        return f"SUCCESS version {version} in force at {where}, {inactive_nodes} shut out"

    @staticmethod
    def not_in_force_text(version: int, confirmers: dict[str, int]) -> str:
        """Returns the answer that names the relays whose nodes may act on an older version, and how long."""
        by = " ".join(sorted(confirmers)[:MAX_NAMED_RELAYS])
        remaining = f"for {max(confirmers.values()) / SECOND:.1f} s more"
        return f"FAILURE version {version} kept, nodes by {by} may act on {version - 1} {remaining}"

    def reply(self, session: int, call_id: int, text: str) -> None:
        """Sends an answer to the follower that forwarded the call."""
        self.host.send(session, OperatorReply(call_id, text))

    def status(self) -> str:
        """Returns the state of the catalogue and of each relay as text for operators."""
        followers = sorted(self.followers.values(), key=lambda follower: follower.name)
        rows = [
            f"{follower.name} {follower.version} {follower.nodes} nodes {follower.inactive_nodes} out"
            for follower in followers
        ]
        head, catalogue = f"author {self.name} ballot {self.term}", self.store.catalogue
        size = f"{len(catalogue.entries)} entries {len(catalogue.tenants)} tenants"
        return f"{head} version {self.store.version} {size}: {', '.join(rows)}"
