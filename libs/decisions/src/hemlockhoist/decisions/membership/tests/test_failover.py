import unittest

from hemlockhoist.decisions.membership.tests.fleet import Fleet


class FailoverTests(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(8)
        self.fleet.run(10_000)
        self.home = self.fleet.host(0).homes("hall", 0)[0].address
        self.number = [m.address for m in self.fleet.members].index(self.home)
        self.watcher = (self.number + 1) % 8

    def _home_at(self, number):
        return self.fleet.host(number).homes("hall", 0)[0].address

    def _others(self):
        return [n for n in range(8) if n != self.number]

    def test_pool_stands_still_while_a_dead_home_is_only_suspect(self):
        """
        The home of a pool is killed. Its address refuses connections at once, but a
        probe has to come round to it and a suspicion has to run out: callers of the
        whole pool waited 5 s, and some were refused.
        """
        self.fleet.stop(self.number)
        watcher = self.fleet.host(self.watcher)
        watcher.report_connection_refused(self.home, self.fleet.now_ms)
        self.assertNotEqual(self._home_at(self.watcher), self.home)
        self.fleet.run(3_000)
        for number in self._others():
            self.assertNotIn(self.home, self.fleet.live_at(number))

    def test_pool_stands_still_while_a_frozen_home_is_waited_for(self):
        """
        The home of a pool is frozen and answers no question. The entry host that asks
        reports it, and every other host names the next home in the same moment, or
        the pool would wait for a probe to come round.
        """
        self.fleet.frozen.add(self.home)
        watcher = self.fleet.host(self.watcher)
        outgoing = watcher.report_unresponsive(self.home, self.fleet.now_ms)
        self.fleet.carry(self.fleet.members[self.watcher].address, outgoing)
        names = {self._home_at(number) for number in self._others()}
        self.assertEqual(len(names), 1)
        self.assertNotIn(self.home, names)

    def test_slow_home_is_not_moved_to_and_fro(self):
        """
        A home is busy and misses two questions. It refutes the suspicion and has its
        pools back; the next report within seconds changes nothing.
        """
        watcher = self.fleet.host(self.watcher)
        outgoing = watcher.report_unresponsive(self.home, self.fleet.now_ms)
        self.fleet.carry(self.fleet.members[self.watcher].address, outgoing)
        self.fleet.run(2_000)
        self.assertEqual(self._home_at(self.watcher), self.home)
        again = watcher.report_unresponsive(self.home, self.fleet.now_ms)
        self.assertEqual(again, [])
        self.assertEqual(self._home_at(self.watcher), self.home)

    def test_host_wrongly_reported_as_refusing_comes_back(self):
        """A live host that was called gone refutes it and is home again."""
        watcher = self.fleet.host(self.watcher)
        watcher.report_connection_refused(self.home, self.fleet.now_ms)
        self.fleet.run(20_000)
        self.assertEqual(self._home_at(self.watcher), self.home)

    def test_with_every_home_suspect_one_is_still_named(self):
        """A host that hears nobody keeps naming homes; it may be cut off itself."""
        watcher = self.fleet.host(self.watcher)
        for member in self.fleet.members:
            watcher.report_unresponsive(member.address, self.fleet.now_ms)
        self.assertTrue(watcher.homes("hall", 0))
