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

SETTINGS_PAGE = pathlib.Path(__file__).parents[6] / "docs" / "SETTINGS.md"
REQUIRED = {
    "platform_address": "127.0.0.1:9000",
    "peer_key": "peer-key-of-the-test",
    "operator_key": "operator-key-of-the-test",
}


def find_faults(values):
    try:
        Settings.from_values(values)
    except SettingFaults as error:
        return {fault.setting: fault for fault in error.faults}
    return {}


class TableTests(unittest.TestCase):
    def test_page_matches_table(self):
        """The committed page is the generator's output."""
        self.assertEqual(SETTINGS_PAGE.read_text(), settings_page())

    def test_defaults_are_valid(self):
        """Each default is accepted by the kind of its setting."""
        for setting in SETTINGS:
            if setting.default:
                parse_value(setting.kind, setting.default)

    def test_settings_are_used(self):
        """Each setting is read by a module that is not one of the settings modules."""
        modules = [
            path.read_text()
            for path in SETTINGS_PAGE.parents[1].glob("libs/host/src/**/*.py")
            if "tests" not in path.parts and not path.name.startswith("settings")
        ]
        for setting in SETTINGS:
            used = re.compile(rf"settings\.{setting.name}\b")
            self.assertTrue(any(used.search(text) for text in modules), setting.name)

    def test_integer_names_end_in_unit(self):
        """The name of each integer setting ends in a unit."""
        for setting in SETTINGS:
            if isinstance(setting.kind, Integer):
                unit = setting.name.rpartition("_")[2]
                self.assertIn(unit, {"ms", "bytes", "permille", "records"})

    def test_docstring_examples_run(self):
        """The examples in the docstrings run with the results shown."""
        for item in (module, settings_kinds):
            self.assertEqual(doctest.testmod(item).failed, 0)


class SettingsTests(unittest.TestCase):
    def test_flags_override_variables(self):
        """A flag overrides a variable; a setting with neither has its default."""
        environment = {f"HEMLOCKHOIST_{n.upper()}": v for n, v in REQUIRED.items()}
        environment["HEMLOCKHOIST_LOG_LEVEL"] = "debug"
        environment["PATH"] = "/bin"
        found = Settings.from_environment(environment, {"log_level": "error"})
        self.assertEqual(found.log_level, "error")
        self.assertEqual(found.platform_address, Endpoint("127.0.0.1", 9000))
        self.assertEqual(found.host_id, "127.0.0.1:8400")

    def test_all_faults_are_reported_at_once(self):
        """Missing, malformed, out-of-bounds and unknown values are reported at once."""
        found = find_faults(
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

    def test_misspelt_variable_is_fault(self):
        """Guards against starting with a default because of a misspelt variable.

        With HEMLOCKHOIST_DRAIN_LIMIT set instead of …_MS, the host would start with the
        default limit and cut requests at the next planned stop. It refuses to start and
        suggests the correct variable.
        """
        environment = {"HEMLOCKHOIST_DRAIN_LIMIT": "5000", "HEMLOCKHOIST_TEST": "1"}
        with self.assertRaises(SettingFaults) as caught:
            Settings.from_environment(environment, REQUIRED)
        (fault,) = caught.exception.faults
        self.assertEqual(fault.allowed, "HEMLOCKHOIST_DRAIN_LIMIT_MS")

    def test_same_key_for_peers_and_operators_is_fault(self):
        """The operators' key must differ from the peer key."""
        same = {**REQUIRED, "operator_key": REQUIRED["peer_key"]}
        self.assertEqual(set(find_faults(same)), {"operator_key"})

    def test_certificate_requires_key(self):
        """A certificate without its key is a fault."""
        self.assertEqual(
            set(find_faults({**REQUIRED, "tls_cert_file": __file__})), {"tls_key_file"}
        )

    def test_secrets_are_masked(self):
        """Secrets are in neither masked() nor repr(); a key is read from a file."""
        with tempfile.NamedTemporaryFile("w") as file:
            file.write("a-key-from-a-file\n")
            file.flush()
            found = Settings.from_values({**REQUIRED, "peer_key": f"@{file.name}"})
        self.assertEqual(found.peer_key, "a-key-from-a-file")
        self.assertEqual(found.masked()["peer_key"], "***")
        self.assertNotIn("a-key-from-a-file", repr(found))
        self.assertNotIn(REQUIRED["operator_key"], repr(found))

    @given(st.sampled_from([s.name for s in SETTINGS]), st.text(max_size=30))
    def test_any_text_gives_value_or_fault(self, name, text):
        """Any text for a setting gives a value or a fault of that setting."""
        self.assertLessEqual(set(find_faults({**REQUIRED, name: text})), {name})
