"""Configuration: one winner of a race, never an older version."""

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
    """The fold of the configuration stream."""

    def text(self, rate: int) -> str:
        """Return a document that can be told by its rate."""
        document = self.document()
        document["teams"]["small"]["rate_per_s"] = rate
        return json.dumps(document)

    def published(self, base: int, rate: int) -> ConfigPublished:
        """Return a published document."""
        return ConfigPublished(base, compress_text(self.text(rate)), "me", 0)

    def checkpoint(self, version: int, rate: int) -> ConfigCheckpoint:
        """Return a checkpoint."""
        return ConfigCheckpoint(version, compress_text(self.text(rate)), 0)

    def rate(self, state: ConfigState) -> float:
        """Return the rate in force."""
        return state.current.document.teams["small"].rate_per_s

    def test_one_of_two_racing_operators_wins(self):
        """The other gets a conflict and changes nothing."""
        state = ConfigState()
        first = state.apply(0, Envelope("op1", 1, self.published(0, 10)))
        second = state.apply(1, Envelope("op2", 1, self.published(0, 20)))
        self.assertEqual([ApplyResult.IN_FORCE, ApplyResult.CONFLICT], [first, second])
        self.assertEqual((1, 10), (state.version, self.rate(state)))

    def test_repeated_append_keeps_the_first_verdict(self):
        """The operator whose answer was lost learns that it won."""
        state = ConfigState()
        record = self.published(0, 10)
        state.apply(0, Envelope("op1", 1, record))
        state.apply(1, Envelope("op1", 1, record))
        self.assertIs(ApplyResult.IN_FORCE, state.find_result("op1", 1))
        self.assertEqual(1, state.version)

    def test_late_checkpoint_does_not_revert(self):
        """It was made before the newer document."""
        state = ConfigState()
        state.apply(0, Envelope("op", 1, self.published(0, 10)))
        state.apply(1, Envelope("op", 2, self.published(1, 20)))
        state.apply(2, Envelope("d", 1, self.checkpoint(1, 10)))
        self.assertEqual((2, 20), (state.version, self.rate(state)))

    def test_reader_behind_the_retention_starts_at_a_checkpoint(self):
        """And accepts what names that version as its base."""
        state = ConfigState()
        state.apply(7, Envelope("d", 1, self.checkpoint(3, 30)))
        state.apply(8, Envelope("op", 1, self.published(3, 40)))
        self.assertEqual((4, 40), (state.version, self.rate(state)))

    def test_older_configuration_of_a_peer_is_not_adopted(self):
        """A peer that was frozen has an old one."""
        state = ConfigState()
        state.apply(0, Envelope("op", 1, self.published(0, 10)))
        state.apply(1, Envelope("op", 2, self.published(1, 20)))
        self.assertIs(ApplyResult.IGNORED, state.apply_from_peer(1, self.text(10)))
        self.assertEqual(20, self.rate(state))

    def test_invalid_document_changes_nothing(self):
        """A record that some other tool wrote may hold anything."""
        state = ConfigState()
        bad = ConfigPublished(0, compress_text("{"), "me", 0)
        self.assertIs(ApplyResult.INVALID, state.apply(0, Envelope("op", 1, bad)))
        noise = ConfigPublished(0, b"noise", "me", 0)
        self.assertIs(ApplyResult.INVALID, state.apply(1, Envelope("op", 2, noise)))
        self.assertEqual(0, state.version)

    @PROPERTY_SETTINGS
    @given(st.integers(0, 2**32))
    def test_version_only_grows_and_all_readers_agree(self, seed):
        """Random operators, repeats and checkpoints; readers start anywhere."""
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
                envelope = Envelope("op", offset, self.published(base, rate))
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
