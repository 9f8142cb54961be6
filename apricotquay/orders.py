"""Which model each endpoint should be ordered to load. Pure."""

from collections import Counter
from collections.abc import Iterator

import msgspec

from .ids import EndpointId, ModelName


class Loaded(msgspec.Struct, frozen=True):
    """What an endpoint has loaded, and its online requests."""

    endpoint: EndpointId
    model: ModelName
    online: int


class LoadOrder(msgspec.Struct, frozen=True):
    """An order to load a model; `fencing` is the orderer's claim.

    An engine that checks fencing numbers refuses one that is lower than the
    highest it has seen.
    """

    endpoint: EndpointId
    model: ModelName
    fencing: int
    kind: str = "load"


def plan_loads(
    replicas: dict[ModelName, int], loaded: list[Loaded]
) -> Iterator[tuple[EndpointId, ModelName]]:
    """Yield endpoints and models until each model has its replicas.

    Endpoints are taken from models that have more than they need, the idle ones
    first; an endpoint of a model that nobody counts is never taken.
    """
    counts = Counter(entry.model for entry in loaded)
    donors = sorted(
        (entry for entry in loaded if entry.model in replicas),
        key=lambda entry: (entry.online, entry.endpoint),
    )
    for model in sorted(replicas):
        for donor in donors:
            if counts[model] >= replicas[model]:
                break
            if counts[donor.model] <= replicas[donor.model]:
                continue
            if donor.model == model:
                continue
            counts[donor.model] -= 1
            counts[model] += 1
            donors = [entry for entry in donors if entry is not donor]
            yield donor.endpoint, model
