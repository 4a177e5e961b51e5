import unittest

from hemlockhoist.decisions.membership.tests.fleet import Fleet


class FailoverTests(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(8)
        self.fleet.run(10_000)
        self.home = self.fleet.host(0).homes("hall", 0)[0].address
        self.number = [m.address for m in self.fleet.members].index(self.home)
        self.observer = (self.number + 1) % 8

    def _home_at(self, number):
        return self.fleet.host(number).homes("hall", 0)[0].address

    def _others(self):
        return [n for n in range(8) if n != self.number]

    def test_dead_home_is_replaced_when_a_connection_is_refused(self):
        """Guards against callers of a whole pool waiting 5 s for a dead home.

        The home of the pool is killed. Its address refuses connections at once, but by
        probes alone the next probe must reach it and the suspicion must time out.
        """
        self.fleet.stop(self.number)
        observer = self.fleet.host(self.observer)
        observer.report_connection_refused(self.home, self.fleet.now_ms)
        self.assertNotEqual(self._home_at(self.observer), self.home)
        self.fleet.run(3_000)
        for number in self._others():
            self.assertNotIn(self.home, self.fleet.live_at(number))

    def test_frozen_home_is_replaced_when_it_is_reported(self):
        """Guards against a pool waiting for the next probe of a frozen home.

        The entry host whose requests the home leaves unanswered reports it, and all
        other hosts choose the same next home at once.
        """
        self.fleet.frozen.add(self.home)
        observer = self.fleet.host(self.observer)
        outgoing = observer.report_unresponsive(self.home, self.fleet.now_ms)
        self.fleet.deliver(self.fleet.members[self.observer].address, outgoing)
        names = {self._home_at(number) for number in self._others()}
        self.assertEqual(len(names), 1)
        self.assertNotIn(self.home, names)

    def test_slow_home_does_not_flap(self):
        """Guards against pools that move back and forth because of a slow home.

        A busy home leaves two requests unanswered. It refutes the suspicion and is home
        again; another report within seconds changes nothing.
        """
        observer = self.fleet.host(self.observer)
        outgoing = observer.report_unresponsive(self.home, self.fleet.now_ms)
        self.fleet.deliver(self.fleet.members[self.observer].address, outgoing)
        self.fleet.run(2_000)
        self.assertEqual(self._home_at(self.observer), self.home)
        again = observer.report_unresponsive(self.home, self.fleet.now_ms)
        self.assertEqual(again, [])
        self.assertEqual(self._home_at(self.observer), self.home)

    def test_host_wrongly_reported_as_refusing_is_home_again(self):
        """A live host that was declared gone refutes it and is home again."""
        observer = self.fleet.host(self.observer)
        observer.report_connection_refused(self.home, self.fleet.now_ms)
        self.fleet.run(20_000)
        self.assertEqual(self._home_at(self.observer), self.home)

    def test_a_home_is_returned_when_every_host_is_suspect(self):
        """A host that reaches no other may be cut off, and still needs a home."""
        observer = self.fleet.host(self.observer)
        for member in self.fleet.members:
            observer.report_unresponsive(member.address, self.fleet.now_ms)
        self.assertTrue(observer.homes("hall", 0))
