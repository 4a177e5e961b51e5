"""What a pool's home would answer to a request, from all that it checks."""

from hemlockhoist.decisions.scheduling import Placement, PlacementDryRun, StateCopy
from hemlockhoist.host.gates import AllowAllGate
from hemlockhoist.messages import PlacementReport


def dry_run_request(request, pool, scheduler, gate, kept_back, now_ms):
    """Return the ``PlacementReport`` of a request, without any effect.

    The steps are those of ``PoolHome.on_request``. The gate and the scheduler decide on
    copies of their state.

    Parameters
    ==========
    request : WorkRequest
        With an id that no other request has.
    pool : str
    scheduler : PoolScheduler
    gate : AllowAllGate
    kept_back : KeptBack or None
        Why the request must not be sent for a part of its prompt.
    now_ms : int

    Raises
    ======
    StateTooLarge
    """
    if kept_back is not None:
        return _refused(kept_back.code, kept_back.retry_after_ms, kept_back.reason)
    state_copy = StateCopy((AllowAllGate,))
    refusal = state_copy.of(gate).refusal(pool, request, now_ms)
    if refusal is not None:
        return _refused(refusal.code, refusal.retry_after_ms, refusal.reason)
    dry_run = PlacementDryRun.from_scheduler(scheduler, state_copy)
    return dry_run.run(request, now_ms)


def _refused(code, retry_after_ms, reason):
    return PlacementReport(
        outcome=Placement.REFUSED.value,
        code=int(code),
        retry_after_ms=retry_after_ms,
        reason=reason,
    )
