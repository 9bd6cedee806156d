"""A node's replica of the verdicts: follower, candidate or leader; some are voters. See docs/fleet.md.

Inputs are messages (`on_message`), a timer (`on_tick`) and operators' calls (`on_call`); effects go through
the host. Times are whole tenths of a millisecond of this node's own clock. Times of another node's clock are
only returned to that node.
"""

from enum import Enum, auto

from basalthoist.decisions.random_numbers import Lcg

from .bounds import DISTANT_PAST, Bounds
from .election import Election, VoterState, owns_term
from .host import ReplicaHost
from .leader import Leader
from .lease import Voter, own_voter
from .operator_calls import CallsInProgress, LocalCalls
from .quota_leases import QuotaLeaseHolder
from .replication import UNITS_PER_SECOND, Replication
from .verdicts import SnapshotFetch, Verdict, VerdictSet
from .wire import (
    Heartbeat,
    HeartbeatReply,
    Message,
    OperatorCall,
    OperatorReply,
    SetChunk,
    SetDelta,
    SetRequest,
    Vote,
    VoteRefused,
    VoteReleased,
    VoteRequest,
)

NOT_STORED = -1  # stands for the version in a reply: nothing of this term is stored
ANSWERS_NO_HEARTBEAT = DISTANT_PAST  # stands for a heartbeat's time in a reply that answers none


class Role(Enum):
    """The role of a replica in the current term."""

    FOLLOWER = auto()
    CANDIDATE = auto()
    LEADER = auto()


FOLLOWER, CANDIDATE, LEADER = Role


class Replica:
    """Passes each event, by role and term, to the election, the leader or the replicated sets."""

    def __init__(
        self,
        host: ReplicaHost,
        me: str,
        nodes: list[str],
        voters: list[str],
        bounds: Bounds,
        random: Lcg,
        now: int,
        hint: VerdictSet | None = None,
        holder: QuotaLeaseHolder | None = None,
    ) -> None:
        self.host: ReplicaHost = host
        self.me: str = me
        self.voters: list[str] = voters
        self.bounds: Bounds = bounds
        self.random: Lcg = random
        self.voter: Voter | None = Voter(bounds, now) if me in voters else None
        self.term: int = 0  # the term of the latest leader that this node knows
        self.leader_name: str = ""  # empty where no leader is known
        self.leader_heard_at: int = now
        self.role: Role = FOLLOWER
        self.election_timeout: int = self.draw_election_timeout()
        # When this node sent the latest reply that the leader has confirmed.
        self.view_confirmed_at: int = DISTANT_PAST
        self.holder: QuotaLeaseHolder | None = holder
        self.election: Election = Election(bounds, me, voters, now)
        self.sets: Replication = Replication(host, holder, hint)
        self.calls: LocalCalls = LocalCalls(host, bounds)
        in_progress = CallsInProgress(host, me, self.calls, bounds.max_verdicts)
        self.leader: Leader = Leader(
            host, me, nodes, voters, bounds, self.voter, self.sets, holder, in_progress
        )
        if hint is not None and not bounds.strict:
            self.sets.apply_hint(now, hint)

    # The view.

    def view_age(self, now: int) -> int:
        """Returns the maximum age of the applied set: the set was current at some time within this period."""
        return now - self.view_confirmed_at

    def is_fresh(self, now: int) -> bool:
        """Returns whether the view is recent enough to count as in touch with the leader."""
        return self.view_age(now) <= self.bounds.fresh

    def is_stale(self, now: int) -> bool:
        """Returns whether the view is too old to act on in a strict fleet."""
        return self.view_age(now) > self.bounds.stale

    def may_forward_requests(self, now: int) -> bool:
        """Returns whether this node may forward requests: in a strict fleet, not with a stale view."""
        return not (self.bounds.strict and self.is_stale(now))

    def leads(self, now: int) -> bool:
        """Returns whether this node is the leader and its lease runs."""
        return self.role is LEADER and self.election.promises.has_quorum(now)

    # Time.

    def on_tick(self, now: int) -> None:
        """Performs the work of the current role, requests missing chunks and sends operators' calls again."""
        if self.role is LEADER:
            self.lead(now)
        elif self.role is CANDIDATE:
            self.campaign(now)
        elif self.is_election_due(now):
            self.start_election(now)
        fetch = self.sets.fetch
        if fetch is not None and now - fetch.requested_at > self.bounds.heartbeat_interval:
            self.sets.request_missing(now, fetch)
        for call_id in list(self.calls.calls):
            self.forward_call(now, call_id)

    def is_election_due(self, now: int) -> bool:
        """Returns whether this voter has not heard from a leader within the election timeout."""
        if self.voter is None or not self.voter.may_vote(now):
            return False
        return now - self.leader_heard_at > self.election_timeout

    def draw_election_timeout(self) -> int:
        """Returns a random timeout. Guards against voters that repeatedly stand at the same time."""
        return int(self.bounds.lease * (0.7 + 0.8 * self.random.uniform()))

    # The candidate.

    def start_election(self, now: int) -> None:
        """Becomes a candidate."""
        voter = own_voter(self.voter)
        above = max(self.term, voter.promised_term, self.sets.stored.term)
        self.election.start(now, above)
        self.role = CANDIDATE
        self.leader_name = ""
        self.sets.fetch = None
        if voter.promise(now, self.election.term):
            self.campaign(now)
        else:
            self.withdraw(now, 0)

    def campaign(self, now: int) -> None:
        """Sends vote requests if due and counts the votes, or withdraws when the candidacy has expired."""
        if self.election.expired(now):
            return self.withdraw(now, 0)
        if self.election.due(now):
            self.election.requested_at = now
            if not own_voter(self.voter).promise(now, self.election.term):
                return self.withdraw(now, 0)
            self.election.promises.add(self.me, now)
            self.send_to_voters(VoteRequest(self.election.term, now))
        self.count_votes(now)

    def send_to_voters(self, message: Message) -> None:
        """Sends a message to each other voter."""
        for name in self.voters:
            if name != self.me:
                self.host.send(name, message)

    def withdraw(self, now: int, remaining: int) -> None:
        """Ends the candidacy and releases the voters' promises, so that another candidate need not wait.

        `remaining` is how long a voter's promise to another candidate still runs, as far as known.
        """
        self.send_to_voters(VoteReleased(self.election.term))
        own_voter(self.voter).release(self.election.term)
        self.role = FOLLOWER
        self.leader_name = ""
        self.sets.fetch = None
        self.election.fetched = None
        self.leader_heard_at = now
        self.election_timeout = remaining + self.draw_election_timeout() // 2

    def count_votes(self, now: int) -> None:
        """Becomes the leader if the votes suffice and the latest set is here; otherwise fetches the set."""
        stored = self.sets.stored
        own = VoterState(stored.term, stored.version, stored.digest, own_voter(self.voter).intact)
        best = self.election.best(now, own)
        if best is None:
            return
        source, state = best
        if state.term >= self.election.term:
            return self.withdraw(now, 0)  # A voter's file had a set of a higher term.
        for verdicts in (stored, self.election.fetched):
            if verdicts is not None and verdicts.digest == state.digest:
                return self.become_leader(now, verdicts)
        if not self.sets.is_fetching(state.digest):
            fetch = self.sets.fetch = SnapshotFetch(state.version, state.digest, source)
            self.sets.request_missing(now, fetch)

    # The leader.

    def become_leader(self, now: int, verdicts: VerdictSet) -> None:
        """Becomes the leader, with the set that the votes have shown to be the latest."""
        self.role = LEADER
        self.leader_name = self.me
        self.term = self.election.term
        self.sets.fetch = None
        self.election.fetched = None
        self.leader.start(now, self.term, self.election.promises, verdicts)
        self.host.log(f"author by ballot {self.term}, {self.quorum_text(now)}, version {verdicts.version}")
        self.lead(now)

    def lead(self, now: int) -> None:
        """Performs the leader's periodic work, or steps down when the lease has expired."""
        if not self.leader.renew(now):
            # Guards against two leaders after this one was suspended or partitioned.
            self.host.log(f"author no more: {self.quorum_text(now)}")
            return self.step_down(now)
        self.leader.advance(now)
        if self.leader.committed >= 0:
            self.view_confirmed_at = now
            self.leader.remove_expired(now)
        self.answer_calls(now)

    def quorum_text(self, now: int) -> str:
        """Returns the number of voters whose promise runs, for the log and for operators."""
        return f"{len(self.election.promises.running(now))} of {len(self.voters)} voters"

    def step_down(self, now: int) -> None:
        """Ends the candidacy or the leadership and becomes a follower."""
        self.role = FOLLOWER
        self.leader_name = ""
        self.leader.stop()
        self.leader_heard_at = now
        self.election_timeout = self.draw_election_timeout()

    # Operators.

    def on_call(self, now: int, call_id: int, changes: list[Verdict]) -> None:
        """Processes an operator's call. The host's `answer_call` receives the outcome.

        The outcome comes within `Bounds.call_timeout` plus four heartbeat intervals.
        """
        self.calls.add(now, call_id, changes)
        self.forward_call(now, call_id)

    def forward_call(self, now: int, call_id: int) -> None:
        """Sends a call of this node's operator to the leader if due, or answers it when it is overdue."""
        if self.calls.is_overdue(now, call_id):
            was_forwarded = self.calls.calls[call_id].was_forwarded
            return self.calls.complete(call_id, self.no_leader_text(now, was_forwarded))
        if not self.calls.is_due(now, call_id):
            return
        if self.leads(now):
            self.take_call(now, self.me, self.calls.message(now, call_id))
        elif self.leader_name and self.leader_name != self.me:
            self.host.send(self.leader_name, self.calls.message(now, call_id))

    def no_leader_text(self, now: int, was_forwarded: bool) -> str:
        """Returns the answer to a call that no leader has answered in time."""
        reach = f": {self.quorum_text(now)} in reach" if self.voter is not None else ""
        known = "; not known whether the change is kept" if was_forwarded else ""
        return f"FAILURE no author{reach}{known}"

    def take_call(self, now: int, name: str, call: OperatorCall) -> None:
        """Processes a call at the leader. A call without changes requests the status."""
        in_progress = self.leader.calls
        if not call.changes:
            return in_progress.answer(name, call.call_id, f"SUCCESS {self.status(now)}")
        # An open proposal may be lost with this leader, so the answer also waits for its commit.
        is_proposing = self.leader.committed != self.sets.stored.version
        if in_progress.accept(now, name, call, self.leader):
            if not is_proposing:
                self.leader.commit(now)
            self.answer_calls(now)

    def answer_calls(self, now: int) -> None:
        """Answers the calls that have succeeded or failed, as long as the lease runs."""
        if self.leader.calls.waiting and self.election.promises.has_quorum(now):
            self.leader.calls.answer_ended(now, self.leader)

    def status(self, now: int) -> str:
        """Returns the fleet's status as this node knows it, for operators."""
        applied = self.sets.applied
        head = f"author {self.leader_name or 'none'} ballot {self.term} version {applied.version}"
        head += f" {len(applied.verdicts)} verdicts"
        if self.role is not LEADER:
            return f"{head}, {self.me} {self.view_text(now)}"
        return f"{head}: {self.leader.status(now)}"

    def view_text(self, now: int) -> str:
        """Returns how recent the view is, for operators."""
        if self.view_confirmed_at == DISTANT_PAST:
            return "never confirmed"
        state = "in touch" if self.is_fresh(now) else "stale" if self.is_stale(now) else "out of touch"
        return f"{state}, confirmed {self.view_age(now) / UNITS_PER_SECOND:.1f} s ago"

    # Messages.

    def on_message(self, now: int, name: str, message: Message) -> None:
        """Processes a message from a peer's current incarnation."""
        match message:
            case Heartbeat():
                self.on_heartbeat(now, name, message)
            case HeartbeatReply():
                self.on_heartbeat_reply(now, name, message)
            case VoteRequest() | Vote() | VoteRefused() | VoteReleased():
                self.on_election_message(now, name, message)
            case SetRequest():
                self.sets.on_request(name, message)
            case SetDelta():
                self.on_delta(now, message)
            case SetChunk():
                self.on_chunk(now, message)
            case OperatorCall() if self.leads(now):
                self.take_call(now, name, message)
            case OperatorReply():
                self.calls.complete(message.call_id, message.text)

    def on_election_message(
        self, now: int, name: str, message: VoteRequest | Vote | VoteRefused | VoteReleased
    ) -> None:
        """Processes a message between voters."""
        match message:
            case VoteRequest():
                self.on_vote_request(now, name, message)
            case Vote():
                self.on_vote(now, name, message)
            case VoteRefused():
                self.on_vote_refused(now, message)
            case VoteReleased():
                if self.voter is not None and owns_term(message.term, name, self.voters):
                    self.voter.release(message.term)

    def on_incarnation(self, name: str) -> None:
        """Drops the state of a peer's previous incarnation."""
        self.leader.on_incarnation(name)
        self.election.votes.pop(name, None)

    def on_vote_request(self, now: int, name: str, request: VoteRequest) -> None:
        """Grants or refuses a candidate's vote request."""
        if self.voter is None or not owns_term(request.term, name, self.voters):
            return
        if self.role is LEADER and not self.election.promises.has_quorum(now):
            self.step_down(now)
        self.election.notice_term(request.term)
        if self.role is not LEADER and self.voter.promise(now, request.term):
            self.grant_vote(now, name, request, self.voter)
        elif self.voter.may_vote(now):
            remaining = max(self.voter.promised_until - now, 0)
            self.host.send(name, VoteRefused(self.voter.minimum_term(now), remaining))

    def grant_vote(self, now: int, name: str, request: VoteRequest, voter: Voter) -> None:
        """Sends the vote to a candidate that has this voter's promise."""
        if self.role is CANDIDATE:
            self.role, self.sets.fetch = FOLLOWER, None
        self.leader_heard_at = now  # Restarts the election timeout, as the candidate may win.
        stored, intact = self.sets.stored, voter.intact
        vote = Vote(request.term, request.sent_at, stored.term, stored.version, stored.digest, intact)
        self.host.send(name, vote)

    def on_vote(self, now: int, name: str, vote: Vote) -> None:
        """Counts a vote for this candidate."""
        if self.role is CANDIDATE and vote.term == self.election.term and name in self.voters:
            state = VoterState(vote.stored_term, vote.version, vote.digest, vote.intact)
            self.election.on_vote(name, vote.requested_at, state)
            self.count_votes(now)

    def on_vote_refused(self, now: int, refusal: VoteRefused) -> None:
        """Withdraws if the voter requires a higher term or its promise to another candidate still runs."""
        self.election.notice_term(refusal.term)
        if self.role is CANDIDATE and (refusal.term > self.election.term or refusal.remaining):
            self.withdraw(now, refusal.remaining)

    def on_heartbeat(self, now: int, name: str, heartbeat: Heartbeat) -> None:
        """Processes a leader's heartbeat: proposal, commit, confirmation of the view, and grants."""
        if not self.accept_leader(now, name, heartbeat):
            return
        self.follow(now, name, heartbeat)
        self.take_proposal(now, name, heartbeat)
        self.check_intact(heartbeat)
        if heartbeat.confirmed:
            self.view_confirmed_at = max(self.view_confirmed_at, heartbeat.echo)
        if self.holder is not None:
            self.holder.on_grants(now, heartbeat.grants, heartbeat.echo)
        self.send_reply(now, heartbeat.sent_at)

    def accept_leader(self, now: int, name: str, heartbeat: Heartbeat) -> bool:
        """Returns whether the sender is the leader of the latest known term, and this voter can accept it."""
        if not owns_term(heartbeat.term, name, self.voters) or heartbeat.term < self.term:
            return False
        return self.voter is None or self.voter.accept_leader(now, heartbeat.term)

    def follow(self, now: int, name: str, heartbeat: Heartbeat) -> None:
        """Follows the leader `name` from now on."""
        if self.role is not FOLLOWER:
            self.step_down(now)
        self.term = heartbeat.term
        self.leader_heard_at = now
        if self.leader_name != name:
            self.leader_name, self.sets.fetch = name, None
            self.host.log(f"follows {name}, ballot {heartbeat.term}, version {heartbeat.version}")

    def take_proposal(self, now: int, name: str, heartbeat: Heartbeat) -> None:
        """Stores or fetches the set that the leader has proposed, and applies it if it is committed."""
        is_later = self.sets.stored.order() < (heartbeat.term, heartbeat.version)
        if self.sets.stored.digest == heartbeat.digest:
            if is_later:
                self.sets.store(now, self.sets.stored.in_term(heartbeat.term))
        elif is_later and not self.sets.is_fetching(heartbeat.digest):
            self.sets.fetch = SnapshotFetch(heartbeat.version, heartbeat.digest, name)
        stored = self.sets.stored
        if stored.term == heartbeat.term and stored.version == heartbeat.committed:
            self.sets.apply(now, stored)

    def check_intact(self, heartbeat: Heartbeat) -> None:
        """Marks this voter as intact once it has stored a proposal made after the silence at its start."""
        if self.voter is None or self.voter.intact:
            return
        stored = self.sets.stored
        if stored.term == heartbeat.term and stored.digest == heartbeat.digest:
            # The leader had its lease when it confirmed a reply that this voter sent after the silence.
            self.voter.intact = heartbeat.echo >= self.voter.silent_until

    def send_reply(self, now: int, heartbeat_sent_at: int) -> None:
        """Answers the leader's heartbeat, or reports that a fetched set is stored."""
        stored = self.sets.stored
        reply = HeartbeatReply(
            self.term,
            heartbeat_sent_at,
            stored.version if stored.term == self.term else NOT_STORED,
            self.sets.applied.version,
            now,
            self.voter is not None and self.voter.may_vote(now),
            self.voter is not None and self.voter.intact,
            self.host.detected_outliers() if self.bounds.outlier_quorum else [],
        )
        if self.holder is not None:
            reply.demand, reply.returns_grants, reply.lends = self.holder.report(now)
        self.host.send(self.leader_name, reply)

    def on_heartbeat_reply(self, now: int, name: str, reply: HeartbeatReply) -> None:
        """Processes a peer's reply to a heartbeat, and commits if a quorum has stored the proposal."""
        if self.role is LEADER and self.leader.on_heartbeat_reply(now, name, reply):
            self.leader.commit(now)
            self.answer_calls(now)

    def on_delta(self, now: int, delta: SetDelta) -> None:
        """Processes a delta if it was requested or is the leader's latest proposal."""
        is_proposal = delta.term == self.term and self.leader_name not in ("", self.me)
        if self.sets.is_fetching(delta.digest) or is_proposal:
            verdicts = self.sets.on_delta(delta)
            if verdicts is not None:
                self.on_fetched(now, verdicts)

    def on_chunk(self, now: int, chunk: SetChunk) -> None:
        """Processes a chunk of a requested snapshot."""
        verdicts = self.sets.on_chunk(now, chunk)
        if verdicts is not None:
            self.on_fetched(now, verdicts)

    def on_fetched(self, now: int, verdicts: VerdictSet) -> None:
        """Stores a set from a delta or a snapshot, if the current role and term still allow that."""
        self.sets.fetch = None
        if self.role is CANDIDATE:
            self.election.fetched = verdicts
            return self.count_votes(now)
        # Guards against a delayed older set, after this voter has acknowledged a later one.
        is_later = self.sets.stored.order() < (self.term, verdicts.version)
        # Guards against storing more from a leader after this voter's vote for another reported its set.
        minimum_term = self.voter.minimum_term(now) if self.voter is not None else 0
        if self.role is FOLLOWER and self.leader_name and self.term >= minimum_term and is_later:
            self.sets.store(now, verdicts.in_term(self.term))
            self.send_reply(now, ANSWERS_NO_HEARTBEAT)
