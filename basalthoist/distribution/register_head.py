"""Stores the catalogue's head, its version and digest, as one verdict in the fleet's register."""

from basalthoist.fleet.replica import Replica
from basalthoist.fleet.verdicts import HEAD, Verdict, VerdictKey

KEY: VerdictKey = (HEAD, "catalogue")
NO_HEAD = 0, bytes(32)  # the head of a catalogue that never had an entry
PROPOSER = "author"  # the name under which the verdict is proposed


class RegisterHead:
    """Implements `Register` with a replica of the fleet's register, which stores the head as a verdict.

    The verdict's `figure` is the version, its `why` the digest in hexadecimal.

    The caller drives the replica, and calls `Publisher.on_register_event` after each call to it.
    """

    def __init__(self, replica: Replica) -> None:
        self.replica = replica

    def leads(self, now: int) -> bool:
        """Returns whether this process holds the lease and knows what earlier leaders may have committed."""
        return self.replica.leads(now) and self.replica.leader.committed >= 0

    def term(self) -> int:
        """Returns the latest term known to this process."""
        return self.replica.term

    def leader(self) -> str:
        """Returns the name of the leader; "" if unknown to this process."""
        return self.replica.leader_name

    def head(self) -> tuple[int, bytes]:
        """Returns the committed version and digest, or NO_HEAD."""
        verdict = self.replica.sets.applied.verdicts.get(KEY)
        return (int(verdict.figure), bytes.fromhex(verdict.why)) if verdict is not None else NO_HEAD

    def propose_head(self, now: int, version: int, digest: bytes) -> None:
        """Proposes this head to the register."""
        head = Verdict(*KEY, figure=float(version), who=PROPOSER, why=digest.hex())
        self.replica.leader.queue.append(head)
        self.replica.leader.commit(now)
