"""Timeouts of clients' connections, enforced by a periodic sweep over all connections."""

from typing import TYPE_CHECKING

from basalthoist.configuration import Limits
from basalthoist.net.runtime.descriptors import undelivered_bytes
from basalthoist.net.runtime.timers import SECOND

if TYPE_CHECKING:
    from basalthoist.net.clients.http_connection import HttpClientConnection

SWEEP_INTERVAL = SECOND // 4  # tenths of a millisecond


def enforce_timeouts(client: "HttpClientConnection", limits: Limits, at: int) -> None:
    """Closes the connection if it exceeds one of the timeouts. `at`: the time of the sweep."""
    if client.transport.is_closing():
        return
    has_unwritten = client.transport.get_write_buffer_size() > 0
    undelivered = undelivered_bytes(client.transport) if has_unwritten else 0
    # Guards against responses that are never read. A client that reads slowly is not cut off.
    if client.delivery.time_stalled(undelivered, at) > limits.client_stall_s * SECOND:
        return client.transport.abort()
    if has_unwritten:
        return
    # The bytes of a body that have arrived extend the time for the rest of it.
    body_allowance = int(client.reader.received_bytes / limits.client_bytes_per_s * SECOND)
    if client.request is not None:
        _enforce_upload_timeout(client, limits, at, body_allowance)
    else:
        _enforce_request_timeouts(client, limits, at, body_allowance)


def _enforce_upload_timeout(
    client: "HttpClientConnection", limits: Limits, at: int, body_allowance: int
) -> None:
    """Handles a connection with a request in progress, whose body may still be incomplete."""
    if client.reading.upload is None:
        return
    if client.reading.body_paused:
        # The backend delays the body, not the client.
        client.last_progress_at += SWEEP_INTERVAL
    elif at - client.last_progress_at > limits.client_read_s * SECOND + body_allowance:
        client.transport.abort()


def _enforce_request_timeouts(
    client: "HttpClientConnection", limits: Limits, at: int, body_allowance: int
) -> None:
    """Handles a connection with no request in progress: idle, with a partial request, or half-closed."""
    idle_time = at - client.last_progress_at
    # Guards against many clients that connect and send nothing, or never complete their first request.
    first_request_late = (
        not client.has_sent_request
        and at - client.connected_at > limits.client_first_s * SECOND + body_allowance
    )
    if client.reader.idle() and not client.write_buffer_full and not client.finished:
        if (first_request_late or idle_time > limits.client_idle_s * SECOND) and client.is_idle():
            client.close()
    elif client.finished:
        if idle_time > limits.client_close_s * SECOND:
            client.transport.abort()
    elif first_request_late or idle_time > limits.client_read_s * SECOND + body_allowance:
        # Guards against requests that are never completed and responses that are never read.
        client.time_out()
