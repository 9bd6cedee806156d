"""The sets of verdicts that one replica stores and applies, and how it catches up with its leader."""

from .host import ReplicaHost
from .quota_leases import QuotaLeaseHolder, rates_of
from .verdicts import ENCODE, Changelog, SnapshotFetch, Verdict, VerdictSet
from .wire import SetChunk, SetDelta, SetRequest

UNITS_PER_SECOND = 10_000
MAX_DELTA_BYTES = 1100  # of changes that go in one datagram
MAX_CHUNKS_SENT = 16  # of a snapshot in answer to one request
CHUNKS_PER_REQUEST = 8  # received before the next ones are asked for


class Replication:
    """The stored and the applied set, the changelog between versions, and the snapshot being fetched."""

    def __init__(self, host: ReplicaHost, holder: QuotaLeaseHolder | None, hint: VerdictSet | None) -> None:
        self.host: ReplicaHost = host
        self.holder: QuotaLeaseHolder | None = holder
        self.stored: VerdictSet = hint or VerdictSet(0, 0, {})  # a hint until a leader has been heard
        self.applied: VerdictSet = VerdictSet(0, 0, {})
        self.changelog: Changelog = Changelog()
        self.fetch: SnapshotFetch | None = None
        self.first_stored_at: dict[Verdict, int] = {}
        self.applies_hint: bool = False

    def store(self, now: int, verdicts: VerdictSet) -> None:
        """Stores a proposal."""
        is_new = verdicts.digest != self.stored.digest
        self.stored = verdicts
        if is_new:
            self.host.store(verdicts)
        before = self.first_stored_at
        self.first_stored_at = {verdict: before.get(verdict, now) for verdict in verdicts.verdicts.values()}

    def apply(self, now: int, verdicts: VerdictSet) -> None:
        """Applies a committed set, unless a later one is applied already."""
        if verdicts.version > self.applied.version or self.applies_hint:
            self.applied, self.applies_hint = verdicts, False
            if self.holder is not None:
                self.holder.set_rates(now, rates_of(self.holder.limits, verdicts))
            self.host.apply(verdicts)

    def apply_hint(self, now: int, hint: VerdictSet) -> None:
        """Applies a hint, which any committed set replaces."""
        self.apply(now, hint)
        self.applies_hint = True

    def expired(self, now: int) -> list[Verdict]:
        """Removals of verdicts whose time is over, counted from when this replica stored them."""
        removals: list[Verdict] = []
        if self.stored.digest != self.applied.digest:
            return removals
        for key, verdict in self.applied.verdicts.items():
            since = self.first_stored_at.get(verdict, now)
            if verdict.duration_s and now - since >= verdict.duration_s * UNITS_PER_SECOND:
                removals.append(Verdict(*key, on=False, who="end", why="its time is over"))
        return removals

    def propose(self, term: int, changes: list[Verdict]) -> tuple[VerdictSet, SetDelta]:
        """The proposal that these changes make, recorded in the changelog, and its message."""
        before = self.stored
        after = before.with_changes(term, changes)
        self.changelog.add(before, after, changes)
        return after, SetDelta(term, after.version, after.digest, before.digest, [changes])

    def is_fetching(self, digest: bytes) -> bool:
        """Whether that set is being fetched."""
        return self.fetch is not None and self.fetch.digest == digest

    def request_missing(self, now: int, fetch: SnapshotFetch) -> None:
        """Asks for what is missing of the set being fetched."""
        fetch.requested_at = now
        known = [] if fetch.count else [self.stored.digest, self.applied.digest]
        self.host.send(fetch.source, SetRequest(fetch.version, fetch.digest, known, fetch.missing()))

    def on_request(self, name: str, request: SetRequest) -> None:
        """Answers with a delta where a small one is known, otherwise with chunks of the snapshot."""
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
        """Sends those chunks of the snapshot, or the first ones where none are named."""
        count = verdicts.chunk_count()
        for index in (indexes or range(min(count, MAX_CHUNKS_SENT)))[:MAX_CHUNKS_SENT]:
            if 0 <= index < count:
                chunk = SetChunk(verdicts.version, verdicts.digest, index, count, verdicts.chunk(index))
                self.host.send(name, chunk)

    def on_chunk(self, now: int, chunk: SetChunk) -> VerdictSet | None:
        """The fetched set, once this chunk completes it."""
        fetch = self.fetch
        if fetch is None or fetch.digest != chunk.digest:
            return None
        complete = fetch.add(chunk.index, chunk.count, chunk.data, 0)
        ends_request = chunk.index % CHUNKS_PER_REQUEST == CHUNKS_PER_REQUEST - 1
        if complete is None and (ends_request or not fetch.chunks):
            self.request_missing(now, fetch)
        return complete

    def on_delta(self, delta: SetDelta) -> VerdictSet | None:
        """The set that the delta makes; None if its base is not here or the result is not what was meant."""
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
        """The stored or the applied set, whichever has that digest."""
        return next((verdicts for verdicts in (self.stored, self.applied) if verdicts.digest == digest), None)
