"""Fair shares of the event loop's turns between the connections that are read."""

import asyncio

# A turn ends after so many bytes of one connection, or so many reads that filled their buffer.
TURN_BYTES = 128 * 1024
TURN_READS = 4


class ReadTurns:
    """Pauses and resumes the reading of one connection; a turn in which it has read much ends early.

    After a read that fills its buffer the event loop reads on, up to 32 times in a row.
    """

    __slots__ = ("loop", "transport", "is_paused", "is_turn_over", "is_reading", "turn_bytes", "turn_reads")

    def __init__(self, loop: asyncio.AbstractEventLoop, transport: asyncio.Transport) -> None:
        self.loop: asyncio.AbstractEventLoop = loop
        self.transport: asyncio.Transport = transport
        self.is_paused: bool = False  # by `pause`
        self.is_turn_over: bool = False
        self.is_reading: bool = True
        # In this turn, by reads that filled their buffer.
        self.turn_bytes: int = 0
        self.turn_reads: int = 0

    def pause(self) -> None:
        """Pauses reading until `resume`."""
        self.is_paused = True
        self.update()

    def resume(self) -> None:
        """Resumes reading, in the next turn of the event loop if this turn is over."""
        self.is_paused = False
        self.update()

    def on_read(self, length: int, filled_buffer: bool) -> None:
        """Ends this connection's turn if it has read much; reading goes on in the next turn."""
        if not filled_buffer:
            return
        if not self.turn_reads:
            self.loop.call_soon(self.begin_turn)
        self.turn_reads += 1
        self.turn_bytes += length
        # Guards against one connection whose reads, one after another, keep all others waiting.
        is_over = self.turn_bytes >= TURN_BYTES or self.turn_reads >= TURN_READS
        if is_over and not self.is_turn_over:
            self.is_turn_over = True
            self.update()

    def begin_turn(self) -> None:
        """Allows reading again."""
        self.turn_bytes = self.turn_reads = 0
        if self.is_turn_over:
            self.is_turn_over = False
            self.update()

    def update(self) -> None:
        """Has the event loop read, or not, as the state demands."""
        reads = not (self.is_paused or self.is_turn_over)
        if reads == self.is_reading or self.transport.is_closing():
            return
        self.is_reading = reads
        if reads:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()
