"""Chunked bodies of any text and any chunk size: decoding, and other clients' requests meanwhile."""

import contextlib
import threading
import time

import httptools
import pytest
from helpers import StandIn, chunk, read_head, read_message, reply, request
from hypothesis import example, given, settings
from hypothesis import strategies as st

from basalthoist.net.chunked import ChunkedDecoder, ChunkError
from basalthoist.net.framing import LAST_CHUNK, BadMessage, Reader

CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
MAX_FRAMING_BYTES = 1000

# Decoding.


class HttptoolsBody:
    """The data of a chunked body as httptools decodes it, up to the end of the message."""

    def __init__(self, data):
        self.data, self.complete = b"", False
        parser = httptools.HttpResponseParser(self)
        with contextlib.suppress(httptools.HttpParserError, httptools.HttpParserUpgrade):
            parser.feed_data(CHUNKED_HEAD)
            parser.feed_data(data)

    def on_body(self, data):
        self.data += data if not self.complete else b""

    def on_message_complete(self):
        self.complete = True


def decode(data, piece_bytes):
    """Returns the data of the body, fed in pieces of this size, or None if it is malformed or incomplete."""
    decoder, body = ChunkedDecoder(MAX_FRAMING_BYTES), b""
    with contextlib.suppress(ChunkError):
        for at in range(0, len(data), piece_bytes):
            body += decoder.feed(data[at : at + piece_bytes])
            if decoder.complete:
                return body
    return None


FRAGMENTS = [
    *(
        b"",
        b"\r\n",
        b"\r",
        b"\n",
        b"0",
        b"4",
        b"F",
        b"x",
        b";",
        b"=",
        b'"',
        b"\\",
        b" ",
        b"\t",
        b":",
        b"\x80",
    ),
    *(b"T : v\r\n", b"Content-Length: 3\r\n", b"TRANSFER-ENCODING: chunked\r\n", b"\x00", b"0\r\n\r\n"),
]


@st.composite
def chunked_bodies(draw):
    data = b""
    for size in draw(st.lists(st.integers(1, 20), max_size=4)):
        extension = draw(st.sampled_from([b"", b";a", b";a=b", b';a="b \\" c";d', b";a="]))
        data += b"%x%b\r\n%b\r\n" % (size, extension, draw(st.binary(min_size=size, max_size=size)))
    data += b"0\r\n" + draw(st.sampled_from([b"", b"T: v\r\n", b"T: v\r\nU:\r\n"])) + b"\r\n"
    return data


@st.composite
def altered_bodies(draw):
    """Chunked bodies with a few bytes replaced, added or taken out."""
    data = draw(chunked_bodies())
    for _ in range(draw(st.integers(1, 2))):
        at = draw(st.integers(0, len(data)))
        data = data[:at] + draw(st.sampled_from(FRAGMENTS)) + data[at + draw(st.integers(0, 2)) :]
    return data


@settings(max_examples=200, deadline=None)
@given(chunked_bodies(), st.integers(1, 40))
@example(b"000000000000000000000000000000000000004\r\nbody\r\n00\r\n\r\n", 5)
def test_chunks_decoded_as_by_httptools(data, piece_bytes):
    expected = HttptoolsBody(data)
    assert expected.complete
    assert decode(data, piece_bytes) == expected.data


@settings(max_examples=600, deadline=None)
@given(altered_bodies(), st.integers(1, 40))
@example(b"4\nbody\r\n0\r\n\r\n", 5)
@example(b"4\r\nbody0\r\n\r\n", 5)
@example(b"4 ;a\r\nbody\r\n0\r\n\r\n", 5)
@example(b"4\r\nbody\r\n0\r\nT: v\r\nContent-Length: 3\r\n\r\n", 7)
@example(b"4\r\nbody\r\n0\r\nT: v\n\r\n", 7)
def test_body_that_httptools_frames_differently_is_malformed(data, piece_bytes):
    """Guards against request smuggling: a body that ends elsewhere, or holds other data, for a backend."""
    decoded, expected = decode(data, piece_bytes), HttptoolsBody(data)
    assert decoded is None or (expected.complete and decoded == expected.data)


@pytest.mark.parametrize("data", [b"x", b"\r\n", b"4\rb", b"4;\x00", b"0\r\n:", b"0\r\nT\r", b"4\r\nbody\n"])
def test_malformed_framing_reported_before_its_line_ends(data):
    with pytest.raises(ChunkError):
        ChunkedDecoder(MAX_FRAMING_BYTES).feed(data)


@pytest.mark.parametrize("piece_bytes", [1, 700, 10_000])
@pytest.mark.parametrize(
    "framing", [b"4;a=" + b"b" * 1000 + b"\r\nbody\r\n0\r\n\r\n", b"0\r\n" + b"T: v\r\n" * 200 + b"\r\n"]
)
def test_framing_over_limit_rejected(framing, piece_bytes):
    """Guards against extensions and trailers without end, which count towards no limit of the body."""
    assert HttptoolsBody(framing).complete
    assert decode(framing, piece_bytes) is None


# What a connection does with the data.

READ_BYTES = 256_000  # what the event loop reads at a time
TEXTS = {
    "lines with empty lines": chunk(b"outcome=sale\r\n\r\n" * (1 << 16)),
    "only empty lines": chunk(b"\r\n" * (1 << 19)),
    "text like a last chunk": chunk(b"0\r\n\r\n" * 200_000),
    "chunks of 4 bytes": chunk(b"text") * 100_000,
    "chunks of 1 byte": chunk(b"x") * 100_000,
}
each_text = pytest.mark.parametrize("text", TEXTS.values(), ids=TEXTS.keys())


@each_text
@pytest.mark.parametrize("reads_responses", [False, True])
def test_data_of_one_read_passed_on_in_one_piece(text, reads_responses):
    """Guards against a write for each chunk or empty line of a body, which holds up the event loop."""
    reader, pieces = Reader(reads_responses, 1000, 1000, 1 << 30), []
    reader.on_long_body = lambda message, length: pieces.append
    head = CHUNKED_HEAD if reads_responses else CHUNKED_HEAD.replace(b"HTTP/1.1 200 OK", b"POST / HTTP/1.1")
    data = head + text + LAST_CHUNK
    for at in range(0, len(data), READ_BYTES):
        reader.feed(data[at : at + READ_BYTES], 1)
        message = reader.next()
    assert message is not None
    assert len(pieces) <= len(data) // READ_BYTES + 1
    assert b"".join(pieces) == decode(text + LAST_CHUNK, len(data))


def test_bytes_after_a_complete_chunked_body_are_kept_until_it_is_taken():
    reader = Reader(False, 1000, 1000)
    head = b"POST /%d HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    reader.feed(head % 1, 1)
    assert reader.next() is None
    for data in (chunk(b"one") + LAST_CHUNK + head % 2, chunk(b"two") + LAST_CHUNK, b"x"):
        reader.feed(data, 1)
    assert [(m.target, m.body) for m in (reader.next(), reader.next())] == [(b"/1", b"one"), (b"/2", b"two")]


def test_malformed_chunk_answered_as_bad_request():
    reader = Reader(False, 1000, 1000)
    reader.feed(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx", 1)
    with pytest.raises(BadMessage) as raised:
        reader.next()
    assert raised.value.status == 400


# Other clients of the node meanwhile.

TIMEOUT_MS = 800
# The users' bound: a final answer up to half a second after its request's time is not lost.
LATEST_ANSWER_S = TIMEOUT_MS / 1000 + 0.5
LONG_BODY_BYTES = 32_000_000  # with its framing


class LongBackend(StandIn):
    """Answers requests to `/long` with a chunked body, others with a short one; drops long request bodies."""

    def __init__(self, text):
        self.text = text
        super().__init__(reply())

    def serve(self, sock):
        with contextlib.suppress(OSError, EOFError), sock, sock.makefile("rb") as source:
            while True:
                message = read_message(source)
                if "transfer-encoding" in message.headers:
                    while source.read(1 << 16):
                        pass
                if "/long" in message.path:
                    sock.sendall(CHUNKED_HEAD)
                    for _ in range(LONG_BODY_BYTES // len(self.text)):
                        sock.sendall(self.text)
                    sock.sendall(LAST_CHUNK)
                else:
                    reply()(self, sock, message)


def send_long_body(program, text, done):
    """Sends a request with a long body in chunks, as fast as the node takes it."""
    with program.connect() as sock, contextlib.suppress(OSError):
        sock.sendall(request("pay", ident="long", extra="Transfer-Encoding: chunked\r\n"))
        for _ in range(LONG_BODY_BYTES // len(text)):
            sock.sendall(text)
    done.set()


def read_long_answer(program, text, done):
    """Reads an answer with a long body in chunks, as fast as the node passes it on."""
    with program.connect() as sock, sock.makefile("rb") as source, contextlib.suppress(OSError):
        sock.sendall(request(ident="long", path="/long"))
        read_head(source)
        while sock.recv(1 << 18).find(LAST_CHUNK, -len(LAST_CHUNK)) < 0:
            pass
    done.set()


@pytest.mark.parametrize("exchange", [send_long_body, read_long_answer])
@each_text
def test_other_requests_answered_in_time_beside_a_long_chunked_body(start, text, exchange):
    """Guards against an event loop that is held up by the text or the chunks of one long body."""
    program, _, _ = start(LongBackend(text), LongBackend(text))
    done, waited = threading.Event(), []
    long_client = threading.Thread(target=exchange, args=(program, text, done))
    long_client.start()
    while not done.is_set():
        asked_at = time.monotonic()
        assert program.ask(request(ident=str(len(waited)), timeout=TIMEOUT_MS)).status in ("200", "503")
        waited.append(time.monotonic() - asked_at)
        time.sleep(0.02)
    long_client.join()
    assert max(waited) <= LATEST_ANSWER_S
