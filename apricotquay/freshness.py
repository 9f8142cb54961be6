"""Whether a daemon's view of the configuration may be used. Pure: no I/O.

A withdrawn key must stop working within seconds, so a daemon that is cut off must
not continue with an old view. But an outage of the whole log must stop no daemon.
One daemon alone cannot tell the two apart, so the views of its peers decide.
"""

import enum

import msgspec


class Freshness(enum.Enum):
    """Why a view may be used, or that it may not."""

    BY_LOG = "by_log"
    BY_PEER = "by_peer"
    LOG_OUTAGE = "log_outage"
    STALE = "stale"

    @property
    def is_usable(self) -> bool:
        """Whether requests may be accepted."""
        return self is not Freshness.STALE


class PeerView(msgspec.Struct, frozen=True):
    """A peer's view, as of its last reply or probe.

    `log_age_s` is the present age of the peer's own confirmation by the log. A
    confirmation by other peers does not count, since two daemons that are cut off
    could otherwise confirm each other forever.
    """

    answered_age_s: float
    log_age_s: float
    config_version: int


def assess_view(
    log_age_s: float,
    own_version: int,
    peers: list[PeerView],
    member_count: int,
    stale_after_s: float,
) -> Freshness:
    """Assess the view of a daemon whose log confirmation is `log_age_s` old.

    `peers` are the members that this one probes and whose processes are not known
    to have ended, and `member_count` is their number: all others of a small fleet,
    a sample of a large one. A log outage is assumed when a majority of them,
    including this one, can be reached and none of them reaches the log.
    """
    if own_version == 0:
        return Freshness.STALE
    if log_age_s < stale_after_s:
        return Freshness.BY_LOG
    answering = [p for p in peers if p.answered_age_s < stale_after_s]
    confirmed = [p for p in answering if p.log_age_s < stale_after_s]
    if any(p.config_version > own_version for p in answering):
        return Freshness.STALE
    if confirmed:
        return Freshness.BY_PEER
    if (len(answering) + 1) * 2 > member_count + 1:
        return Freshness.LOG_OUTAGE
    return Freshness.STALE
