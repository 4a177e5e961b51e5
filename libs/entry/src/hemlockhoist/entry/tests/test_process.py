import types
import unittest
import unittest.mock

from hemlockhoist.entry import process


class AllocatorTests(unittest.TestCase):
    def test_allocator_is_changed_only_where_memory_is_limited(self):
        """Guards against costs of large blocks on hosts without a memory limit."""
        for max_memory_mb in (0, 160):
            names = ("LineWriter", "aiomisc", "_main", "return_freed_memory")
            mocks = {name: unittest.mock.Mock() for name in names}
            mocks["aiomisc"] = unittest.mock.MagicMock()
            settings = types.SimpleNamespace(max_memory_mb=max_memory_mb)
            with unittest.mock.patch.multiple(process, **mocks):
                process.run(settings, None)
            calls = mocks["return_freed_memory"].call_count
            self.assertEqual(calls, 1 if max_memory_mb else 0)
