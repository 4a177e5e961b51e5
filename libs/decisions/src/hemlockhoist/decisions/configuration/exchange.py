"""Handlers of peers' messages about the configuration."""

import functools

import xxhash

from hemlockhoist.decisions.membership.records import Outgoing
from hemlockhoist.messages.configuration import (
    ConfigurationAck,
    ConfigurationContent,
    ConfigurationDigest,
    ConfigurationRequest,
    ConfigurationSummary,
    ConfigurationSummaryRequest,
    HaltedVersions,
)

# A request not answered within this time is sent again, to the next peer whose digest
# shows a newer version.
REQUEST_TIMEOUT_MS = 1_000


def collector_of(address, collectors):
    """Return the collector that ``address`` reports to, or None if there is none."""
    if not collectors:
        return None
    return max(
        collectors,
        key=lambda item: xxhash.xxh3_64_intdigest(f"{address}\n{item}".encode()),
    )


@functools.singledispatch
def respond(message, state, now_ms):
    """Process a peer's message and return the resulting ``Outgoing`` messages."""
    raise NotImplementedError(type(message))


@respond.register
def _(message: ConfigurationDigest, state, now_ms):
    outgoing = []
    if message.version > state.version:
        outgoing += _request_content(state, message, now_ms)
    if message.is_current and message.reply_to:
        state.record_confirmation(message.reply_to, message.version)
    if message.wants_reply or message.version < state.version:
        answer = state.digest(False, now_ms, message.number)
        outgoing.append(Outgoing(message.address, answer))
    if message.halted_hash != state.halted.hash:
        outgoing += state.halted_messages([message.address], state.halted.items())
    return outgoing


def _request_content(state, message, now_ms):
    version, requested_ms = state.requested
    if message.version <= version and now_ms - requested_ms < REQUEST_TIMEOUT_MS:
        return []
    state.requested = (message.version, now_ms)
    request = ConfigurationRequest(address=state.address, have_version=state.version)
    return [Outgoing(message.address, request)]


@respond.register
def _(message: ConfigurationRequest, state, now_ms):
    if state.version <= message.have_version:
        return []
    content = state.content.pack(state.current, message.have_version, state.address)
    return [Outgoing(message.address, content)]


@respond.register
def _(message: ConfigurationContent, state, now_ms):
    if message.version <= state.version:
        # The peer was partitioned and sends an old version, or a later message arrived
        # first. Applying this one would revert the configuration here.
        return []
    declarations = state.content.unpack(message, state.current)
    if declarations is None:
        request = ConfigurationRequest(address=state.address, have_version=0)
        return [Outgoing(message.address, request)]
    return state.apply_if_newer(declarations, now_ms)


@respond.register
def _(message: HaltedVersions, state, now_ms):
    return state.gossip_halted(state.halted.merge(message.halted))


@respond.register
def _(message: ConfigurationAck, state, now_ms):
    state.acknowledgements.on_ack(message)
    return []


@respond.register
def _(message: ConfigurationSummaryRequest, state, now_ms):
    return [Outgoing(message.address, state.summary())]


@respond.register
def _(message: ConfigurationSummary, state, now_ms):
    state.acknowledgements.on_summary(message)
    return []
