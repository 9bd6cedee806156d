"""What this node tells its peers of backends, whom it tells, and how often that pays."""

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
SPENDABLE = 0.03  # of a request's price
CPU_US_PER_DATAGRAM = 25
CPU_DIVISOR, CPU_DIVISOR_BLIND = 20, 2  # of a node's processor time, what gossip may take is one part
MOST_REPORTS = 4  # with one message
LISTENING = 0.7  # part of the messages whose senders are told
SENDER_FADE = 0.8
LEAST_MESSAGES = 0.1
QUARTERS = 4  # in-flight figures travel in quarters of a request


class Gossip:
    """`probability`: the part of the sends that is announced; 0 where this node does not gossip."""

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
        self.senders: dict[int, Counter] = defaultdict(Counter)  # by zone: messages of each peer, fading
        self.listeners: dict[int, list[int]] = {}  # by zone: peers that send the most there
        self.fresh_reports: dict[Backend, int] = {}  # not told yet, and when they came
        self.audiences: dict[Backend, list[int]] = {}

    def update_probability(self, rate: float) -> None:
        """For `rate` requests a second: what the prices and the processor time allow."""
        if not self.probability:
            return
        told = max((len(peers) for peers in self.listeners.values()), default=0) or self.subset.users
        price = max(self.settings.peer_price * told * BYTES_PER_REQUEST / DATAGRAM_BYTES, 1e-6)
        divisor = CPU_DIVISOR_BLIND if self.settings.blind else CPU_DIVISOR
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
        """On other backends, those that have just been heard of."""
        recent = 2 * self.loads.service_time
        fresh = [b for b, at in self.fresh_reports.items() if now - at < recent and b is not backend]
        return [
            GossipMessage(GossipKind.IN_FLIGHT, b.key, round(QUARTERS * self.loads.ahead(b, now)))
            for b in fresh[-MOST_REPORTS:]
        ]

    def peers_for(self, kind: GossipKind, backend: Backend) -> list[int]:
        """Whom a message about this backend is sent to."""
        if self.settings.blind and kind != GossipKind.EJECTED:
            return self.listeners.get(backend.zone) or self.audience(backend)
        return self.audience(backend)

    def audience(self, backend: Backend) -> list[int]:
        """The peers whose subsets hold it: subsets lie on one ring at all nodes."""
        own, nodes = self.settings.own_number, self.settings.nodes
        if self.settings.blind:
            return [peer for peer in range(nodes) if peer != own]
        if backend not in self.audiences:
            zone = next((group for group in self.endpoints.groups() if backend in group), [])
            used, size = sum(b.zone == backend.zone for b in self.subset.backends), len(zone)
            holds = [
                (zone.index(backend) - int(position * size)) % size < used
                for position in self.subset.ring_positions
                if zone
            ]
            self.audiences[backend] = [peer for peer, has_it in enumerate(holds) if has_it and peer != own]
        return self.audiences[backend]

    def heard_from(self, peer: int, backend: Backend, kind: GossipKind) -> None:
        """Counts who sends to the backends of a zone."""
        self.senders[backend.zone][peer] += kind == GossipKind.SENT

    def choose_listeners(self) -> None:
        """Once a second: in each zone the peers that send the most, up to LISTENING of all."""
        for zone, senders in self.senders.items():
            heard, total, self.listeners[zone] = 0.0, sum(senders.values()), []
            for peer in sorted(senders, key=lambda peer: -senders[peer]):
                heard += senders[peer]
                if heard < LISTENING * total:
                    self.listeners[zone].append(peer)
            faded = {peer: SENDER_FADE * n for peer, n in senders.items() if n > LEAST_MESSAGES}
            self.senders[zone] = Counter(faded)
