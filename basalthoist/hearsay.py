"""What nodes tell one another, as bytes: the one codec for sockets and for the simulation bench."""

from .decisions.host import Word

VERSION = 1
HEAD = 3  # version and word, then the backend's key in two bytes; a figure follows where the word has one
MOST_FIGURE = 255


def encode(word: Word, key: int, figure: int) -> bytes:
    head = bytes((VERSION << 4 | word, key >> 8, key & 255))
    return head + bytes((min(max(figure, 0), MOST_FIGURE),)) if word == Word.HOLDS else head


def decode(data: bytes) -> tuple[Word, int, int]:
    """Raises ValueError for what no node of this version has written."""
    if len(data) < HEAD or data[0] >> 4 != VERSION:
        raise ValueError("not of this version")
    word = Word(data[0] & 15)
    if len(data) != HEAD + (word == Word.HOLDS):
        raise ValueError("of another length than its word has")
    return word, data[1] << 8 | data[2], data[3] if word == Word.HOLDS else 0
