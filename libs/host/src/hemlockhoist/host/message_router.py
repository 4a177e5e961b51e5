"""Routes messages of peers to the services of a host by message type."""

import functools

from hemlockhoist.messages import (
    ColdUpstream,
    ConfigurationAck,
    ConfigurationContent,
    ConfigurationDigest,
    ConfigurationRequest,
    ConfigurationSummary,
    ConfigurationSummaryRequest,
    EvacuatedDomain,
    FeedAnswer,
    FeedQuestion,
    FirstToken,
    GrantCancel,
    GrantQueued,
    GrantRefusal,
    GrantRelease,
    GrantReply,
    GrantRequest,
    HaltedVersions,
    Handover,
    HandoverAck,
    HeldGrantIds,
    HeldGrants,
    HomeClosed,
    HomeTakeover,
    KeyLookup,
    LeftUpstream,
    LookupReply,
    MembersPage,
    MembersRequest,
    MoveAnnounced,
    NotHome,
    PartRecords,
    PlacementQuery,
    PlacementReply,
    Probe,
    ProbeAck,
    ProbeRequest,
    StreamTaken,
    UpstreamLost,
    UpstreamReached,
    VersionHalted,
)


class MessageRouter:
    """Passes messages to the services of a host once it is open.

    The peer socket is opened before the services exist, since its address is part of
    the host's identity. Messages that arrive until then are dropped, as if lost.
    """

    __slots__ = ("_context",)

    def __init__(self):
        self._context = None

    def open(self, context):
        """Start passing messages on.

        Parameters
        ==========
        context : HostContext
        """
        self._context = context

    def on_message(self, sender, message, late_ms):
        """Handle a message from a peer or from this host itself."""
        if self._context is not None:
            _handle(message, self._context, sender, late_ms)

    def news(self):
        """Return what this host knows of the store's tables, or None."""
        return self._context.feeds.news() if self._context is not None else None

    def on_news(self, sender, news):
        """Handle what a peer knows of the store's tables."""
        if self._context is not None:
            self._context.feeds.on_news(sender, news)

    def on_connection_lost(self, host_id):
        """Handle the end of a connection to a peer."""
        if self._context is not None:
            self._context.fleet.on_connection_lost(host_id)


@functools.singledispatch
def _handle(message, context, sender, late_ms):
    """Pass a message to the service that handles its type."""
    raise TypeError(type(message).__name__)


@_handle.register
def _(message: GrantRequest, context, sender, late_ms):
    context.homes.on_request(sender, message, late_ms)


@_handle.register(GrantReply)
@_handle.register(GrantRefusal)
@_handle.register(GrantQueued)
@_handle.register(NotHome)
def _(message, context, sender, late_ms):
    context.grants.on_message(message, late_ms, sender)


@_handle.register
def _(message: GrantCancel, context, sender, late_ms):
    home = context.homes.find(message.pool, message.is_alone)
    if home is not None:
        home.on_cancel(message)


@_handle.register
def _(message: FirstToken, context, sender, late_ms):
    home = context.homes.find(message.pool, message.is_alone)
    if home is not None:
        home.on_first_token(message, late_ms)


@_handle.register
def _(message: GrantRelease, context, sender, late_ms):
    home = context.homes.find(message.pool, message.is_alone)
    if home is not None:
        home.on_release(message, late_ms)


@_handle.register
def _(message: UpstreamLost, context, sender, late_ms):
    home = context.homes.find(message.pool, message.is_alone)
    if home is not None:
        home.on_upstream_lost(message)


@_handle.register
def _(message: UpstreamReached, context, sender, late_ms):
    for home in context.homes.all_for_pool(message.pool):
        home.on_upstream_reached(message.upstream_id)


@_handle.register
def _(message: HomeTakeover, context, sender, late_ms):
    report = context.grants.report_held(message.pool, message.home_incarnation, sender)
    context.bus.send(sender, report)


@_handle.register
def _(message: HomeClosed, context, sender, late_ms):
    home = context.homes.find(message.pool)
    if home is not None:
        home.on_predecessor_closed(message)


@_handle.register
def _(message: HeldGrants, context, sender, late_ms):
    for home in context.homes.all_for_pool(message.pool):
        home.on_held_grants(sender, message)


@_handle.register
def _(message: HeldGrantIds, context, sender, late_ms):
    home = context.homes.find(message.pool)
    if home is not None:
        home.on_held_ids(sender, message)


@_handle.register
def _(message: FeedQuestion, context, sender, late_ms):
    context.feeds.on_query(sender, message)


@_handle.register
def _(message: FeedAnswer, context, sender, late_ms):
    context.feeds.on_answer(message)


@_handle.register
def _(message: LeftUpstream, context, sender, late_ms):
    context.store_view.on_upstream_left(message.upstream_id, message.version)


@_handle.register
def _(message: EvacuatedDomain, context, sender, late_ms):
    context.store_view.on_domain_evacuated(message.failure_domain, message.version)


@_handle.register
def _(message: ColdUpstream, context, sender, late_ms):
    cold_ms = max(0, message.cold_ms - late_ms)
    context.store_view.on_upstream_cold(message.upstream_id, message.version, cold_ms)


@_handle.register
def _(message: MoveAnnounced, context, sender, late_ms):
    context.moves.on_announced(message)


@_handle.register
def _(message: VersionHalted, context, sender, late_ms):
    context.moves.on_halted(message)


@_handle.register
def _(message: PartRecords, context, sender, late_ms):
    context.quarantine.merge(message.records)


@_handle.register
def _(message: PlacementQuery, context, sender, late_ms):
    context.placement_queries.on_query(sender, message, late_ms)


@_handle.register
def _(message: PlacementReply, context, sender, late_ms):
    context.placement_queries.on_reply(message)


@_handle.register
def _(message: StreamTaken, context, sender, late_ms):
    context.stream_readers.on_message(message)


@_handle.register(KeyLookup)
@_handle.register(LookupReply)
@_handle.register(Handover)
@_handle.register(HandoverAck)
def _(message, context, sender, late_ms):
    context.ledger.on_message(sender, message)


@_handle.register(Probe)
@_handle.register(ProbeAck)
@_handle.register(ProbeRequest)
@_handle.register(MembersRequest)
@_handle.register(MembersPage)
def _(message, context, sender, late_ms):
    context.fleet.on_message(message)


@_handle.register(ConfigurationAck)
@_handle.register(ConfigurationContent)
@_handle.register(ConfigurationDigest)
@_handle.register(ConfigurationRequest)
@_handle.register(ConfigurationSummary)
@_handle.register(ConfigurationSummaryRequest)
@_handle.register(HaltedVersions)
def _(message, context, sender, late_ms):
    context.configuration.on_message(message)
