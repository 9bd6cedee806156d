"""Wire events become calls on one `Node` an instance; what the node asks of its host becomes wire lines."""

import sys
from base64 import b64decode, b64encode

from basalthoist.decisions.host import Load, Outcome, Word
from basalthoist.decisions.policy import Node
from basalthoist.hearsay import decode, encode
from basalthoist.terms import plain_map, tenths

from .codec import Reader, WireError

OUTCOMES = {
    "0": Outcome.COMPLETED, "255": Outcome.ERROR, "254": Outcome.REJECTED, "253": Outcome.TIMED_OUT,
    "252": Outcome.CONNECT_FAILED, "251": Outcome.RESET, "250": Outcome.CANCELLED, "249": Outcome.NOT_SENT,
}  # fmt: skip


def clock_tenths(micros: int) -> int:
    return micros // 100


class Instance:
    """The host of one node, and the door through which its events come."""

    def __init__(self, who: str, out: list[str], salt: int, settings: dict, now: int) -> None:
        self.prefix = "\t" + who
        self.out = out
        self.fields = settings.get("feedback.fields", [])
        self.node = Node(self, salt, settings, now)

    def send(self, xchg: int, backend: str, timeout: int) -> None:
        self.out.append(f"PASS_ON{self.prefix}\t{xchg}\t{backend}\t{timeout * 100}\n")

    def shed(self, xchg: int, retry_after: int) -> None:
        self.out.append(f"OVERLOAD_REPLY{self.prefix}\t{xchg}\t{retry_after * 100}\n")

    def fail(self, xchg: int) -> None:
        self.out.append(f"FINISH_ERROR{self.prefix}\t{xchg}\n")

    def cancel(self, xchg: int, try_no: int) -> None:
        self.out.append(f"ABANDON{self.prefix}\t{xchg}\t{try_no}\n")

    def withdraw(self, xchg: int, try_no: int) -> bool:
        return False  # the wire does not tell what is written

    def probe(self, backend: str) -> None:
        self.out.append(f"POLL{self.prefix}\t{backend}\n")

    def tell(self, words: list[tuple[Word, int, int]], peers: list[int]) -> None:
        blob = b64encode(encode(words)).decode()
        self.out += [f"POST{self.prefix}\t{peer}\t{blob}\n" for peer in peers]

    def subscribe(self) -> None:
        self.out.append(f"OBSERVE{self.prefix}\t1\n")

    def wake(self, after: int, tag: str) -> None:
        self.out.append(f"NOTIFY_ME{self.prefix}\t{after * 100}\t{tag}\n")

    def log(self, line: str) -> None:
        self.out.append(f"JOURNAL_LINE{self.prefix}\t{line}\n")

    def load(self, row: str) -> Load | None:
        if row == "-" or not row:
            return None
        figures = (None if v in ("", "-") else float(v) for v in row.split(","))
        values = dict(zip(self.fields, figures, strict=False))
        return Load(values.get("inflight"), values.get("queue"), values.get("util"), values.get("rate"))

    def take(self, now: int, parts: list[str], lists: dict) -> None:
        name, node = parts[0], self.node
        if name == "QUERY":
            _, _, txn, route, customer, _, grace, _, flags = parts
            again = flags != "-" and bool(int(flags) & 2)
            customer_no = 0 if customer == "-" else int(customer)
            node.on_exchange(now, int(txn), int(route), customer_no, tenths(int(grace)), again)
        elif name == "ATTEMPT_END":
            _, _, txn, copy, _, outcome, rtt, over, row = parts
            node.on_try_ended(now, int(txn), int(copy), OUTCOMES[outcome], tenths(int(rtt)), over == "1",
                              self.load(row))  # fmt: skip
        elif name == "PROBED":
            _, _, backend, outcome, rtt, row = parts
            node.on_probe_ended(now, backend, OUTCOMES[outcome], tenths(int(rtt)), self.load(row))
        elif name == "MESSAGE":
            try:
                words = decode(b64decode("" if parts[3] == "-" else parts[3]))
            except ValueError:
                return  # what no node has written is dropped
            node.on_told(now, int(parts[2]), words)
        elif name == "ALARM":
            node.on_wake(now, parts[2])
        elif name == "ABORTED":
            node.on_exchange_gone(now, int(parts[2]))
        elif name == "TOPOLOGY":
            if parts[2] == "FAILED":
                node.on_list_failed(now)
            else:
                node.on_list(now, lists.get(parts[4], []), parts[2] != "INCREMENTAL")
        elif name == "UNDER_WAY":
            node.on_answer_started(now, int(parts[2]), int(parts[3]))


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
                reader.bad("an instance number", who)
            try:
                if parts[0] == "START":
                    instances[who] = Instance(who, out, int(parts[2]), plain_map(parts[3:]), now)
                elif parts[0] == "CRASH_NOW":
                    instances.pop(who, None)
                elif who in instances:
                    instances[who].out = out
                    instances[who].take(now, parts, lists)
            except (ValueError, KeyError) as wrong:
                if broke_in_module(wrong):
                    out[mark:] = [f"PANIC\t{who}\t{describe(wrong)}\n"]
                else:
                    reader.bad(f"well-formed values for {parts[0]} ({wrong})", "\t".join(parts))
            except Exception as wrong:
                out[mark:] = [f"PANIC\t{who}\t{describe(wrong)}\n"]
        sink.write("".join(out) + f"OK\t{batch}\n")
        sink.flush()


def origin(wrong: BaseException):
    step = wrong.__traceback__
    while step.tb_next is not None:
        step = step.tb_next
    return step


def broke_in_module(wrong: BaseException) -> bool:
    """Whether it was the decisions that raised it, not the reading of a value here."""
    return origin(wrong).tb_frame.f_globals.get("__name__", "").startswith("basalthoist.decisions")


def describe(wrong: BaseException) -> str:
    step = origin(wrong)
    where = f"{step.tb_frame.f_code.co_name}:{step.tb_lineno}"
    return f"{type(wrong).__name__}: {wrong} at {where}".replace("\n", " ")[:200]


def main() -> int:
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as wrong:
        print(wrong, file=sys.stderr)
        return 2
    except (BrokenPipeError, KeyboardInterrupt):
        return 1
    return 0
