"""Configuration: one publisher succeeds, and the version never decreases."""

import json
import random

from hypothesis import given, strategies as st

from apricotquay.configuration import ApplyResult, ConfigState
from apricotquay.records import (
    ConfigCheckpoint,
    ConfigPublished,
    Envelope,
    compress_text,
)

from .base import PROPERTY_SETTINGS, ApricotTest


class ConfigStateTest(ApricotTest):
    """Applying the records of the configuration stream."""

    def make_text(self, rate: int) -> str:
        """Return a document that is identified by its rate."""
        document = self.document()
        document["teams"]["small"]["rate_per_s"] = rate
        return json.dumps(document)

    def make_published(self, base: int, rate: int) -> ConfigPublished:
        """Return a published document."""
        return ConfigPublished(base, compress_text(self.make_text(rate)), "me", 0)

    def make_checkpoint(self, version: int, rate: int) -> ConfigCheckpoint:
        """Return a checkpoint."""
        return ConfigCheckpoint(version, compress_text(self.make_text(rate)), 0)

    def find_rate(self, state: ConfigState) -> float:
        """Return the rate in force."""
        return state.current.document.teams["small"].rate_per_s

    def test_one_of_two_concurrent_operators_succeeds(self):
        """The other one gets a conflict and changes nothing."""
        state = ConfigState()
        first = state.apply(0, Envelope("op1", 1, self.make_published(0, 10)))
        second = state.apply(1, Envelope("op2", 1, self.make_published(0, 20)))
        self.assertEqual([ApplyResult.IN_FORCE, ApplyResult.CONFLICT], [first, second])
        self.assertEqual((1, 10), (state.version, self.find_rate(state)))

    def test_repeated_append_keeps_the_first_result(self):
        """The operator whose response was lost sees that the append succeeded."""
        state = ConfigState()
        record = self.make_published(0, 10)
        state.apply(0, Envelope("op1", 1, record))
        state.apply(1, Envelope("op1", 1, record))
        self.assertIs(ApplyResult.IN_FORCE, state.find_result("op1", 1))
        self.assertEqual(1, state.version)

    def test_late_checkpoint_does_not_revert(self):
        """The checkpoint was made before the newer document was published."""
        state = ConfigState()
        state.apply(0, Envelope("op", 1, self.make_published(0, 10)))
        state.apply(1, Envelope("op", 2, self.make_published(1, 20)))
        state.apply(2, Envelope("d", 1, self.make_checkpoint(1, 10)))
        self.assertEqual((2, 20), (state.version, self.find_rate(state)))

    def test_reader_behind_the_retention_starts_at_a_checkpoint(self):
        """It accepts a document whose base is the version of the checkpoint."""
        state = ConfigState()
        state.apply(7, Envelope("d", 1, self.make_checkpoint(3, 30)))
        state.apply(8, Envelope("op", 1, self.make_published(3, 40)))
        self.assertEqual((4, 40), (state.version, self.find_rate(state)))

    def test_older_configuration_of_a_peer_is_ignored(self):
        """A peer whose process was suspended has an old configuration."""
        state = ConfigState()
        state.apply(0, Envelope("op", 1, self.make_published(0, 10)))
        state.apply(1, Envelope("op", 2, self.make_published(1, 20)))
        self.assertIs(ApplyResult.IGNORED, state.apply_from_peer(1, self.make_text(10)))
        self.assertEqual(20, self.find_rate(state))

    def test_invalid_document_changes_nothing(self):
        """Another tool may have written a record with any contents."""
        state = ConfigState()
        bad = ConfigPublished(0, compress_text("{"), "me", 0)
        self.assertIs(ApplyResult.INVALID, state.apply(0, Envelope("op", 1, bad)))
        garbage = ConfigPublished(0, b"noise", "me", 0)
        self.assertIs(ApplyResult.INVALID, state.apply(1, Envelope("op", 2, garbage)))
        self.assertEqual(0, state.version)

    @PROPERTY_SETTINGS
    @given(st.integers(0, 2**32))
    def test_version_never_decreases_and_all_readers_agree(self, seed):
        """Random publications, repeats and checkpoints; one reader starts late."""
        rng = random.Random(seed)
        log: list[Envelope] = []
        first = ConfigState()
        for offset in range(30):
            base = max(0, first.version - rng.randrange(2))
            rate = offset + 1
            if log and rng.random() < 0.2:
                envelope = rng.choice(log)
            elif first.version and rng.random() < 0.3:
                current = ConfigCheckpoint(
                    first.version, compress_text(first.current.text), 0
                )
                envelope = Envelope("d", offset, current)
            else:
                envelope = Envelope("op", offset, self.make_published(base, rate))
            log.append(envelope)
            before = first.version
            first.apply(offset, envelope)
            self.assertGreaterEqual(first.version, before)
        late = ConfigState()
        late.apply_from_peer(first.version, first.current.text)
        for offset, envelope in enumerate(log):
            late.apply(offset, envelope)
        self.assertEqual(first.version, late.version)
        self.assertEqual(first.current.text, late.current.text)
