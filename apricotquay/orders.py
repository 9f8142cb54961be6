"""Plan of which endpoints to order to load which models. Pure: no I/O."""

from collections import Counter
from collections.abc import Iterator

import msgspec

from .ids import EndpointId, ModelName


class LoadedModel(msgspec.Struct, frozen=True):
    """The model that an endpoint has loaded, and its number of online requests."""

    endpoint: EndpointId
    model: ModelName
    online: int


class LoadOrder(msgspec.Struct, frozen=True):
    """An order to load a model, with the fencing number of the sender's lease.

    An engine that checks fencing numbers refuses an order whose number is lower
    than the highest it has received.
    """

    endpoint: EndpointId
    model: ModelName
    fencing: int
    kind: str = "load"


def plan_loads(
    replicas: dict[ModelName, int], loaded: list[LoadedModel]
) -> Iterator[tuple[EndpointId, ModelName]]:
    """Yield endpoints with the model to load, until each model has its replicas.

    Endpoints are taken from models with more replicas than declared, those with
    the fewest online requests first. An endpoint whose model has no declared
    number is never taken.
    """
    counts = Counter(entry.model for entry in loaded)
    candidates = sorted(
        (entry for entry in loaded if entry.model in replicas),
        key=lambda entry: (entry.online, entry.endpoint),
    )
    for model in sorted(replicas):
        for candidate in candidates:
            if counts[model] >= replicas[model]:
                break
            if counts[candidate.model] <= replicas[candidate.model]:
                continue
            if candidate.model == model:
                continue
            counts[candidate.model] -= 1
            counts[model] += 1
            candidates = [entry for entry in candidates if entry is not candidate]
            yield candidate.endpoint, model
