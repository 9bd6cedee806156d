"""Gossip about backends: which messages this node sends, to which peers and with what probability."""

from collections import Counter, defaultdict

from .backend import Backend
from .endpoint_index import EndpointIndex
from .interface import BalancerHost, GossipKind, GossipMessage
from .load_reports import LoadEstimator
from .random_numbers import Lcg
from .settings import BalancerSettings
from .subset import Subset

DATAGRAM_BYTES = 256
BYTES_PER_REQUEST = 16
MAX_COST_FRACTION = 0.03  # what gossip may cost per request, as a fraction of the request's price
CPU_US_PER_DATAGRAM = 25
# Gossip may take this part of a node's processor time: one in 20, or one in 2 without load reports.
CPU_DIVISOR, CPU_DIVISOR_WITHOUT_REPORTS = 20, 2
MAX_REPORTS_PER_DATAGRAM = 4
LISTENED_FRACTION = 0.7  # a zone's listeners are its top senders, up to this fraction of the requests
SENDER_COUNT_DECAY = 0.8
MIN_SENDER_COUNT = 0.1
QUARTERS = 4  # requests in flight are sent in quarters of a request


class Gossip:
    """Announces attempts and outcomes to peers.

    `probability`: the fraction of the attempts that is announced; 0 if this node does not gossip.
    """

    def __init__(
        self,
        host: BalancerHost,
        settings: BalancerSettings,
        rng: Lcg,
        subset: Subset,
        endpoints: EndpointIndex,
        loads: LoadEstimator,
    ) -> None:
        self.host = host
        self.settings = settings
        self.rng = rng
        self.subset = subset
        self.endpoints = endpoints
        self.loads = loads
        self.probability: float = float(settings.gossips)
        # By zone: decaying counts of the requests that each peer announces.
        self.senders: dict[int, Counter] = defaultdict(Counter)
        self.listeners: dict[int, list[int]] = {}  # by zone: the peers that announce the most requests
        self.fresh_reports: dict[Backend, int] = {}  # when a report came that peers do not have yet
        self.peers_by_backend: dict[Backend, list[int]] = {}

    def update_probability(self, rate: float) -> None:
        """Sets `probability` to what prices and processor time allow at `rate` requests per second."""
        if not self.probability:
            return
        recipients = (
            max((len(peers) for peers in self.listeners.values()), default=0) or self.subset.nodes_per_backend
        )
        price = max(self.settings.peer_price * recipients * BYTES_PER_REQUEST / DATAGRAM_BYTES, 1e-6)
        divisor = CPU_DIVISOR_WITHOUT_REPORTS if self.settings.without_load_reports else CPU_DIVISOR
        spare = self.settings.cpu_us_per_s / divisor / CPU_US_PER_DATAGRAM
        self.probability = min(MAX_COST_FRACTION / price, spare / max(recipients * rate, 1.0), 1.0)
        self.peers_by_backend.clear()

    def announce(self, now: int, kind: GossipKind, backend: Backend) -> bool:
        """Sends a message to peers, with fresh reports on other backends; a SENT message only at random.

        Returns whether the message was sent.
        """
        if not self.probability:
            return False
        if kind == GossipKind.SENT and self.rng.uniform() >= self.probability:
            return False
        messages = [GossipMessage(kind, backend.key, 0), *self.reports(now, backend)]
        self.host.gossip(messages, self.peers_for(kind, backend))
        self.fresh_reports.clear()
        return True

    def reports(self, now: int, backend: Backend) -> list[GossipMessage]:
        """Returns messages with the load of other backends that have reported recently."""
        recent = 2 * self.loads.service_time
        fresh = [b for b, at in self.fresh_reports.items() if now - at < recent and b is not backend]
        return [
            GossipMessage(GossipKind.IN_FLIGHT, b.key, round(QUARTERS * self.loads.ahead(b, now)))
            for b in fresh[-MAX_REPORTS_PER_DATAGRAM:]
        ]

    def peers_for(self, kind: GossipKind, backend: Backend) -> list[int]:
        """Returns the peers to which a message about this backend is sent."""
        if self.settings.without_load_reports and kind != GossipKind.EJECTED:
            return self.listeners.get(backend.zone) or self.peers_using(backend)
        return self.peers_using(backend)

    def peers_using(self, backend: Backend) -> list[int]:
        """Returns the peers whose subsets contain the backend, computed from the ring that all nodes share.

        Without load reports there is no ring, and these are all peers.
        """
        own, nodes = self.settings.own_number, self.settings.nodes
        if self.settings.without_load_reports:
            return [peer for peer in range(nodes) if peer != own]
        if backend not in self.peers_by_backend:
            zone = next((group for group in self.endpoints.groups() if backend in group), [])
            used, size = sum(b.zone == backend.zone for b in self.subset.backends), len(zone)
            in_subset = [
                (zone.index(backend) - int(position * size)) % size < used
                for position in self.subset.ring_positions
                if zone
            ]
            self.peers_by_backend[backend] = [
                peer for peer, is_user in enumerate(in_subset) if is_user and peer != own
            ]
        return self.peers_by_backend[backend]

    def count_sender(self, peer: int, backend: Backend, kind: GossipKind) -> None:
        """Counts a peer's announced attempts at the backends of a zone."""
        self.senders[backend.zone][peer] += kind == GossipKind.SENT

    def update_listeners(self) -> None:
        """Chooses each zone's listeners once a second: its top senders, up to LISTENED_FRACTION of all."""
        for zone, senders in self.senders.items():
            counted, total, self.listeners[zone] = 0.0, sum(senders.values()), []
            for peer in sorted(senders, key=lambda peer: -senders[peer]):
                counted += senders[peer]
                if counted < LISTENED_FRACTION * total:
                    self.listeners[zone].append(peer)
            decayed = {peer: SENDER_COUNT_DECAY * n for peer, n in senders.items() if n > MIN_SENDER_COUNT}
            self.senders[zone] = Counter(decayed)
