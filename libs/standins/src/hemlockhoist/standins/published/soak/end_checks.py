"""Checks that no answer looks whole of which a part is missing."""

from hemlockhoist.standins.published.soak.answer_ends import AnswerEnd

_RECEIPT = "receipt-of-"


def find_end_violations(calls, executions, events):
    """Return the parts of answers that look whole, and how many ends were checked.

    An answer that states its end, by a last chunk or a length, is whole. One that ends
    with an orderly close of its connection states nothing, but is a part only if a
    replica has ended it too early: no break of a host looks like that.

    Parameters
    ==========
    calls : iterable of Call
    executions : dict of str to list of Execution
        The executions of each call, by its attempt id.
    events : int
        Number of events of a whole stream.

    Returns
    =======
    (list of str, dict of str to int)
        The count of each kind of end.
    """
    violations, counts = [], {"stated ends": 0, "closed ends": 0, "closed parts": 0}
    for call in calls:
        is_ended = call.end.is_stated or call.end is AnswerEnd.CLOSED
        if call.status != 200 or not is_ended:
            continue
        found = executions.get(call.attempt_id, [])
        is_whole = _is_whole(call, found, events)
        if call.end.is_stated:
            counts["stated ends"] += 1
            problem = f"part of an answer with a stated end ({call.end.value})"
        else:
            counts["closed ends"] += 1
            counts["closed parts"] += not is_whole
            is_cut = any(execution.received.is_cut for execution in found)
            is_whole |= is_cut and _is_part(call, found, events)
            problem = "part of an answer that no replica has cut looks whole"
        if not is_whole:
            violations.append(f"{problem}: {call.attempt_id}: {call.body[-60:]}")
    return violations, counts


def _is_whole(call, executions, events):
    if call.kind.is_stream:
        return call.body == whole_stream(events)
    return any(
        call.body.startswith(body) and not call.body[len(body) :].strip(b"x")
        for body in _plain_bodies(call, executions)
    )


def _is_part(call, executions, events):
    """Return whether an answer is the begin of a whole one, and of no other request."""
    if call.kind.is_stream:
        return whole_stream(events).startswith(call.body)
    bodies = _plain_bodies(call, executions)
    return any(body.startswith(call.body) for body in bodies)


def _plain_bodies(call, executions):
    return [
        f"answer of {item.received.replica_id} to {item.received.target}".encode()
        for item in executions
        if call.receipt == _RECEIPT + item.received.replica_id
    ]


def whole_stream(events):
    """Return the body of a whole stream."""
    return b"".join(
        b"id: %d\ndata: piece %d\n\n" % (number, number)
        for number in range(1, events + 1)
    )
