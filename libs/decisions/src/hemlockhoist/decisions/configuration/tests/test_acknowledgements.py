import unittest

from hemlockhoist.decisions.configuration.acknowledgements import AcknowledgementLog
from hemlockhoist.messages.configuration import ConfigurationSummary


def summary(address, version=3):
    return ConfigurationSummary(
        address=address, version=version, confirmed=4, lagging=(), lagging_count=0
    )


class AcknowledgementLogTests(unittest.TestCase):
    def test_summaries_of_gone_collectors_are_forgotten(self):
        """Guards against memory that grows with each collector that was replaced.

        A collector that comes back has reported nothing, whatever it said before.
        """
        log = AcknowledgementLog("h1")
        log.on_summary(summary("c1"))
        log.on_summary(summary("c2"))
        log.keep_only(["h1"], ["c2", "h1"])
        report = log.report(3, ["c1", "c2"])
        self.assertEqual(report.unreported_collectors, ("c1",))
        self.assertEqual(report.confirmed, 4)
