"""What a node needs as its list of backends grows sixteenfold, by the table of the standing page."""

import os
import threading
import time

from helpers import NOW, DiscoveryStandIn, StandIn, listed, member, node, reply, request, wait_for

USUAL_BOUNDS, LARGE = 200, 3200
PLAY_S = 8.0
REPLACED_IN_S = (
    200.0  # the whole of the list, at the pace of its changes: faster than in any of the page's days
)


def cpu_s(program):
    with open(f"/proc/{program.process.pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_mb(program):
    with open(f"/proc/{program.process.pid}/status") as file:
        line = next(line for line in file if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


def needs(start, backends, count):
    """Processor time and peak memory of one play with so many entries, which share some addresses."""
    entries = [member(f"s-{n}", backends[n % len(backends)]) for n in range(count)]
    agent = DiscoveryStandIn(entries)
    program, _, _ = start(*backends, agent=agent, known=entries, settings_more={"siblings": 200})
    wait_for(lambda: agent.watches)
    before, until = cpu_s(program), time.monotonic() + PLAY_S
    pause = REPLACED_IN_S / count / 2

    def change():
        number = 0
        while time.monotonic() < until:
            for phase in ("draining", "ready"):
                agent.tell(entries[number % count] | {"phase": phase})
                time.sleep(pause)
            number += 7

    changes = threading.Thread(target=change)
    changes.start()
    asked, served = 0, 0
    while time.monotonic() < until:
        asked += 1
        served += program.ask(request(ident=f"r{asked}")).status == "200"
        time.sleep(0.03)
    changes.join()
    assert served >= 0.95 * asked
    found = cpu_s(program) - before, memory_mb(program)
    agent.close()
    return found


def test_processor_time_and_memory_grow_no_more_than_told(start):
    backends = [StandIn(reply()) for _ in range(16)]
    cpu, memory = needs(start, backends, USUAL_BOUNDS)
    cpu_large, memory_large = needs(start, backends, LARGE)
    thousands = LARGE / 1000
    print(f"{cpu:.2f} to {cpu_large:.2f} s of processor time, {memory:.0f} to {memory_large:.0f} MB")
    assert cpu_large <= 1.4 * cpu + 0.02 + 0.12 * thousands
    assert memory_large <= 1.5 * memory + 8 + 4 * thousands


def time_of_a_change(count):
    """The least of many, in seconds."""
    entries = [listed(f"s-{n}", zone=n % 3, cell=n % 9) for n in range(count)]
    made, _ = node(entries, nodes=200)
    times = []
    for number in range(100):
        entry = entries[number]._replace(state="draining")
        began = time.perf_counter()
        made.on_endpoint_list(NOW + number, [entry], False)
        times.append(time.perf_counter() - began)
    return min(times)


def test_a_change_in_a_long_list_costs_hardly_more_than_in_a_short_one():
    assert time_of_a_change(LARGE) < 4 * time_of_a_change(USUAL_BOUNDS)
