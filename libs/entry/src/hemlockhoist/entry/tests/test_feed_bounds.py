"""Times from the confirmation of a change until all hosts have it, beside disturbances."""

from hemlockhoist.entry.tests.feed_disturbances import PLAY_S, Disturbances
from hemlockhoist.entry.tests.feed_fleet import FeedFleetCase

# Messages of each host; a probe and its answer are four a second.
MAX_SENT_PER_S = 40
REJECTIONS = (Disturbances.reject,)
REJECTIONS_OF_FROZEN_FLEETS = (Disturbances.reject, Disturbances.freeze)
SLOW_STORES = (
    Disturbances.slow_down,
    Disturbances.drop_history,
    Disturbances.reject,
)
RETURNING_STORES = (
    Disturbances.go_away,
    Disturbances.silence_connections,
    Disturbances.slow_down,
    Disturbances.drop_history,
)
ALL_KINDS = (
    Disturbances.reject,
    Disturbances.reject,
    Disturbances.slow_down,
    Disturbances.drop_history,
    Disturbances.freeze,
    Disturbances.silence_connections,
    Disturbances.go_away,
)


class FeedBoundsCase(FeedFleetCase):
    """Plays one fleet after the other, each with other disturbances."""

    domains = "abcd"
    in_force_s = 2.0

    async def check_changes_in_force(self, kinds, seeds, count=3):
        for seed in seeds:
            with self.subTest(seed=seed):
                await self.close_hosts()
                await self.start_hosts()
                disturbances = Disturbances(self, seed, self.in_force_s)
                await disturbances.play(kinds, count)
                self.assertEqual(disturbances.late_hosts(), [])
                self.assertGreater(len(disturbances.confirmed_s), 10)
                # Hosts that follow one another must not answer each other without end.
                sent_per_s = self.network.sent_count / PLAY_S / self.host_count
                self.assertLess(sent_per_s, MAX_SENT_PER_S)


class SmallFleetBoundsTests(FeedBoundsCase):
    """Hosts that all read the store themselves."""

    host_count = 8

    async def test_changes_are_in_force_where_the_store_rejects_hosts(self):
        """Guards against rejected hosts that hear of a change only by chance."""
        await self.check_changes_in_force(REJECTIONS, range(24))

    async def test_changes_are_in_force_where_others_are_frozen_too(self):
        """Guards against a rejected host that follows one that does not answer."""
        await self.check_changes_in_force(REJECTIONS_OF_FROZEN_FLEETS, range(24))

    async def test_changes_are_in_force_beside_a_slow_store(self):
        """Guards against slow answers that are waited for one after the other."""
        await self.check_changes_in_force(SLOW_STORES, range(24))

    async def test_changes_are_in_force_as_the_store_returns(self):
        """Guards against hosts that all wait for calls of before the store's return."""
        await self.check_changes_in_force(RETURNING_STORES, range(24))

    async def test_changes_are_in_force_as_a_slow_store_returns_without_history(self):
        """Guards against an answer that the history is gone, which comes late."""
        await self.check_changes_in_force(ALL_KINDS, (1015, 1068, 1106), 4)


class LargeFleetBoundsTests(FeedBoundsCase):
    """Hosts that follow two or four readers."""

    host_count = 14
    in_force_s = 3.0

    async def test_changes_are_in_force_where_the_store_rejects_hosts(self):
        """Guards against followers of rejected readers."""
        await self.check_changes_in_force(REJECTIONS_OF_FROZEN_FLEETS, range(8))

    async def test_changes_are_in_force_as_the_store_returns(self):
        """Guards against hosts that all wait for calls of before the store's return."""
        await self.check_changes_in_force(RETURNING_STORES, range(8))

    async def test_changes_are_in_force_where_a_slow_store_serves_followers_only(self):
        """Guards against followers that wait for readers which hear nothing."""
        for domains, seeds in (("abcd", (131,)), ("ab", (1, 7, 18, 26))):
            self.domains = domains
            await self.check_changes_in_force(ALL_KINDS, seeds, 4)
