"""Check that accepted declarations are in force at all hosts in time."""

import asyncio

import aiohttp

from hemlockhoist.standins.operator_client import OperatorRequestFailed

# Declared time from the acceptance of declarations until they are in force everywhere.
IN_FORCE_S = 13.0
# A host that was suspended or just started gets this much longer.
RECOVERY_S = 3.0
CHECK_INTERVAL_S = 0.5
STATUS_TIMEOUT_S = 1.0


class VersionsInForce:
    """Follows each accepted version until all hosts have it or a newer one.

    Parameters
    ==========
    fleet : Fleet
    operator : OperatorClient

    Attributes
    ==========
    violations : list of str
    checked_count : int
        Hosts that were found to have a version in time.
    """

    __slots__ = ("_fleet", "_operator", "_tasks", "checked_count", "violations")

    def __init__(self, fleet, operator):
        self._fleet = fleet
        self._operator = operator
        self._tasks = set()
        self.violations = []
        self.checked_count = 0

    def follow(self, version):
        """Start to follow a version that has been accepted."""
        self._tasks.add(asyncio.create_task(self._follow(version)))

    async def finish(self):
        """Wait until all versions have been followed to their end."""
        await asyncio.gather(*self._tasks)

    async def _follow(self, version):
        loop = asyncio.get_running_loop()
        end_s = loop.time() + IN_FORCE_S
        lagging = set(self._fleet.host_addresses())
        while lagging and loop.time() < end_s:
            await asyncio.sleep(CHECK_INTERVAL_S)
            lagging = await self._find_lagging(lagging, version)
        if lagging:
            await asyncio.sleep(RECOVERY_S)
        for address in lagging:
            known = await self._version_at(address)
            if known is not None and known < version:
                self.violations.append(
                    f"version {version} is not in force at {address} after "
                    f"{IN_FORCE_S + RECOVERY_S:.0f} s: {known}"
                )

    async def _find_lagging(self, addresses, version):
        running = addresses & set(self._fleet.host_addresses())
        found = await asyncio.gather(*(self._version_at(item) for item in running))
        lagging = {
            address
            for address, known in zip(running, found, strict=True)
            if known is None or known < version
        }
        self.checked_count += len(running) - len(lagging)
        return lagging

    async def _version_at(self, address):
        """Return the version in force at a host, or None if it does not answer."""
        try:
            async with asyncio.timeout(STATUS_TIMEOUT_S):
                status = await self._operator.status(address)
        except (OperatorRequestFailed, aiohttp.ClientError, OSError, TimeoutError):
            return None
        return status["declarations_version"]
