"""The backends that may be used, kept in order change by change: as if they were sorted anew each time."""

from random import Random

import pytest
from helpers import NOW, listed, node

from basalthoist.decisions.endpoint_index import BackendsByKey, EndpointIndex
from basalthoist.decisions.interface import GossipKind, GossipMessage


class Stand:
    def __init__(self, name, zone, place, key=0):
        self.name, self.zone, self.position, self.key = name, zone, place, key
        self.available, self.available_in = True, None


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


def test_of_those_that_share_a_key_the_last_added_counts_and_then_the_one_before():
    first, second, third = (Stand(name, 0, 0.5, key=7) for name in "abc")
    by_key = BackendsByKey()
    for one in (first, second, third):
        by_key.add(one)
    assert by_key.get(7) is third and by_key.get(8) is None
    by_key.discard(second)
    by_key.discard(third)
    assert by_key.get(7) is first
    by_key.discard(first)
    assert by_key.get(7) is None and not by_key.last and not by_key.others


def test_a_backend_that_was_called_back_is_the_one_that_peers_speak_of():
    made, _ = node([listed("s-0"), listed("s-1")])
    before = made.backends["s-0"]
    made.on_maintenance(NOW, "s-0", True)
    assert len(made.registry.endpoints) == 1
    made.on_maintenance(NOW + 10, "s-0", False)
    after = made.backends["s-0"]
    assert after is not before and made.registry.by_key.get(before.key) is after
    assert [b for group in made.registry.endpoints.groups() for b in group if b.name == "s-0"] == [after]
    made.on_gossip(NOW + 20, 1, [GossipMessage(GossipKind.EJECTED, after.key, 0)])
    made.on_endpoint_list(NOW + 30, [listed("s-0", state="gone")], False)
    assert made.registry.by_key.get(before.key) is None and len(made.registry.endpoints) == 1
