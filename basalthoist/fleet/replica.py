"""One node's part in the fleet: it votes, stands for leader, leads or follows. See docs/fleet.md.

`on_message` takes each message, `on_tick` one timer, `on_call` operators; effects go through the host. Times
are whole tenths of a millisecond of this node's own clock; other nodes' times only come back to them.
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

NOT_STORED = -1  # in place of a version in a heartbeat's reply
ANSWERS_NO_HEARTBEAT = DISTANT_PAST  # in place of a heartbeat's time in a reply


class Role(Enum):
    """What a replica does at present."""

    FOLLOWER = auto()
    CANDIDATE = auto()
    LEADER = auto()


FOLLOWER, CANDIDATE, LEADER = Role


class Replica:
    """Decides by role and term what comes to the election, the leader's work and the replicated sets."""

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
        self.term: int = 0  # the latest leader's, as far as is known
        self.leader_name: str = ""  # empty where no leader is known
        self.leader_heard_at: int = now
        self.role: Role = FOLLOWER
        self.election_timeout: int = self.draw_election_timeout()
        self.view_confirmed_at: int = DISTANT_PAST  # this node's send of the reply that was confirmed last
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
        """What this node applies was current at some moment within this time."""
        return now - self.view_confirmed_at

    def is_fresh(self, now: int) -> bool:
        """Whether the view is recent."""
        return self.view_age(now) <= self.bounds.fresh

    def is_stale(self, now: int) -> bool:
        """Whether the view is too old to act on in a strict fleet."""
        return self.view_age(now) > self.bounds.stale

    def may_forward_requests(self, now: int) -> bool:
        """Whether this node may forward requests."""
        return not (self.bounds.strict and self.is_stale(now))

    def leads(self, now: int) -> bool:
        """Whether this node holds the lease."""
        return self.role is LEADER and self.election.promises.has_quorum(now)

    # Time.

    def on_tick(self, now: int) -> None:
        """Does what is due."""
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
        """Whether this voter has heard of no leader for too long."""
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
        """The candidate's turn."""
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
        """Gives the term up for good, so that nobody needs to wait for it.

        `remaining`: for how long a promise to somebody else is known to run.
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
        """Leads once the votes suffice and the latest set is here; otherwise fetches it."""
        stored = self.sets.stored
        own = VoterState(stored.term, stored.version, stored.digest, own_voter(self.voter).intact)
        best = self.election.best(now, own)
        if best is None:
            return
        source, state = best
        if state.term >= self.election.term:
            return self.withdraw(now, 0)  # a file knew of a higher one
        for verdicts in (stored, self.election.fetched):
            if verdicts is not None and verdicts.digest == state.digest:
                return self.become_leader(now, verdicts)
        if not self.sets.is_fetching(state.digest):
            fetch = self.sets.fetch = SnapshotFetch(state.version, state.digest, source)
            self.sets.request_missing(now, fetch)

    # The leader.

    def become_leader(self, now: int, verdicts: VerdictSet) -> None:
        """Leads with the set that the votes have shown to be the latest."""
        self.role = LEADER
        self.leader_name = self.me
        self.term = self.election.term
        self.sets.fetch = None
        self.election.fetched = None
        self.leader.start(now, self.term, self.election.promises, verdicts)
        self.host.log(f"author by ballot {self.term}, {self.quorum_text(now)}, version {verdicts.version}")
        self.lead(now)

    def lead(self, now: int) -> None:
        """The leader's turn."""
        if not self.leader.renew(now):
            # Guards against one that stood still, or was cut off: somebody else may lead by now.
            self.host.log(f"author no more: {self.quorum_text(now)}")
            return self.step_down(now)
        self.leader.advance(now)
        if self.leader.committed >= 0:
            self.view_confirmed_at = now
            self.leader.remove_expired(now)
        self.answer_calls(now)

    def quorum_text(self, now: int) -> str:
        """How many voters' promises run, for the log."""
        return f"{len(self.election.promises.running(now))} of {len(self.voters)} voters"

    def step_down(self, now: int) -> None:
        """Gives up candidacy or lease and follows."""
        self.role = FOLLOWER
        self.leader_name = ""
        self.leader.stop()
        self.leader_heard_at = now
        self.election_timeout = self.draw_election_timeout()

    # Operators.

    def on_call(self, now: int, call_id: int, changes: list[Verdict]) -> None:
        """Takes an operator's call. The host's `answer_call` gets the outcome.

        It comes within `Bounds.call_timeout` and four heartbeats.
        """
        self.calls.add(now, call_id, changes)
        self.forward_call(now, call_id)

    def forward_call(self, now: int, call_id: int) -> None:
        """Passes a call of this node's operator to the leader, or gives it up."""
        if self.calls.is_overdue(now, call_id):
            was_forwarded = self.calls.calls[call_id].was_forwarded
            return self.calls.settle(call_id, self.no_leader_text(now, was_forwarded))
        if not self.calls.is_due(now, call_id):
            return
        if self.leads(now):
            self.take_call(now, self.me, self.calls.message(now, call_id))
        elif self.leader_name and self.leader_name != self.me:
            self.host.send(self.leader_name, self.calls.message(now, call_id))

    def no_leader_text(self, now: int, was_forwarded: bool) -> str:
        """The answer to a call that no leader has answered in time."""
        reach = f": {self.quorum_text(now)} in reach" if self.voter is not None else ""
        known = "; not known whether the change is kept" if was_forwarded else ""
        return f"FAILURE no author{reach}{known}"

    def take_call(self, now: int, name: str, call: OperatorCall) -> None:
        """A call at the leader. One without changes asks for the status."""
        in_progress = self.leader.calls
        if not call.changes:
            return in_progress.answer(name, call.call_id, f"SUCCESS {self.status(now)}")
        # What is in progress may yet be lost with this leader: the answer waits for all that it builds on.
        is_proposing = self.leader.committed != self.sets.stored.version
        if in_progress.take(now, name, call, self.leader):
            if not is_proposing:
                self.leader.commit(now)
            self.answer_calls(now)

    def answer_calls(self, now: int) -> None:
        """Answers the operators whose call has come to an end, while the lease runs."""
        if self.leader.calls.waiting and self.election.promises.has_quorum(now):
            self.leader.calls.answer_ended(now, self.leader)

    def status(self, now: int) -> str:
        """How things stand, for operators."""
        applied = self.sets.applied
        head = f"author {self.leader_name or 'none'} ballot {self.term} version {applied.version}"
        head += f" {len(applied.verdicts)} verdicts"
        if self.role is not LEADER:
            return f"{head}, {self.me} {self.view_text(now)}"
        return f"{head}: {self.leader.status(now)}"

    def view_text(self, now: int) -> str:
        """How recent the view is, for operators."""
        if self.view_confirmed_at == DISTANT_PAST:
            return "never confirmed"
        state = "in touch" if self.is_fresh(now) else "stale" if self.is_stale(now) else "out of touch"
        return f"{state}, confirmed {self.view_age(now) / UNITS_PER_SECOND:.1f} s ago"

    # Messages.

    def on_message(self, now: int, name: str, message: Message) -> None:
        """Takes a message of a peer's present incarnation."""
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
                self.calls.settle(message.call_id, message.text)

    def on_election_message(
        self, now: int, name: str, message: VoteRequest | Vote | VoteRefused | VoteReleased
    ) -> None:
        """Takes a message between voters."""
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
        """A peer has a new incarnation: what was known of the one before is void."""
        self.leader.on_incarnation(name)
        self.election.votes.pop(name, None)

    def on_vote_request(self, now: int, name: str, request: VoteRequest) -> None:
        """A candidate asks for a vote."""
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
        """Answers a candidate that has this voter's promise."""
        if self.role is CANDIDATE:
            self.role, self.sets.fetch = FOLLOWER, None
        self.leader_heard_at = now  # somebody stands for leader
        stored, intact = self.sets.stored, voter.intact
        vote = Vote(request.term, request.sent_at, stored.term, stored.version, stored.digest, intact)
        self.host.send(name, vote)

    def on_vote(self, now: int, name: str, vote: Vote) -> None:
        """A voter answers this candidate."""
        if self.role is CANDIDATE and vote.term == self.election.term and name in self.voters:
            state = VoterState(vote.stored_term, vote.version, vote.digest, vote.intact)
            self.election.on_vote(name, vote.requested_at, state)
            self.count_votes(now)

    def on_vote_refused(self, now: int, refusal: VoteRefused) -> None:
        """Another promise runs there, or one was given to a higher term: there is no use in going on."""
        self.election.notice_term(refusal.term)
        if self.role is CANDIDATE and (refusal.term > self.election.term or refusal.remaining):
            self.withdraw(now, refusal.remaining)

    def on_heartbeat(self, now: int, name: str, heartbeat: Heartbeat) -> None:
        """A leader's heartbeat."""
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
        """Whether it is no earlier leader, nor one that this voter may no longer help."""
        if not owns_term(heartbeat.term, name, self.voters) or heartbeat.term < self.term:
            return False
        return self.voter is None or self.voter.accept_leader(now, heartbeat.term)

    def follow(self, now: int, name: str, heartbeat: Heartbeat) -> None:
        """Goes by that leader from now on."""
        if self.role is not FOLLOWER:
            self.step_down(now)
        self.term = heartbeat.term
        self.leader_heard_at = now
        if self.leader_name != name:
            self.leader_name, self.sets.fetch = name, None
            self.host.log(f"follows {name}, ballot {heartbeat.term}, version {heartbeat.version}")

    def take_proposal(self, now: int, name: str, heartbeat: Heartbeat) -> None:
        """Stores or fetches what the leader has proposed, and applies what it has committed."""
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
        """This voter is intact once it has stored what a leader proposes after the voter's silence."""
        if self.voter is None or self.voter.intact:
            return
        stored = self.sets.stored
        if stored.term == heartbeat.term and stored.digest == heartbeat.digest:
            # The leader held its lease when it confirmed a reply sent after the silence.
            self.voter.intact = heartbeat.echo >= self.voter.silent_until

    def send_reply(self, now: int, heartbeat_sent_at: int) -> None:
        """Answers the leader's heartbeat, or reports that a fetched set is here."""
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
        """A peer's answer to a heartbeat."""
        if self.role is LEADER and self.leader.on_heartbeat_reply(now, name, reply):
            self.leader.commit(now)
            self.answer_calls(now)

    def on_delta(self, now: int, delta: SetDelta) -> None:
        """A delta that was asked for, or the leader's latest proposal."""
        is_proposal = delta.term == self.term and self.leader_name not in ("", self.me)
        if self.sets.is_fetching(delta.digest) or is_proposal:
            verdicts = self.sets.on_delta(delta)
            if verdicts is not None:
                self.on_fetched(now, verdicts)

    def on_chunk(self, now: int, chunk: SetChunk) -> None:
        """A chunk of a snapshot that was asked for."""
        verdicts = self.sets.on_chunk(now, chunk)
        if verdicts is not None:
            self.on_fetched(now, verdicts)

    def on_fetched(self, now: int, verdicts: VerdictSet) -> None:
        """Stores a set that a delta or a snapshot has made, where that is still allowed."""
        self.sets.fetch = None
        if self.role is CANDIDATE:
            self.election.fetched = verdicts
            return self.count_votes(now)
        # Guards against an older one that was long under way, after this voter has said that it holds more.
        is_later = self.sets.stored.order() < (self.term, verdicts.version)
        # Guards against taking more from a leader after a vote for another said what is stored here.
        minimum_term = self.voter.minimum_term(now) if self.voter is not None else 0
        if self.role is FOLLOWER and self.leader_name and self.term >= minimum_term and is_later:
            self.sets.store(now, verdicts.in_term(self.term))
            self.send_reply(now, ANSWERS_NO_HEARTBEAT)
