"""Why an endpoint may not take work now. Pure."""

import enum


class Ineligible(enum.Enum):
    """Why an endpoint may not take work now; the values are for logs."""

    UNLISTED = "no longer listed"
    LEAVING = "leaving"
    EVACUATED = "evacuated"
    COLD = "cold"
    OTHER_REGION = "other region"
    OTHER_VERSION = "other version"
    FAILED_BEFORE = "failed before"
