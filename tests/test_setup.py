"""The set-up of test runs."""

import gc

from .base import ApricotTest


class GarbageCollectionTest(ApricotTest):
    """The process of the tests."""

    def test_full_collections_do_not_scan_the_collected_tests(self):
        """They stop fleets in this process for longer than connects may take."""
        gc.collect()
        scanned = {id(value) for value in gc.get_objects()}
        kept = [type(self), ApricotTest, type(self).__mro__[1]]
        self.assertEqual([], [c for c in kept if id(c) in scanned])
