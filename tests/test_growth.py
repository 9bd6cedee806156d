"""Tests how a node's processor time and memory grow when its endpoint list grows sixteenfold."""

import os
import threading
import time

from helpers import NOW, DiscoveryStandIn, StandIn, listed, member, node, reply, request, wait_for

USUAL_COUNT, LARGE_COUNT = 200, 3200  # backends in the endpoint list
RUN_S = 8.0
# Time in which the changes replace the complete list once: faster than in any specified scenario.
REPLACEMENT_TIME_S = 200.0


def cpu_s(program):
    with open(f"/proc/{program.process.pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_mb(program):
    with open(f"/proc/{program.process.pid}/status") as file:
        line = next(line for line in file if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


def measure(start, backends, count):
    """Returns processor time in s and peak memory in MB of a run with `count` entries on few addresses."""
    entries = [member(f"s-{n}", backends[n % len(backends)]) for n in range(count)]
    agent = DiscoveryStandIn(entries)
    program, _, _ = start(*backends, agent=agent, known=entries, settings_more={"siblings": 200})
    wait_for(lambda: agent.watches)
    cpu_before, until = cpu_s(program), time.monotonic() + RUN_S
    interval_s = REPLACEMENT_TIME_S / count / 2

    def change_entries():
        number = 0
        while time.monotonic() < until:
            for phase in ("draining", "ready"):
                agent.tell(entries[number % count] | {"phase": phase})
                time.sleep(interval_s)
            number += 7

    changes = threading.Thread(target=change_entries)
    changes.start()
    sent, served = 0, 0
    while time.monotonic() < until:
        sent += 1
        served += program.ask(request(ident=f"r{sent}")).status == "200"
        time.sleep(0.03)
    changes.join()
    assert served >= 0.95 * sent
    result = cpu_s(program) - cpu_before, memory_mb(program)
    agent.close()
    return result


def test_cpu_time_and_memory_stay_within_bounds_for_large_list(start):
    backends = [StandIn(reply()) for _ in range(16)]
    cpu, memory = measure(start, backends, USUAL_COUNT)
    cpu_large, memory_large = measure(start, backends, LARGE_COUNT)
    thousands = LARGE_COUNT / 1000
    print(f"{cpu:.2f} to {cpu_large:.2f} s of processor time, {memory:.0f} to {memory_large:.0f} MB")
    assert cpu_large <= 1.4 * cpu + 0.02 + 0.12 * thousands
    assert memory_large <= 1.5 * memory + 8 + 4 * thousands


def shortest_update_time(count):
    """Returns the shortest of 100 times, in seconds, that a node takes for a change of one entry."""
    entries = [listed(f"s-{n}", zone=n % 3, cell=n % 9) for n in range(count)]
    balancer, _ = node(entries, nodes=200)
    times = []
    for number in range(100):
        entry = entries[number]._replace(state="draining")
        began = time.perf_counter()
        balancer.on_endpoint_list(NOW + number, [entry], False)
        times.append(time.perf_counter() - began)
    return min(times)


def test_update_time_hardly_depends_on_list_length():
    assert shortest_update_time(LARGE_COUNT) < 4 * shortest_update_time(USUAL_COUNT)
