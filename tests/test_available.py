"""The indexes of the backends, compared with a full sort after each change."""

from random import Random

import pytest
from helpers import NOW, listed, node

from basalthoist.decisions.endpoint_index import BackendsByKey, EndpointIndex
from basalthoist.decisions.interface import GossipKind, GossipMessage


class IndexedBackend:
    def __init__(self, name, zone, position, key=0):
        self.name, self.zone, self.position, self.key = name, zone, position, key
        self.available, self.indexed_zone = True, None


@pytest.mark.parametrize("seed", range(20))
def test_index_equals_a_full_sort_after_random_changes(seed):
    rng, index = Random(seed), EndpointIndex()
    backends = [IndexedBackend(f"s-{n}", n % 3, rng.choice((0.1, 0.2, 0.3, rng.random()))) for n in range(40)]
    for backend in backends:
        index.update(backend)
    for _ in range(400):
        backend = rng.choice(backends)
        if rng.random() < 0.2:
            index.discard(backend)
            backend.available = False
        else:
            backend.available, backend.zone = rng.random() < 0.7, rng.randrange(3)
            index.update(backend)
        expected = sorted((s for s in backends if s.available), key=lambda s: (s.zone, s.position, s.name))
        assert [s for group in index.groups() for s in group] == expected
        assert len(index) == len(expected)
        assert [group[0].zone for group in index.groups()] == sorted({s.zone for s in expected})


def test_last_added_backend_of_a_shared_key_is_found():
    first, second, third = (IndexedBackend(name, 0, 0.5, key=7) for name in "abc")
    by_key = BackendsByKey()
    for backend in (first, second, third):
        by_key.add(backend)
    assert by_key.get(7) is third and by_key.get(8) is None
    by_key.discard(second)
    by_key.discard(third)
    assert by_key.get(7) is first
    by_key.discard(first)
    assert by_key.get(7) is None and not by_key.last and not by_key.others


def test_gossip_key_finds_the_backend_after_its_ban_is_lifted():
    balancer, _ = node([listed("s-0"), listed("s-1")])
    original = balancer.backends["s-0"]
    balancer.on_maintenance(NOW, "s-0", True)
    assert len(balancer.registry.endpoints) == 1
    balancer.on_maintenance(NOW + 10, "s-0", False)
    replacement = balancer.backends["s-0"]
    assert replacement is not original and balancer.registry.by_key.get(original.key) is replacement
    assert [b for group in balancer.registry.endpoints.groups() for b in group if b.name == "s-0"] == [
        replacement
    ]
    balancer.on_gossip(NOW + 20, 1, [GossipMessage(GossipKind.EJECTED, replacement.key, 0)])
    balancer.on_endpoint_list(NOW + 30, [listed("s-0", state="gone")], False)
    assert balancer.registry.by_key.get(original.key) is None and len(balancer.registry.endpoints) == 1
