"""Conversion of a request's description in a message to what decisions work on."""

from hemlockhoist.decisions import WorkRequest


def work_request(brief, entry_host, now_ms):
    """Return the request that a brief describes, with times on the home's clock.

    The brief's durations are counted from ``now_ms``.
    """
    waits_until_ms = None
    if brief.max_wait_ms is not None:
        waits_until_ms = now_ms + brief.max_wait_ms
    return WorkRequest(
        request_id=brief.request_id,
        route=brief.route,
        customer=brief.customer,
        tier_rank=brief.tier_rank,
        weight=brief.weight,
        max_in_flight=brief.max_in_flight,
        idempotent=brief.idempotent,
        prompt_tokens=brief.prompt_tokens,
        output_tokens=brief.output_tokens,
        prefix_hashes=brief.prefix_hashes,
        prefix_tokens=brief.prefix_tokens,
        deadline_ms=now_ms + brief.deadline_in_ms,
        first_token_by_ms=now_ms + brief.first_token_in_ms,
        waits_until_ms=waits_until_ms,
        max_gap_ms=brief.max_gap_ms,
        entry_host=entry_host,
        failure_domain=brief.failure_domain,
        run_number=brief.run_number,
        arrival_number=brief.arrival_number,
        units=brief.units,
        avoid=brief.avoid,
        is_new=brief.is_new,
        regions=brief.regions,
        parts=brief.parts,
        fingerprint=brief.fingerprint,
        is_hedge=brief.is_hedge,
        connected=brief.connected,
        is_stream=brief.is_stream,
    )
