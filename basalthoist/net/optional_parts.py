"""Optional parts of a node. Each is built, and its modules are imported, only if it is configured."""

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from basalthoist.net.clients.front_end import DrainReason
from basalthoist.net.control.bans import VerdictSource
from basalthoist.net.runtime.timers import SECOND

if TYPE_CHECKING:
    from basalthoist.configuration import (
        DistributionDocument,
        FleetDocument,
        GatewayDocument,
        JsonRpcDocument,
    )
    from basalthoist.net.service import Service


def add_admin_interface(service: "Service") -> None:
    """Adds the admin interface, the maintenance of backends, and the handover to a successor process."""
    from basalthoist.net.control.admin import Admin
    from basalthoist.net.control.maintenance import Maintenance
    from basalthoist.net.control.operator_calls import OperatorCalls
    from basalthoist.net.lifecycle.handover import Handover
    from basalthoist.net.lifecycle.shared_ids import SharedIds

    configuration = service.configuration
    service.maintenance = Maintenance(
        configuration.folder, service.log, service.bans.set_local, service.disk_worker
    )
    service.discovery.on_names = service.maintenance.on_listed
    service.maintenance.read()
    service.operator_calls = operator_calls = OperatorCalls(service)
    calls = {
        "status": operator_calls.status,
        "standby": operator_calls.standby,
        "active": operator_calls.activate,
    }
    calls_by_id = {
        "maint-on": operator_calls.maintenance_call(True),
        "maint-off": operator_calls.maintenance_call(False),
    }
    service.admin = Admin(calls, calls_by_id, service.timers, service.log, service.limits.admin_line_s)
    if configuration.folder:
        service.handover = Handover(
            configuration.folder,
            configuration.name,
            configuration.listen,
            service.maintenance,
            service.loop,
            service.log,
            service.limits.succession_s,
        )
        service.shared_ids = SharedIds(service.handover, service.dispatcher, service.timers)
        service.handover.on_message = service.shared_ids.on_message
        service.handover.on_change = service.on_processes_changed


def add_gateway(service: "Service", document: "GatewayDocument") -> None:
    """Adds links to other sites."""
    from basalthoist.gateway.links import Links
    from basalthoist.gateway.sites import Bounds, Sites

    bounds = Bounds(
        silence_timeout=int(document.silent_s * SECOND),
        stable_time=int(document.steady_s * SECOND),
        offer_below=document.offer_under,
        end_from=document.enough_from,
        max_shed_share=document.shed_over,
        calm_time=int(document.calm_s * SECOND),
        help_share=document.help_part,
        max_links=document.most_lanes,
    )
    gateways = {site.name: [name for name, _ in site.named()] for site in document.sites}
    sites = Sites(gateways, bounds, service.log)
    zones = len(service.configuration.network_settings.zones)
    Links(document, sites, service.timers, service.upstream, service.dispatcher, zones, service.log)


def add_jsonrpc(service: "Service", document: "JsonRpcDocument") -> None:
    """Adds the JSON-RPC front end."""
    from basalthoist.jsonrpc.front_end import JsonRpcFrontEnd

    service.jsonrpc_front_end = JsonRpcFrontEnd(
        document,
        service.configuration,
        service.loop,
        service.timers,
        service.dispatcher,
        service.descriptors,
        service.log,
    )


def add_fleet(service: "Service", document: "FleetDocument") -> None:
    """Adds the node's replica of the fleet's register of verdicts."""
    from basalthoist.net.control.fleet import Fleet

    front_end = service.front_end
    service.fleet = Fleet(
        document,
        service.configuration,
        service.timers,
        service.log,
        service.bans,
        partial(service.block_tenants, VerdictSource.FLEET),
        service.dispatcher,
        drain_while_stale(service, DrainReason.FLEET),
        service.disk_worker,
        lambda: front_end.draining and not front_end.clients,
    )
    service.dispatcher.may_forward_requests = front_end.may_forward_requests = (
        service.fleet.may_forward_requests
    )
    if service.admin is not None:
        add_fleet_calls(service)


def add_fleet_calls(service: "Service") -> None:
    """Adds the operators' calls about the fleet to the admin interface."""
    admin = service.admin
    propose_verdict = service.operator_calls.propose_verdict
    admin.deferred_calls["fleet-status"] = service.fleet.status
    admin.calls["fleet-members"] = service.fleet.members_status
    admin.calls_by_id["fleet-on"] = partial(propose_verdict, ("ban",), True)
    admin.calls_by_id["fleet-off"] = partial(propose_verdict, ("ban", "sick"), False)
    admin.calls_by_id["fleet-shut-customer"] = partial(propose_verdict, ("customer",), True)
    admin.calls_by_id["fleet-let-customer"] = partial(propose_verdict, ("customer",), False)
    admin.calls_by_id["fleet-drop-quota"] = partial(propose_verdict, ("quota",), False)
    admin.calls_with_value["fleet-set-quota"] = service.operator_calls.set_quota


def add_distribution(service: "Service", document: "DistributionDocument") -> None:
    """Adds the subscriber of the distributed configuration."""
    from basalthoist.net.control.distribution import Distribution

    front_end = service.front_end
    service.distribution = distribution = Distribution(
        document,
        service.configuration,
        service.loop,
        service.timers,
        service.log,
        service.bans,
        partial(service.block_tenants, VerdictSource.CONFIGURATION),
        service.dispatcher,
        front_end,
        drain_while_stale(service, DrainReason.CONFIGURATION),
        service.disk_worker,
        service.descriptors,
    )
    fleet_allows = service.dispatcher.may_forward_requests
    service.dispatcher.may_forward_requests = front_end.may_forward_requests = (
        lambda: distribution.may_forward_requests() and fleet_allows()
    )
    if service.admin is not None:
        service.admin.calls["config-here"] = distribution.here
        service.admin.deferred_calls["config-status"] = distribution.status
        service.admin.calls_by_id["config-drop"] = distribution.drop
        service.admin.calls_with_value["config-set"] = distribution.set


def drain_while_stale(service: "Service", reason: DrainReason) -> Callable[[bool], None]:
    """Returns a callback that starts and stops draining the front end as a view becomes stale or current."""
    front_end = service.front_end

    def on_stale(stale: bool) -> None:
        if stale:
            front_end.start_draining(reason)
        else:
            front_end.stop_draining(reason)

    return on_stale


async def add_gossip(service: "Service", retry_bind: bool = False) -> None:
    """Adds gossip with peers, if it is enabled and configured.

    `retry_bind`: retries while the node's gossip address is in use.
    """
    configuration = service.configuration
    address = configuration.peer_listen
    if not configuration.network_settings.policy_limits.peers or address is None or not configuration.peers:
        return
    from basalthoist.net.control.gossip_socket import GossipSocket

    gossip = GossipSocket(
        configuration.peers, address, service.dispatcher.on_gossip, service.timers, service.log
    )
    try:
        if retry_bind:
            await service.bind_with_retries(lambda: service.open_datagrams(gossip, address))
        else:
            await service.open_datagrams(gossip, address)
        service.dispatcher.send_gossip = gossip.send
    except OSError as error:
        # A node that cannot gossip serves clients all the same.
        service.log(f"no gossip with peers: {error}")
