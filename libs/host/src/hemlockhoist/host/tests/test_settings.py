import doctest
import pathlib
import re
import tempfile
import unittest

from hypothesis import given
from hypothesis import strategies as st

from hemlockhoist.host import settings as module
from hemlockhoist.host import settings_kinds
from hemlockhoist.host.settings import SettingFaults, Settings
from hemlockhoist.host.settings_doc import settings_page
from hemlockhoist.host.settings_kinds import Endpoint, Integer, parse_value
from hemlockhoist.host.settings_table import SETTINGS

PAGE = pathlib.Path(__file__).parents[6] / "docs" / "SETTINGS.md"
NEEDED = {
    "platform_address": "127.0.0.1:9000",
    "peer_key": "peer-key-of-the-test",
    "operator_key": "operator-key-of-the-test",
}


def faults_of(values):
    try:
        Settings.from_values(values)
    except SettingFaults as error:
        return {fault.setting: fault for fault in error.faults}
    return {}


class TableTests(unittest.TestCase):
    def test_page_matches_the_table(self):
        """The committed page is what the generator gives."""
        self.assertEqual(PAGE.read_text(), settings_page())

    def test_every_default_is_allowed(self):
        """Each default passes the check of its own kind."""
        for setting in SETTINGS:
            if setting.default:
                parse_value(setting.kind, setting.default)

    def test_every_setting_has_an_effect(self):
        """Each setting is read by a module other than those of the settings."""
        modules = [
            path.read_text()
            for path in PAGE.parents[1].glob("libs/host/src/**/*.py")
            if "tests" not in path.parts and not path.name.startswith("settings")
        ]
        for setting in SETTINGS:
            used = re.compile(rf"settings\.{setting.name}\b")
            self.assertTrue(any(used.search(text) for text in modules), setting.name)

    def test_numbers_carry_their_unit(self):
        """Each whole number's name ends in a unit."""
        for setting in SETTINGS:
            if isinstance(setting.kind, Integer):
                unit = setting.name.rpartition("_")[2]
                self.assertIn(unit, {"ms", "bytes", "permille", "records"})

    def test_docstring_examples_run(self):
        """The examples in the docstrings give what they show."""
        for item in (module, settings_kinds):
            self.assertEqual(doctest.testmod(item).failed, 0)


class SettingsTests(unittest.TestCase):
    def test_flags_go_before_variables(self):
        """A flag overrides a variable; what neither gives has its default."""
        environment = {f"HEMLOCKHOIST_{n.upper()}": v for n, v in NEEDED.items()}
        environment["HEMLOCKHOIST_LOG_LEVEL"] = "debug"
        environment["PATH"] = "/bin"
        found = Settings.from_environment(environment, {"log_level": "error"})
        self.assertEqual(found.log_level, "error")
        self.assertEqual(found.platform_address, Endpoint("127.0.0.1", 9000))
        self.assertEqual(found.host_id, "127.0.0.1:8400")

    def test_every_fault_is_reported_at_once(self):
        """All faults come together: missing, malformed, out of bounds, unknown."""
        found = faults_of(
            {
                "peer_key": "short",
                "listen_address": "localhost:80",
                "advertise_address": "10.0.0.1:0",
                "host_list_poll_ms": "1",
                "load_poll_ms": "9" * 5000,
                "log_level": "loud",
                "otlp_endpoint": "ftp://x",
                "tls_cert_file": "/nowhere",
                "load_pol_ms": "5",
            }
        )
        self.assertEqual(
            set(found),
            {
                "platform_address",
                "operator_key",
                "peer_key",
                "listen_address",
                "advertise_address",
                "host_list_poll_ms",
                "load_poll_ms",
                "log_level",
                "otlp_endpoint",
                "tls_cert_file",
                "load_pol_ms",
            },
        )
        self.assertEqual(found["load_pol_ms"].allowed, "load_poll_ms")
        self.assertNotIn("short", str(found["peer_key"]))

    def test_a_misspelt_variable_is_a_fault(self):
        """
        An operator sets HEMLOCKHOIST_DRAIN_LIMIT instead of …_MS. The host would
        start with the default limit, and the next planned stop would cut requests.
        It does not start, and names the right variable.
        """
        environment = {"HEMLOCKHOIST_DRAIN_LIMIT": "5000", "HEMLOCKHOIST_TEST": "1"}
        with self.assertRaises(SettingFaults) as caught:
            Settings.from_environment(environment, NEEDED)
        (fault,) = caught.exception.faults
        self.assertEqual(fault.allowed, "HEMLOCKHOIST_DRAIN_LIMIT_MS")

    def test_one_key_for_two_uses_is_a_fault(self):
        """The operators' key may not be the hosts' own."""
        same = {**NEEDED, "operator_key": NEEDED["peer_key"]}
        self.assertEqual(set(faults_of(same)), {"operator_key"})

    def test_certificate_and_key_come_together(self):
        """A certificate without its key is a fault."""
        self.assertEqual(
            set(faults_of({**NEEDED, "tls_cert_file": __file__})), {"tls_key_file"}
        )

    def test_secrets_are_masked(self):
        """No secret stands in the dump or in the text form; a file is read."""
        with tempfile.NamedTemporaryFile("w") as file:
            file.write("a-key-from-a-file\n")
            file.flush()
            found = Settings.from_values({**NEEDED, "peer_key": f"@{file.name}"})
        self.assertEqual(found.peer_key, "a-key-from-a-file")
        self.assertEqual(found.masked()["peer_key"], "***")
        self.assertNotIn("a-key-from-a-file", repr(found))
        self.assertNotIn(NEEDED["operator_key"], repr(found))

    @given(st.sampled_from([s.name for s in SETTINGS]), st.text(max_size=30))
    def test_any_text_gives_a_value_or_a_fault(self, name, text):
        """Whatever the text, a setting has a value or a fault."""
        self.assertLessEqual(set(faults_of({**NEEDED, name: text})), {name})
