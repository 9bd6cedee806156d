"""Parses and encodes the lines of JSON-RPC 2.0: calls and responses. Does no I/O.

Parameters, results and ids are forwarded as the received bytes, without decoding.
"""

from typing import Annotated, Any, NamedTuple

import msgspec

PARSE_ERROR = -32700
INVALID_REQUEST = -32600
METHOD_NOT_FOUND = -32601
INVALID_PARAMS = -32602
INTERNAL_ERROR = -32603
SERVER_ERRORS = range(-32099, -31999)
SHED = -32000
FAILED = -32001
TIMED_OUT = -32002
TOO_MANY = -32003
ERROR_MESSAGES = {
    PARSE_ERROR: "Parse error",
    INVALID_REQUEST: "Invalid Request",
    METHOD_NOT_FOUND: "Method not found",
    INVALID_PARAMS: "Invalid params",
    SHED: "Shed, trying again is harmless",
    FAILED: "Failed, may have run",
    TIMED_OUT: "Timed out, may have run",
    TOO_MANY: "Too many calls in one batch",
}
UNSET = msgspec.Raw(b"")


class JsonRpcCall(msgspec.Struct):
    """A call from a client. The fields are the keys on the wire."""

    jsonrpc: str
    method: str
    params: msgspec.Raw = UNSET
    id: msgspec.Raw = UNSET  # unset: a notification


class LoadReport(msgspec.Struct):
    """A backend's load report."""

    in_flight: Annotated[float, msgspec.Meta(ge=0)] = msgspec.field(name="inflight")


class JsonRpcResponse(msgspec.Struct):
    """A response from a backend. `load` is an extension that corresponds to `Server-Load` over HTTP."""

    jsonrpc: str
    id: str
    result: msgspec.Raw = UNSET
    error: msgspec.Raw = UNSET
    load: LoadReport | None = None


class JsonRpcError(msgspec.Struct):
    """The member `error` of a response."""

    code: int
    message: str
    data: Any = None


class BackendResponse(NamedTuple):
    """A backend's response, expressed as an HTTP status and body."""

    status: int
    never_started: bool
    member: bytes  # `result` or `error`, as written to the client
    in_flight: float | None  # from the backend's load report


class InvalidCallError(Exception):
    """A call is invalid. Has the error code to answer, and the call's id, or `null` if none could be read."""

    def __init__(self, code: int, call_id: bytes = b"null") -> None:
        super().__init__(ERROR_MESSAGES[code])
        self.code: int = code
        self.call_id: bytes = call_id


CALL_DECODER = msgspec.json.Decoder(JsonRpcCall)
RESPONSE_DECODER = msgspec.json.Decoder(JsonRpcResponse)
ERROR_DECODER = msgspec.json.Decoder(JsonRpcError)
RAW_DECODER = msgspec.json.Decoder(msgspec.Raw)
BATCH_DECODER = msgspec.json.Decoder(list[msgspec.Raw])
MEMBERS_DECODER = msgspec.json.Decoder(dict[str, msgspec.Raw])


def split_batch(line: bytes) -> tuple[bool, list[bytes]]:
    """Returns whether a line is a batch, and the text of each call. Raises InvalidCallError."""
    try:
        # The complete line is checked first: otherwise a batch with a later syntax error would run in part.
        text = bytes(RAW_DECODER.decode(line)).strip()
        line.decode("utf-8")
        if not text.startswith(b"["):
            return False, [text]
        calls = [bytes(item) for item in BATCH_DECODER.decode(line)]
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError):
        raise InvalidCallError(PARSE_ERROR) from None
    if not calls:
        raise InvalidCallError(INVALID_REQUEST)
    return True, calls


def parse_call(text: bytes) -> JsonRpcCall:
    """Decodes and checks one call. Raises InvalidCallError."""
    try:
        members = MEMBERS_DECODER.decode(text)
    except (msgspec.DecodeError, RecursionError):
        raise InvalidCallError(INVALID_REQUEST) from None
    call_id = bytes(members.get("id", UNSET)).strip()
    is_valid_id = call_id[:1] == b'"' or call_id[:1].isdigit() or call_id[:1] == b"-"
    if not is_valid_id and call_id not in (b"", b"null"):
        raise InvalidCallError(INVALID_REQUEST)
    try:
        call = CALL_DECODER.decode(text)
    except (msgspec.DecodeError, RecursionError):
        raise InvalidCallError(INVALID_REQUEST, call_id or b"null") from None
    if call.jsonrpc != "2.0":
        raise InvalidCallError(INVALID_REQUEST, call_id or b"null")
    params = bytes(call.params).strip()
    if params and params[:1] not in b"[{":
        raise InvalidCallError(INVALID_PARAMS if call_id else INVALID_REQUEST, call_id or b"null")
    return call


def encode_call(call_id: str, method: str, params: bytes) -> bytes:
    """Returns the line of a call to a backend, with an id assigned by this node."""
    params_member = b',"params":' + params if params else b""
    name = msgspec.json.encode(method)
    return b'{"jsonrpc":"2.0","id":"%b","method":%b%b}\n' % (call_id.encode(), name, params_member)


def encode_response(call_id: bytes, member: bytes) -> bytes:
    """Returns a response to a client. `member`: `result` or `error` with its key."""
    return b'{"jsonrpc":"2.0",%b,"id":%b}' % (member, call_id)


def encode_error_member(code: int, data: dict | None = None) -> bytes:
    """Returns the member `error` with its key."""
    error = {"code": code, "message": ERROR_MESSAGES[code]} | ({"data": data} if data else {})
    return b'"error":' + msgspec.json.encode(error)


def parse_response(line: bytes, expected_id: str) -> BackendResponse:
    """Parses a backend's response to the call `expected_id`.

    Raises ValueError for anything else: another call's response, a late response, invalid JSON.
    """
    try:
        response = RESPONSE_DECODER.decode(line)
        line.decode("utf-8")
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise ValueError(f"expected a JSON-RPC response: {error}") from None
    if response.jsonrpc != "2.0" or response.id != expected_id:
        raise ValueError(f"expected id {expected_id!r}, got {response.id!r}")
    result, error = bytes(response.result), bytes(response.error)
    if bool(result) == bool(error):
        raise ValueError("expected exactly one of result and error")
    in_flight = response.load.in_flight if response.load is not None else None
    if result:
        return BackendResponse(200, False, b'"result":' + result, in_flight)
    return parse_error(error, in_flight)


def parse_error(text: bytes, in_flight: float | None) -> BackendResponse:
    """Parses the member `error` of a backend's response. Raises ValueError if it is invalid."""
    try:
        error = ERROR_DECODER.decode(text)
    except (msgspec.DecodeError, RecursionError):
        raise ValueError("expected an error with code and message") from None
    member = b'"error":' + text
    if error.code in SERVER_ERRORS or error.code == INTERNAL_ERROR:
        never_started = isinstance(error.data, dict) and error.data.get("not_started") is True
        return BackendResponse(503 if never_started else 500, never_started, member, in_flight)
    return BackendResponse(200, False, member, in_flight)  # An error of the method itself is its response.
