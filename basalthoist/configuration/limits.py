"""The `limits` of a node's file, with types and defaults."""

from typing import Annotated

import msgspec

from .reading import Count, Positive


class Limits(msgspec.Struct, frozen=True):
    """Resource limits and timeouts of a node: sizes in bytes (`_mb`: megabytes), times in seconds, `_part` a
    fraction of 1.

    `sockets` (file descriptors), `memory_mb` and `cores` are what the machine provides."""

    cores: Positive = 1.0
    memory_mb: Positive = 192
    sockets: Annotated[int, msgspec.Meta(ge=64)] = 1024
    reserve: Count = 48  # descriptors for listener, discovery, log, event loop and closing connections
    # Part of the other descriptors that is not available to clients, but reserved for backends.
    upstream_part: Annotated[float, msgspec.Meta(gt=0, lt=1)] = 0.3
    head_bytes: Count = 16 * 1024
    head_fields: Count = 256  # maximum number of header fields of a request
    body_bytes: Count = 64 * 1024  # Bodies up to this size are buffered, longer ones are streamed.
    long_bytes: Count = 40 * 1024 * 1024  # Longer bodies are rejected.
    list_bytes: Count = 4 * 1024 * 1024  # maximum size of an endpoint list
    log_lines_per_s: Count = 20
    backlog: Count = 512
    admin_line_s: Positive = 5.0  # time for a caller of the admin interface to complete its line
    client_idle_s: Positive = 120.0  # idle timeout of a client's connection between requests
    # Maximum part of the descriptors for idle clients.
    client_kept_part: Annotated[float, msgspec.Meta(gt=0, lt=1)] = 0.2
    client_fresh_s: Positive = 0.1  # age up to which a connection is expected to send its first request
    client_first_s: Positive = 2.6  # timeout from connecting to the end of the first request
    client_read_s: Positive = 2.6  # timeout from the first byte of a request to the last
    # Minimum rate of a request body: the body received so far extends both timeouts above.
    client_bytes_per_s: Positive = 60_000
    client_stall_s: Positive = 10.0  # timeout of a response of which the client reads nothing
    client_close_s: Positive = 1.0  # time for a client to close after the last response
    client_errors: Count = 8  # number of faulty requests that ends a connection
    client_transit_s: Annotated[float, msgspec.Meta(ge=0)] = 0.001  # assumed travel time of a request
    # An idle connection to a backend is kept for this part of the backend's keep-alive timeout.
    upstream_idle_part: Annotated[float, msgspec.Meta(gt=0, lt=1)] = 0.5
    # Minimum pause between two requests on a connection to a backend.
    upstream_rest_s: Annotated[float, msgspec.Meta(ge=0)] = 0.001
    connect_s: Positive = 1.0  # connect timeout if the settings give none
    probe_s: Positive = 0.1  # timeout of a health check
    first_list_s: Positive = 0.3  # how long `/ready` waits for discovery before `known` is used
    # A response of unknown length is buffered for this long from its first bytes, then streamed.
    answer_hold_s: Positive = 0.005
    stream_silent_s: Positive = 15.0  # timeout of a response that began and stopped
    watch_silent_s: Positive = 4.2  # maximum time without a complete message; two heartbeats fit in it
    watch_told_s: Positive = 6.0  # maximum time to learn of a change once discovery is reachable
    watch_moved_s: Positive = 4.0  # the same at a new address of discovery, counted from SIGHUP
    watch_retry_s: Positive = 0.4  # first retry delay of discovery; doubles, with a jitter of +-50 %
    watch_retry_most_s: Positive = 2.0  # maximum retry delay; a quarter of it if lists are pushed
    # Discovery's processing time for one line of the list, for settings in which polls load discovery.
    watch_line_s: Annotated[float, msgspec.Meta(ge=0)] = 0.008
    linger_s: Positive = 0.55  # New connections are still accepted for this long after SIGTERM.
    kill_after_s: Positive = 0.7  # SIGKILL may follow SIGTERM after the longest deadline plus this.
    kill_margin_s: Positive = 0.3  # All requests are answered this long before SIGKILL.
    bind_s: Positive = 5.0  # how long a predecessor may still occupy the listening address
    succession_s: Positive = 2.0  # timeout of the handover from a predecessor
