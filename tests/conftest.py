"""Fixtures that start the program, and the hooks for KNOWN-RED.txt."""

import pytest
from helpers import DiscoveryStandIn, Program, StandIn, document, member
from known_red import (  # noqa: F401
    pytest_collection_modifyitems,
    pytest_configure,
    pytest_terminal_summary,
)

from basalthoist.experiments.cluster.faults import Faults


@pytest.fixture
def faults(tmp_path):
    """Returns faults to inject into a program that is started with `environment=faults.environment`."""
    return Faults(tmp_path)


@pytest.fixture
def start(tmp_path):
    """Starts stand-in backends with the given behaviours, a discovery that lists them, and the program.

    `told` names the environment variables that are set to the address of discovery.
    """
    running = []

    def begin(
        *behaviours, known=None, wait=True, listed=True, mute=False, close_after_answer=False, files=1024,
        told=(), environment=None, agent=None, **more,
    ):  # fmt: skip
        backends = [b if isinstance(b, str | StandIn) else StandIn(b) for b in behaviours]
        entries = [member(f"s-{i}", b) for i, b in enumerate(backends)]
        discovery = agent or DiscoveryStandIn(entries if listed else [], mute, close_after_answer)
        configuration = document(discovery.address, entries if known is None else known, **more)
        environment = {v: discovery.address for v in told} | (environment or {})
        program = Program(tmp_path, configuration, files, **environment)
        running.extend([b for b in backends if not isinstance(b, str)] + [discovery])
        running.append(program)
        return (program.wait_ready() if wait else program), backends, discovery

    yield begin
    for started in running:
        started.close()
