"""Configuration: one winner of a race, never an older version."""

import json
import random

from hypothesis import given, strategies as st

from apricotquay.configuration import ConfigFold, Verdict
from apricotquay.records import (
    ConfigCheckpoint,
    ConfigPublished,
    Envelope,
    compress_text,
)

from .base import PROPERTY_SETTINGS, ApricotTest


class ConfigFoldTest(ApricotTest):
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

    def rate(self, fold: ConfigFold) -> float:
        """Return the rate in force."""
        return fold.current.document.teams["small"].rate_per_s

    def test_one_of_two_racing_operators_wins(self):
        """The other gets a conflict and changes nothing."""
        fold = ConfigFold()
        first = fold.apply(0, Envelope("op1", 1, self.published(0, 10)))
        second = fold.apply(1, Envelope("op2", 1, self.published(0, 20)))
        self.assertEqual([Verdict.IN_FORCE, Verdict.CONFLICT], [first, second])
        self.assertEqual((1, 10), (fold.version, self.rate(fold)))

    def test_repeated_append_keeps_the_first_verdict(self):
        """The operator whose answer was lost learns that it won."""
        fold = ConfigFold()
        record = self.published(0, 10)
        fold.apply(0, Envelope("op1", 1, record))
        fold.apply(1, Envelope("op1", 1, record))
        self.assertIs(Verdict.IN_FORCE, fold.verdict_on("op1", 1))
        self.assertEqual(1, fold.version)

    def test_late_checkpoint_does_not_revert(self):
        """It was made before the newer document."""
        fold = ConfigFold()
        fold.apply(0, Envelope("op", 1, self.published(0, 10)))
        fold.apply(1, Envelope("op", 2, self.published(1, 20)))
        fold.apply(2, Envelope("d", 1, self.checkpoint(1, 10)))
        self.assertEqual((2, 20), (fold.version, self.rate(fold)))

    def test_reader_behind_the_retention_starts_at_a_checkpoint(self):
        """And accepts what names that version as its base."""
        fold = ConfigFold()
        fold.apply(7, Envelope("d", 1, self.checkpoint(3, 30)))
        fold.apply(8, Envelope("op", 1, self.published(3, 40)))
        self.assertEqual((4, 40), (fold.version, self.rate(fold)))

    def test_older_configuration_of_a_peer_is_not_adopted(self):
        """A peer that was frozen has an old one."""
        fold = ConfigFold()
        fold.apply(0, Envelope("op", 1, self.published(0, 10)))
        fold.apply(1, Envelope("op", 2, self.published(1, 20)))
        self.assertIs(Verdict.IGNORED, fold.adopt(1, self.text(10)))
        self.assertEqual(20, self.rate(fold))

    def test_invalid_document_changes_nothing(self):
        """A record that some other tool wrote may hold anything."""
        fold = ConfigFold()
        bad = ConfigPublished(0, compress_text("{"), "me", 0)
        self.assertIs(Verdict.INVALID, fold.apply(0, Envelope("op", 1, bad)))
        noise = ConfigPublished(0, b"noise", "me", 0)
        self.assertIs(Verdict.INVALID, fold.apply(1, Envelope("op", 2, noise)))
        self.assertEqual(0, fold.version)

    @PROPERTY_SETTINGS
    @given(st.integers(0, 2**32))
    def test_version_only_grows_and_all_readers_agree(self, seed):
        """Random operators, repeats and checkpoints; readers start anywhere."""
        rng = random.Random(seed)
        log: list[Envelope] = []
        first = ConfigFold()
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
        late = ConfigFold()
        late.adopt(first.version, first.current.text)
        for offset, envelope in enumerate(log):
            late.apply(offset, envelope)
        self.assertEqual(first.version, late.version)
        self.assertEqual(first.current.text, late.current.text)
