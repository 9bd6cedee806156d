"""The verdict sets that one replica stores and applies, and how the replica fetches missing versions."""

from .host import ReplicaHost
from .quota_leases import QuotaLeaseHolder, rates_of
from .verdicts import ENCODE, Changelog, SnapshotFetch, Verdict, VerdictSet
from .wire import SetChunk, SetDelta, SetRequest

SECOND = 10_000
MAX_DELTA_BYTES = 1100  # encoded changes; with the envelope they fit in one datagram
MAX_CHUNKS_PER_ANSWER = 16
CHUNKS_PER_REQUEST = 8  # chunks received before the next ones are requested


class Replication:
    """The stored and the applied set, the changelog between versions, and the fetch in progress."""

    def __init__(self, host: ReplicaHost, holder: QuotaLeaseHolder | None, hint: VerdictSet | None) -> None:
        self.host: ReplicaHost = host
        self.holder: QuotaLeaseHolder | None = holder
        self.stored: VerdictSet = hint or VerdictSet(0, 0, {})  # a hint until a leader's heartbeat
        self.applied: VerdictSet = VerdictSet(0, 0, {})
        self.changelog: Changelog = Changelog()
        self.fetch: SnapshotFetch | None = None
        self.first_stored_at: dict[Verdict, int] = {}
        self.applies_hint: bool = False

    def store(self, now: int, verdicts: VerdictSet) -> None:
        """Stores a proposal, and records when this replica first stored each of its verdicts."""
        is_new = verdicts.digest != self.stored.digest
        self.stored = verdicts
        if is_new:
            self.host.store(verdicts)
        before = self.first_stored_at
        self.first_stored_at = {verdict: before.get(verdict, now) for verdict in verdicts.verdicts.values()}

    def apply(self, now: int, verdicts: VerdictSet) -> None:
        """Applies a committed set, unless that or a later one is applied already."""
        if verdicts.version > self.applied.version or self.applies_hint:
            self.applied, self.applies_hint = verdicts, False
            if self.holder is not None:
                self.holder.set_rates(now, rates_of(self.holder.limits, verdicts))
            self.host.apply(verdicts)

    def apply_hint(self, now: int, hint: VerdictSet) -> None:
        """Applies a hint, which any committed set replaces, whatever their versions."""
        self.apply(now, hint)
        self.applies_hint = True

    def expired(self, now: int) -> list[Verdict]:
        """Returns removals of verdicts whose duration has passed since this replica first stored them.

        Returns none while a proposal is open.
        """
        removals: list[Verdict] = []
        if self.stored.digest != self.applied.digest:
            return removals
        for key, verdict in self.applied.verdicts.items():
            since = self.first_stored_at.get(verdict, now)
            if verdict.duration_s and now - since >= verdict.duration_s * SECOND:
                removals.append(Verdict(*key, on=False, who="end", why="its time is over"))
        return removals

    def propose(self, term: int, changes: list[Verdict]) -> tuple[VerdictSet, SetDelta]:
        """Returns the set with these changes and the message that proposes it; adds it to the changelog."""
        before = self.stored
        after = before.with_changes(term, changes)
        self.changelog.add(before, after, changes)
        return after, SetDelta(term, after.version, after.digest, before.digest, [changes])

    def is_fetching(self, digest: bytes) -> bool:
        """Returns whether the set with this digest is being fetched."""
        return self.fetch is not None and self.fetch.digest == digest

    def request_missing(self, now: int, fetch: SnapshotFetch) -> None:
        """Requests the missing chunks of a set, or the set as such if no chunk has arrived."""
        fetch.requested_at = now
        known = [] if fetch.count else [self.stored.digest, self.applied.digest]
        self.host.send(fetch.source, SetRequest(fetch.version, fetch.digest, known, fetch.missing()))

    def on_request(self, name: str, request: SetRequest) -> None:
        """Answers with a delta if the changelog has one that fits in a datagram, otherwise with chunks."""
        requested = self.find(request.digest)
        if requested is None:
            return
        for base in request.known:
            steps = self.changelog.between(base, requested.digest)
            if steps is not None and len(ENCODE(steps)) < MAX_DELTA_BYTES:
                delta = SetDelta(requested.term, requested.version, requested.digest, base, steps)
                return self.host.send(name, delta)
        self.send_chunks(name, requested, request.chunks)

    def send_chunks(self, name: str, verdicts: VerdictSet, indexes: list[int]) -> None:
        """Sends these chunks of the snapshot, or the first ones if `indexes` is empty."""
        count = verdicts.chunk_count()
        for index in (indexes or range(min(count, MAX_CHUNKS_PER_ANSWER)))[:MAX_CHUNKS_PER_ANSWER]:
            if 0 <= index < count:
                chunk = SetChunk(verdicts.version, verdicts.digest, index, count, verdicts.chunk(index))
                self.host.send(name, chunk)

    def on_chunk(self, now: int, chunk: SetChunk) -> VerdictSet | None:
        """Adds a chunk and requests the next ones. Returns the set if this chunk completes it."""
        fetch = self.fetch
        if fetch is None or fetch.digest != chunk.digest:
            return None
        complete = fetch.add(chunk.index, chunk.count, chunk.data, 0)
        ends_request = chunk.index % CHUNKS_PER_REQUEST == CHUNKS_PER_REQUEST - 1
        if complete is None and (ends_request or not fetch.chunks):
            self.request_missing(now, fetch)
        return complete

    def on_delta(self, delta: SetDelta) -> VerdictSet | None:
        """Returns the set that the delta leads to.

        None if the base of the delta is not here, or if the resulting digest or version is wrong.
        """
        base = self.find(delta.base)
        if base is None or self.stored.digest == delta.digest:
            return None
        versions = [base]
        for changes in delta.steps:
            versions.append(versions[-1].with_changes(delta.term, changes))
        if versions[-1].digest != delta.digest or versions[-1].version != delta.version:
            return None
        for before, after, changes in zip(versions, versions[1:], delta.steps, strict=False):
            self.changelog.add(before, after, changes)
        return versions[-1]

    def find(self, digest: bytes) -> VerdictSet | None:
        """Returns the stored or the applied set, whichever has this digest, or None."""
        return next((verdicts for verdicts in (self.stored, self.applied) if verdicts.digest == digest), None)
