"""All replicas of a service, or half of them, fail or turn requests away."""

from hemlockhoist.standins.published.behaviours import Behaviour
from hemlockhoist.standins.published.soak.callers import now_s

# How the replicas answer; each makes hosts send requests again.
_BEHAVIOURS = (
    Behaviour.FAILS,
    Behaviour.SHEDS,
    Behaviour.MISDIRECTED,
    Behaviour.RESETS,
)


class ServiceFaultKinds:
    """Lets services fail; a base of ``SoakFaults``, whose attributes it uses."""

    async def fail_service(self):
        """Let most replicas of a service answer none of their requests as they should."""
        begin_s, run = now_s(), self._run
        names = sorted(run.services)
        replicas = run.live_replicas(self._rng.choice(names))
        if any(item.behaviour is not Behaviour.NORMAL for item in replicas):
            return
        if self._rng.random() < 0.3:
            replicas = replicas[: len(replicas) // 2]
        behaviour = self._rng.choice(_BEHAVIOURS)
        for replica in replicas:
            replica.behaviour = behaviour
        await self._sleep_between(3.0, 12.0)
        for replica in replicas:
            replica.behaviour = Behaviour.NORMAL
        self._record_disturbance(begin_s)
