"""Checks that each byte which a caller received is of a run of its request."""

from hemlockhoist.standins.published.soak.answer_ends import AnswerEnd

_RECEIPT = "receipt-of-"
_SEPARATOR = b"\n\n"
# What each head of an answer begins with, and no body of this run does.
_HEAD_BEGIN = b"HTTP/1."
_QUOTED_BYTES = 200


def find_body_violations(calls, executions, surplus):
    """Return the bodies, whole or in part, that no run of their request has sent.

    A stream is a run of whole events from the first, as hosts pass on whole events only.
    A plain body is that of one run, or a begin of it if the answer visibly broke off or a
    replica has ended it too early.

    Parameters
    ==========
    calls : iterable of Call
    executions : dict of str to list of Execution
        The executions of each call, by its attempt id.
    surplus : list of bytes
        What arrived on callers' connections and belongs to no answer.

    Returns
    =======
    (list of str, dict of str to int)
        The count of each kind of body that was compared, and of those whose run has
        sent a second answer beside its own.
    """
    violations = [f"bytes of no answer: {data[:_QUOTED_BYTES]}" for data in surplus]
    counts = dict.fromkeys(
        ("stream bodies", "plain bodies", "broken bodies", "bodies beside others"), 0
    )
    for call in calls:
        if not call.body:
            continue
        found = executions.get(call.attempt_id, [])
        problem = _find_problem(call, found)
        if problem is not None:
            violations.append(f"{problem}: {_describe(call, found)}")
        is_stream = call.status == 200 and call.kind.is_stream
        counts["stream bodies" if is_stream else "plain bodies"] += 1
        counts["broken bodies"] += call.end.is_visible_break
        counts["bodies beside others"] += any(item.received.beside for item in found)
    return violations, counts


def _find_problem(call, executions):
    """Return what is wrong with a body, or None."""
    if not call.receipt and call.status != 200:
        # A host's own answer.
        is_foreign = _HEAD_BEGIN in call.body
        return "head of an answer within a host's own" if is_foreign else None
    if call.kind.is_stream and call.status == 200:
        return _find_stream_problem(call, executions)
    return _find_plain_problem(call, executions)


def _find_stream_problem(call, executions):
    *events, rest = call.body.split(_SEPARATOR)
    sent = {part for item in executions for part in item.received.sent}
    for number, event in enumerate(events, 1):
        if not event.startswith(b"id: %d\n" % number):
            return f"stream with another event than {number} in its place"
        if event + _SEPARATOR not in sent:
            return f"stream with an event {number} that no run has sent"
    return "stream with a part of an event" if rest else None


def _find_plain_problem(call, executions):
    runs = [
        item.received
        for item in executions
        if call.receipt == _RECEIPT + item.received.replica_id
    ]
    for received in runs:
        sent = b"".join(received.sent)
        if call.body == sent:
            return None
        is_cut = call.end is AnswerEnd.CLOSED and received.is_cut
        if (call.end.is_visible_break or is_cut) and sent.startswith(call.body):
            return None
    return "plain body that no run with its receipt has sent"


def _describe(call, executions):
    """Return a call with its body, and the second answers of its runs."""
    runs = [
        f"{item.received.replica_id} sent {len(item.received.sent)} parts, "
        f"beside them {[data[:_QUOTED_BYTES] for data in item.received.beside]}"
        for item in executions
    ]
    return (
        f"{call.attempt_id}: {call.kind.path} at {call.host}, {call.sent_s:.3f} to "
        f"{call.ended_s:.3f} s, {call.status}, {call.end.value}: "
        f"{call.body[-_QUOTED_BYTES:]}: runs {runs}"
    )
