"""Translates the simulator's events into calls on one `Balancer` per instance, and decisions into lines."""

import sys
from base64 import b64decode, b64encode

from basalthoist.decisions.balancer import Balancer
from basalthoist.decisions.interface import GossipKind, LoadReport, Outcome
from basalthoist.gossip_codec import decode, encode
from basalthoist.settings_codec import parse_pairs, to_tenths_of_ms

from .codec import Reader, WireError

OUTCOMES = {
    "0": Outcome.COMPLETED, "255": Outcome.ERROR, "254": Outcome.REJECTED, "253": Outcome.TIMED_OUT,
    "252": Outcome.CONNECT_FAILED, "251": Outcome.RESET, "250": Outcome.CANCELLED, "249": Outcome.NOT_SENT,
}  # fmt: skip


def clock_tenths(microseconds: int) -> int:
    """Converts the simulator's clock to tenths of a millisecond, rounded down."""
    return microseconds // 100


class Instance:
    """One simulated node. Passes the simulator's events to its balancer, and is the balancer's host."""

    def __init__(self, who: str, out: list[str], salt: int, settings: dict, now: int) -> None:
        self.prefix = "\t" + who
        self.out = out
        self.fields = settings.get("feedback.fields", [])
        self.balancer = Balancer(self, salt, settings, now)

    def send(self, request: int, backend: str, timeout: int) -> None:
        self.out.append(f"PASS_ON{self.prefix}\t{request}\t{backend}\t{timeout * 100}\n")

    def shed(self, request: int, retry_after: int) -> None:
        self.out.append(f"OVERLOAD_REPLY{self.prefix}\t{request}\t{retry_after * 100}\n")

    def fail(self, request: int) -> None:
        self.out.append(f"FINISH_ERROR{self.prefix}\t{request}\n")

    def cancel(self, request: int, attempt_number: int) -> None:
        self.out.append(f"ABANDON{self.prefix}\t{request}\t{attempt_number}\n")

    def withdraw(self, request: int, attempt_number: int) -> bool:
        return False  # The wire form does not report whether an attempt was written.

    def health_check(self, backend: str) -> None:
        self.out.append(f"POLL{self.prefix}\t{backend}\n")

    def gossip(self, messages: list[tuple[GossipKind, int, int]], peers: list[int]) -> None:
        blob = b64encode(encode(messages)).decode()
        self.out += [f"POST{self.prefix}\t{peer}\t{blob}\n" for peer in peers]

    def subscribe(self) -> None:
        self.out.append(f"OBSERVE{self.prefix}\t1\n")

    def wake(self, after: int, tag: str) -> None:
        self.out.append(f"NOTIFY_ME{self.prefix}\t{after * 100}\t{tag}\n")

    def log(self, line: str) -> None:
        self.out.append(f"JOURNAL_LINE{self.prefix}\t{line}\n")

    def load(self, row: str) -> LoadReport | None:
        if row == "-" or not row:
            return None
        fields = (None if v in ("", "-") else float(v) for v in row.split(","))
        values = dict(zip(self.fields, fields, strict=False))
        return LoadReport(values.get("inflight"), values.get("queue"), values.get("util"), values.get("rate"))

    def handle_event(self, now: int, parts: list[str], lists: dict) -> None:
        name, balancer = parts[0], self.balancer
        if name == "QUERY":
            _, _, txn, route, customer, _, grace, _, flags = parts
            again = flags != "-" and bool(int(flags) & 2)
            tenant_number = 0 if customer == "-" else int(customer)
            balancer.on_request(now, int(txn), int(route), tenant_number, to_tenths_of_ms(int(grace)), again)
        elif name == "ATTEMPT_END":
            _, _, txn, copy, _, outcome, rtt, over, row = parts
            balancer.on_attempt_ended(
                now,
                int(txn),
                int(copy),
                OUTCOMES[outcome],
                to_tenths_of_ms(int(rtt)),
                over == "1",
                self.load(row),
            )
        elif name == "PROBED":
            _, _, backend, outcome, rtt, row = parts
            balancer.on_health_check_ended(
                now, backend, OUTCOMES[outcome], to_tenths_of_ms(int(rtt)), self.load(row)
            )
        elif name == "MESSAGE":
            try:
                messages = decode(b64decode("" if parts[3] == "-" else parts[3]))
            except ValueError:
                return  # Drops a message that no node has encoded.
            balancer.on_gossip(now, int(parts[2]), messages)
        elif name == "ALARM":
            balancer.on_wake(now, parts[2])
        elif name == "ABORTED":
            balancer.on_client_gone(now, int(parts[2]))
        elif name == "TOPOLOGY":
            if parts[2] == "FAILED":
                balancer.on_endpoint_list_failed(now)
            else:
                balancer.on_endpoint_list(now, lists.get(parts[4], []), parts[2] != "INCREMENTAL")
        elif name == "UNDER_WAY":
            balancer.on_response_started(now, int(parts[2]), int(parts[3]))


def serve(source, sink) -> None:
    reader, instances, lists = Reader(source), {}, {}
    while (frame := reader.frame()) is not None:
        clock, batch = frame
        now, out = clock_tenths(clock), []
        for parts in reader.events():
            if parts[0] == "CATALOG":
                lists[parts[1]] = reader.backends(parts[2], clock_tenths)
                continue
            who, mark = parts[1], len(out)
            if not who.isdigit():
                reader.fail("an instance number", who)
            try:
                if parts[0] == "START":
                    instances[who] = Instance(who, out, int(parts[2]), parse_pairs(parts[3:]), now)
                elif parts[0] == "CRASH_NOW":
                    instances.pop(who, None)
                elif who in instances:
                    instances[who].out = out
                    instances[who].handle_event(now, parts, lists)
            except (ValueError, KeyError) as error:
                if raised_by_decisions(error):
                    out[mark:] = [f"PANIC\t{who}\t{describe(error)}\n"]
                else:
                    reader.fail(f"well-formed values for {parts[0]} ({error})", "\t".join(parts))
            except Exception as error:
                out[mark:] = [f"PANIC\t{who}\t{describe(error)}\n"]
        sink.write("".join(out) + f"OK\t{batch}\n")
        sink.flush()


def innermost_frame(error: BaseException):
    entry = error.__traceback__
    while entry.tb_next is not None:
        entry = entry.tb_next
    return entry


def raised_by_decisions(error: BaseException) -> bool:
    """Whether the decision code raised the exception, rather than the parsing of a value in this module."""
    return innermost_frame(error).tb_frame.f_globals.get("__name__", "").startswith("basalthoist.decisions")


def describe(error: BaseException) -> str:
    entry = innermost_frame(error)
    where = f"{entry.tb_frame.f_code.co_name}:{entry.tb_lineno}"
    return f"{type(error).__name__}: {error} at {where}".replace("\n", " ")[:200]


def main() -> int:
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as error:
        print(error, file=sys.stderr)
        return 2
    except (BrokenPipeError, KeyboardInterrupt):
        return 1
    return 0
