"""Lines taken out of received bytes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from basalthoist.net.line_buffer import LineBuffer, LineTooLongError


@given(st.lists(st.sampled_from([b"", b"a", b"bc", b"\n", b"\n\n", b"d\ne", b"\r\n"]), max_size=30))
def test_lines_are_the_same_wherever_the_bytes_are_split(pieces):
    buffer, lines = LineBuffer(1000), []
    for piece in pieces:
        buffer.append(piece)
        assert buffer.has_line() is (b"\n" in piece)
        while (line := buffer.next_line()) is not None:
            lines.append(line)
    *expected, rest = b"".join(pieces).split(b"\n")
    assert lines == expected
    assert len(buffer) == len(rest)


@pytest.mark.parametrize("data", [b"12345", b"12345\n", b"1234\n12345"])
def test_line_over_the_limit_reported_once_it_is_received(data):
    buffer = LineBuffer(4)
    buffer.append(data)
    with pytest.raises(LineTooLongError):
        buffer.next_line()
        buffer.next_line()


def test_nothing_is_left_after_clearing():
    buffer = LineBuffer(10)
    buffer.append(b"half")
    assert buffer.next_line() is None
    buffer.clear()
    buffer.append(b"a\n")
    assert (buffer.next_line(), len(buffer)) == (b"a", 0)
